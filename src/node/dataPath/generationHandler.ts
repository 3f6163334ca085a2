import type { Clock } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import { StreamResumption } from '../decisions/streamResumption.ts';
import type { WorkerEndpoint } from '../membership/membershipView.ts';
import {
  type AttemptKind,
  type StartedAttempt,
  beginAttempt,
  tryTakeRetry,
  recordFailedAttempt,
} from './attempts.ts';
import type { CompletionWriter } from './completionWriter.ts';
import type { CompletionRequest } from './completionRequest.ts';
import type { EngineApi, GenerationRequest, TokenChunk } from './engineApi.ts';
import { EngineError } from './engineMessages.ts';
import { toRequestFailure } from './toRequestFailure.ts';
import { prefixKeysOf } from './prefixHints.ts';
import { requestError } from './problem.ts';
import type { HandlerDependencies, RequestContext } from './requestContext.ts';
import { StreamedCompletionWriter } from './streamedCompletionWriter.ts';
import { BufferedCompletionWriter } from './bufferedCompletionWriter.ts';

/** Creates the object that joins the chunks of successive attempts into one stream; see `StreamResumption`. */
export type ResumptionFactory = (
  maxTokens: number,
) => Pick<StreamResumption, 'accept' | 'delivered' | 'isComplete'>;

export interface GenerationHandlerOptions extends HandlerDependencies {
  readonly clock: Clock;
  readonly engines: Pick<EngineApi, 'generate'>;
  /** Called when an engine refused a connection. */
  readonly onRefused: (worker: WorkerEndpoint) => void;
  /**
   * Joins the streams of several attempts. Tests replace it to show which tokens are duplicated without its checks.
   *
   * @default StreamResumption
   */
  readonly createResumption?: ResumptionFactory;
}

interface Generation {
  readonly completion: CompletionRequest;
  readonly resumption: ReturnType<ResumptionFactory>;
  readonly writer: CompletionWriter;
  /** Weight version of the last chunk, for a final chunk that the node generates itself. */
  weightVersion: number;
}

/** Whether another engine may succeed where this one failed. Most client errors would be repeated. */
const isRetryable = (error: unknown): boolean =>
  !(error instanceof EngineError) ||
  error.kind !== 'rejected' ||
  error.statusCode === 408 ||
  error.statusCode === 429 ||
  (error.statusCode ?? 500) >= 500;

/**
 * Converts the error of the last attempt into the error that is reported to the caller.
 *
 * @param started - whether tokens of an earlier attempt were delivered; the engine's own text then stays out of the stream
 */
const toRequestError = (error: unknown, pool: string, started: boolean) => {
  if (error instanceof EngineError && error.kind === 'rejected' && !started) {
    const statusCode = error.statusCode ?? 502;
    return requestError(
      `the engine rejected the request: ${error.body?.toString('utf8', 0, 1000) ?? ''}`,
      {
        outcome: 'failed',
        statusCode,
        code: statusCode < 500 ? 'engine-rejected' : 'worker-failed',
        retryAfterMs: statusCode < 500 ? undefined : 1000,
      },
    );
  }
  return requestError(`an engine of pool ${pool} failed and the generation could not be resumed`, {
    outcome: 'failed',
    statusCode: 502,
    code: 'worker-failed',
    retryAfterMs: 1000,
  });
};

/** Sends the caller what a chunk adds to the stream; a repeated chunk only contributes its finish reason. */
const deliver = async (generation: Generation, chunk: TokenChunk): Promise<void> => {
  const { resumption, writer } = generation;
  const isNew = resumption.accept(chunk);
  // eslint-disable-next-line no-param-reassign
  generation.weightVersion = chunk.weightVersion;
  if (isNew) {
    await writer.write(chunk);
  } else if (chunk.finishReason !== undefined) {
    const position = resumption.delivered.length;
    await writer.write({ ...chunk, text: '', tokenIds: [], position });
  }
};

const engineRequestOf = (
  context: RequestContext,
  { completion, resumption }: Generation,
  attempt: number,
  traceparent: string | undefined,
): GenerationRequest => ({
  streamId: `${context.id}-${attempt}`,
  prompt: completion.prompt,
  maxTokens: completion.maxTokens,
  temperature: completion.temperature,
  seed: completion.seed,
  model: completion.model,
  sampling: completion.sampling,
  priority: context.priority,
  resumeAfter: resumption.delivered.length > 0 ? [...resumption.delivered] : undefined,
  traceparent,
});

