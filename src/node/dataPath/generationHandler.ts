import type { Clock } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import { StreamResumption } from '../decisions/streamResumption.ts';
import type { WorkerEndpoint } from '../membership/membershipView.ts';
import {
  type AttemptKind,
  type StartedAttempt,
  beginAttempt,
  mayTryAgain,
  recordFailedAttempt,
} from './attempts.ts';
import type { CompletionAnswer } from './completionsAnswer.ts';
import type { CompletionPlan } from './completionsRequest.ts';
import type { EngineApi, GenerationRequest, TokenChunk } from './engineApi.ts';
import { EngineError } from './engineMessages.ts';
import { failureOf } from './failureOf.ts';
import { prefixKeysOf } from './prefixHints.ts';
import { requestError } from './problem.ts';
import type { HandlerServices, RequestContext } from './requestContext.ts';
import { StreamedAnswer } from './streamedAnswer.ts';
import { WholeAnswer } from './wholeAnswer.ts';

/** Decides what a chunk adds to the stream; see `StreamResumption`. */
export type JoinStreams = (
  maxTokens: number,
) => Pick<StreamResumption, 'accept' | 'delivered' | 'isComplete'>;

export interface GenerationHandlerOptions extends HandlerServices {
  readonly clock: Clock;
  readonly engines: Pick<EngineApi, 'generate'>;
  /** Told when an engine refused a connection. */
  readonly onRefused: (worker: WorkerEndpoint) => void;
  /**
   * How the streams of several attempts become one. Replaced in tests that show what goes wrong without the check.
   *
   * @default StreamResumption
   */
  readonly joinStreams?: JoinStreams;
}

interface Generation {
  readonly plan: CompletionPlan;
  readonly joined: ReturnType<JoinStreams>;
  readonly answer: CompletionAnswer;
  /** Weight version of the last chunk, for an end that the node adds itself. */
  weightVersion: number;
}

/** Whether another engine may well answer what this one rejected. */
const isTransient = (error: unknown): boolean =>
  !(error instanceof EngineError) ||
  error.kind !== 'rejected' ||
  error.statusCode === 408 ||
  error.statusCode === 429 ||
  (error.statusCode ?? 500) >= 500;

/** What the caller is told of the attempt that ended the request. */
const faultOf = (error: unknown, pool: string) => {
  if (error instanceof EngineError && error.kind === 'rejected') {
    const statusCode = error.statusCode ?? 502;
    return requestError(
      `the engine refused the request: ${error.body?.toString('utf8', 0, 1000) ?? ''}`,
      {
        outcome: 'failed',
        statusCode,
        code: statusCode < 500 ? 'engine-rejected' : 'worker-failed',
        retryAfterMs: statusCode < 500 ? undefined : 1000,
      },
    );
  }
  return requestError(`an engine of pool ${pool} failed and the generation was not continued`, {
    outcome: 'failed',
    statusCode: 502,
    code: 'worker-failed',
    retryAfterMs: 1000,
  });
};

/** Passes on what a chunk adds. */
const deliver = async (generation: Generation, chunk: TokenChunk): Promise<void> => {
  const { joined, answer } = generation;
  const isNew = joined.accept(chunk);
  // eslint-disable-next-line no-param-reassign
  generation.weightVersion = chunk.weightVersion;
  if (isNew) {
    await answer.add(chunk);
  } else if (chunk.finishReason !== undefined) {
    const position = joined.delivered.length;
    await answer.add({ ...chunk, text: '', tokenIds: [], position });
  }
};

const requestFor = (
  context: RequestContext,
  { plan, joined }: Generation,
  attempt: number,
  traceparent: string | undefined,
): GenerationRequest => ({
  streamId: `${context.id}-${attempt}`,
  prompt: plan.prompt,
  maxTokens: plan.maxTokens,
  temperature: plan.temperature,
  seed: plan.seed,
  model: plan.model,
  sampling: plan.sampling,
  priority: context.priority,
  resumeAfter: joined.delivered.length > 0 ? [...joined.delivered] : undefined,
  traceparent,
});

