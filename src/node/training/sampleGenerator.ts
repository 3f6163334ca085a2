import { type Clock, sleep } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import type { EngineApi } from '../dataPath/engineApi.ts';
import type { SampleTask } from '../decisions/stepPlan.ts';
import type { WorkerEndpoint } from '../membership/membershipView.ts';
import type { Logger } from '../observability/logger.ts';
import { GenerationError, TokenCollector } from './tokenCollector.ts';
import type { SampleContent, StepSubmission } from './trainerMessages.ts';
import type { WorkerSlots } from './workerSlots.ts';

/** Scores a generated text. Settles within a bounded time. */
export type Scorer = (
  prompt: string,
  text: string,
  signal: AbortSignal,
) => Promise<Readonly<Record<string, number>>>;

export interface SampleGeneratorOptions {
  /** Prefix that makes stream names unique among owners, such as `draft-3`. */
  readonly streamPrefix: string;
  readonly engine: Pick<EngineApi, 'generate'>;
  readonly slots: WorkerSlots;
  readonly score: Scorer;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Whether tokens of a weight version may still be handed over. */
  readonly isFresh: (weightVersion: number) => boolean;
}

/** Maximum number of streams for one attempt of a sample. */
const MAX_STREAMS = 6;

/** Interval between polls for a free worker to resume on, in ms. */
const SLOT_POLL_INTERVAL_MS = 50;

const MAX_SLOT_POLLS = 200;

/** Generates and scores one sample. An interrupted stream is resumed on another worker. */
export class SampleGenerator {
  readonly #options: SampleGeneratorOptions;

  constructor(options: SampleGeneratorOptions) {
    this.#options = options;
  }

  /**
   * @param firstWorker - a worker whose slot the caller has acquired; the slot is released
   * @throws GenerationError when no stream finished
   */
  async generate(
    task: SampleTask,
    step: StepSubmission,
    firstWorker: WorkerEndpoint,
    signal: AbortSignal,
  ): Promise<SampleContent> {
    const group = step.groups[task.groupIndex];
    if (group === undefined) throw new GenerationError(`the step has no group ${task.groupIndex}`);
    const tokens = new TokenCollector();
    const finishReason = await this.#streamWithResume(
      task,
      step,
      group.prompt,
      firstWorker,
      tokens,
      signal,
    );
    const scores = await this.#options.score(group.prompt, tokens.text, signal);
    return {
      stepId: task.stepId,
      groupId: group.groupId,
      ordinal: task.ordinal,
      attempt: task.attempt,
      text: tokens.text,
      tokenIds: tokens.tokenIds,
      ranges: tokens.ranges,
      finishReason,
      scores,
    };
  }

  async #streamWithResume(
    task: SampleTask,
    step: StepSubmission,
    prompt: string,
    firstWorker: WorkerEndpoint,
    tokens: TokenCollector,
    signal: AbortSignal,
  ): Promise<string> {
    const { slots, logger, streamPrefix } = this.#options;
    let worker = firstWorker;
    for (let stream = 0; stream < MAX_STREAMS; stream += 1) {
      const streamId = `${streamPrefix}-${task.stepId}-${task.ordinal}-${task.attempt}-${stream}`;
      try {
        return await this.#runStream(streamId, task, step, prompt, worker, tokens, signal);
      } catch (error) {
        if (signal.aborted) throw error;
        slots.avoid(worker);
        logger.debug('sample-stream-failed', { streamId, message: messageOf(error) });
        if (error instanceof GenerationError) throw error;
      } finally {
        slots.release(worker);
      }
      worker = await this.#waitForSlot(signal);
    }
    slots.release(worker);
    throw new GenerationError(`none of ${MAX_STREAMS} streams finished`);
  }

  async #runStream(
    streamId: string,
    task: SampleTask,
    { sampling }: StepSubmission,
    prompt: string,
    worker: WorkerEndpoint,
    tokens: TokenCollector,
    signal: AbortSignal,
  ): Promise<string> {
    const { engine, isFresh } = this.#options;
    // All tokens were received, but the previous stream was interrupted before its finish reason.
    if (tokens.tokenIds.length >= sampling.maxTokens) return 'length';
    const request = {
      streamId,
      prompt,
      maxTokens: sampling.maxTokens,
      temperature: sampling.temperature,
      seed: sampling.seed === undefined ? undefined : sampling.seed + task.ordinal,
      priority: 'training' as const,
      resumeAfter: tokens.tokenIds.length > 0 ? [...tokens.tokenIds] : undefined,
    };
    for await (const chunk of engine.generate(worker, request, signal)) {
      tokens.add(chunk);
      const [oldest] = tokens.ranges;
      if (oldest && !isFresh(oldest.weightVersion)) {
        throw new GenerationError(`weight version ${oldest.weightVersion} is too old`);
      }
      if (chunk.finishReason !== undefined) return chunk.finishReason;
    }
    throw new Error('the stream ended without a finish reason');
  }

  async #waitForSlot(signal: AbortSignal): Promise<WorkerEndpoint> {
    for (let poll = 0; poll < MAX_SLOT_POLLS && !signal.aborted; poll += 1) {
      const worker = this.#options.slots.acquire();
      if (worker) return worker;
      await sleep(this.#options.clock, SLOT_POLL_INTERVAL_MS, signal);
    }
    throw new GenerationError('no worker became free to resume the sample');
  }
}