/** Serves completion requests. A generation that is interrupted resumes on another engine. */
export class GenerationHandler {
  readonly #options: GenerationHandlerOptions;

  constructor(options: GenerationHandlerOptions) {
    this.#options = options;
  }

  /**
   * Serves a completion request. A stream that cannot be resumed gets an error event and is broken off.
   *
   * @throws RequestError; if the response had begun, the failure has already been reported to the caller
   */
  async handle(context: RequestContext, completion: CompletionRequest): Promise<void> {
    const { createResumption = (maxTokens) => new StreamResumption(maxTokens) } = this.#options;
    const generation: Generation = {
      completion,
      resumption: createResumption(completion.maxTokens),
      writer: this.#createWriter(context, completion),
      weightVersion: 0,
    };
    try {
      await this.#run(context, generation);
    } catch (error) {
      const failure = toRequestFailure(error, context);
      if (generation.writer.headersSent) generation.writer.fail(failure.message, failure);
      throw failure;
    }
  }

  async #run(context: RequestContext, generation: Generation): Promise<void> {
    const { resumption } = generation;
    const prefixKeys = prefixKeysOf(context.pool.name, generation.completion.prompt);
    let attemptsSinceProgress = 0;
    for (;;) {
      const deliveredBefore = resumption.delivered.length;
      let kind: AttemptKind = 'first';
      if (context.gate.attempts > 0) kind = deliveredBefore > 0 ? 'resume' : 'retry';
      const started = beginAttempt(context, this.#options, kind, prefixKeys);
      try {
        await this.#attempt(context, generation, started);
        return;
      } catch (error) {
        this.#recordFailure(context, started, error);
        // All tokens have been delivered and only the final chunk is missing, which the node can generate itself.
        if (resumption.isComplete && context.scope.endedBy === undefined) break;
        attemptsSinceProgress =
          resumption.delivered.length > deliveredBefore ? 1 : attemptsSinceProgress + 1;
        if (!isRetryable(error) || !tryTakeRetry(context, attemptsSinceProgress)) {
          throw toRequestError(error, context.pool.name, resumption.delivered.length > 0);
        }
        if (resumption.delivered.length > 0) {
          this.#options.logger.info('stream-resumed', { requestId: context.id });
        }
      } finally {
        // Data that still arrives from a failed attempt is dropped.
        context.gate.close();
      }
    }
    await deliver(generation, {
      text: '',
      tokenIds: [],
      weightVersion: generation.weightVersion,
      position: resumption.delivered.length,
      finishReason: 'length',
    });
    await generation.writer.end();
  }

  async #attempt(
    context: RequestContext,
    generation: Generation,
    { attempt, worker, span }: StartedAttempt,
  ): Promise<void> {
    const request = engineRequestOf(context, generation, attempt.number, span.traceparent);
    const stream = this.#options.engines.generate(worker, request, context.scope.signal);
    for await (const chunk of stream) {
      context.mayHaveRun = true;
      if (!context.gate.tryForward(attempt, true)) throw new Error('the attempt was abandoned');
      await deliver(generation, chunk);
    }
    span.setAttributes({ 'hyssoppulley.tokens': generation.resumption.delivered.length });
    span.end();
    await generation.writer.end();
  }

  #recordFailure(context: RequestContext, started: StartedAttempt, error: unknown): void {
    const kind = error instanceof EngineError ? error.kind : 'broken';
    if (kind === 'not-connected') this.#options.onRefused(started.worker);
    else context.mayHaveRun = true;
    if (context.scope.endedBy === undefined) {
      recordFailedAttempt(context, this.#options, started, kind, messageOf(error));
    } else {
      started.span.end(context.scope.endedBy);
    }
  }

  #createWriter(
    { response, scope, id }: RequestContext,
    completion: CompletionRequest,
  ): CompletionWriter {
    const createdSeconds = Math.floor(this.#options.clock.nowMs() / 1000);
    const identity = { id: `cmpl-${id}`, model: completion.model, createdSeconds };
    return completion.stream
      ? new StreamedCompletionWriter(response, identity, completion.includeUsage, scope.signal)
      : new BufferedCompletionWriter(response, identity, scope.signal);
  }
}