/** Serves generations of callers; one that breaks off goes on at another engine. */
export class GenerationHandler {
  readonly #options: GenerationHandlerOptions;

  constructor(options: GenerationHandlerOptions) {
    this.#options = options;
  }

  /**
   * Answers a request for one generation. A stream that cannot be continued ends with an error event.
   *
   * @throws RequestError; when the answer was begun, the caller has been told already
   */
  async handle(context: RequestContext, plan: CompletionPlan): Promise<void> {
    const { joinStreams = (maxTokens) => new StreamResumption(maxTokens) } = this.#options;
    const generation: Generation = {
      plan,
      joined: joinStreams(plan.maxTokens),
      answer: this.#answerOf(context, plan),
      weightVersion: 0,
    };
    try {
      await this.#run(context, generation);
    } catch (error) {
      const failure = failureOf(error, context);
      if (generation.answer.begun) generation.answer.fail(failure.message, failure);
      throw failure;
    }
  }

  async #run(context: RequestContext, generation: Generation): Promise<void> {
    const { joined } = generation;
    const prefixKeys = prefixKeysOf(context.pool.name, generation.plan.prompt);
    let fruitless = 0;
    for (;;) {
      const before = joined.delivered.length;
      let kind: AttemptKind = 'first';
      if (context.gate.attempts > 0) kind = before > 0 ? 'resume' : 'retry';
      const started = beginAttempt(context, this.#options, kind, prefixKeys);
      try {
        await this.#attempt(context, generation, started);
        return;
      } catch (error) {
        this.#failed(context, started, error);
        // Every token has arrived and only the end is missing, which needs no engine.
        if (joined.isComplete && context.scope.endedBy === undefined) break;
        fruitless = joined.delivered.length > before ? 1 : fruitless + 1;
        if (!isTransient(error) || !mayTryAgain(context, fruitless)) {
          throw faultOf(error, context.pool.name);
        }
        if (joined.delivered.length > 0) {
          this.#options.logger.info('stream-resumed', { requestId: context.id });
        }
      } finally {
        // What still arrives from an attempt that failed is dropped.
        context.gate.close();
      }
    }
    await deliver(generation, {
      text: '',
      tokenIds: [],
      weightVersion: generation.weightVersion,
      position: joined.delivered.length,
      finishReason: 'length',
    });
    await generation.answer.end();
  }

  async #attempt(
    context: RequestContext,
    generation: Generation,
    { attempt, worker, span }: StartedAttempt,
  ): Promise<void> {
    const request = requestFor(context, generation, attempt.number, span.traceparent);
    const stream = this.#options.engines.generate(worker, request, context.scope.signal);
    for await (const chunk of stream) {
      context.mayHaveRun = true;
      if (!context.gate.pass(attempt, true)) throw new Error('the attempt was abandoned');
      await deliver(generation, chunk);
    }
    span.setAttributes({ 'hyssoppulley.tokens': generation.joined.delivered.length });
    span.end();
    await generation.answer.end();
  }

  #failed(context: RequestContext, started: StartedAttempt, error: unknown): void {
    const kind = error instanceof EngineError ? error.kind : 'broken';
    if (kind === 'not-connected') this.#options.onRefused(started.worker);
    else context.mayHaveRun = true;
    if (context.scope.endedBy === undefined) {
      recordFailedAttempt(context, this.#options, started, kind, messageOf(error));
    } else {
      started.span.end(context.scope.endedBy);
    }
  }

  #answerOf({ response, scope, id }: RequestContext, plan: CompletionPlan): CompletionAnswer {
    const createdSeconds = Math.floor(this.#options.clock.nowMs() / 1000);
    const identity = { id: `cmpl-${id}`, model: plan.model, createdSeconds };
    return plan.stream
      ? new StreamedAnswer(response, identity, plan.includeUsage, scope.signal)
      : new WholeAnswer(response, identity, scope.signal);
  }
}
