import { type Clock, sleep } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import type { EngineApi } from '../dataPath/engineApi.ts';
import type { SampleTask } from '../decisions/stepPlan.ts';
import type { WorkerEndpoint } from '../membership/membershipView.ts';
import type { Logger } from '../observability/logger.ts';
import { GenerationError, TokenCollector } from './tokenCollector.ts';
import type { SampleContent, StepSubmission } from './trainerMessages.ts';
import type { WorkerSlots } from './workerSlots.ts';

/** Scores a generated text. Resolves within a bounded time or rejects. */
export type Scorer = (
  prompt: string,
  text: string,
  signal: AbortSignal,
) => Promise<Readonly<Record<string, number>>>;

export interface SampleGeneratorOptions {
  /** Makes stream names unique among owners, such as `draft-3`. */
  readonly streamPrefix: string;
  readonly engine: Pick<EngineApi, 'generate'>;
  readonly slots: WorkerSlots;
  readonly score: Scorer;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Whether tokens of this weight version may still be handed over. */
  readonly isFresh: (weightVersion: number) => boolean;
}

/** Streams tried for one attempt of a sample. */
const MAX_STREAMS = 6;

/** Between looks for a free worker to resume on, in ms. */
const SLOT_WAIT_MS = 50;

const MAX_SLOT_WAITS = 200;

/** Generates and scores one sample. A stream that breaks off is resumed on another worker. */
export class SampleGenerator {
  readonly #options: SampleGeneratorOptions;

  constructor(options: SampleGeneratorOptions) {
    this.#options = options;
  }

  /**
   * @param first - a worker whose slot is taken; the slot is given back
   * @throws GenerationError when no stream ended regularly
   */
  async generate(
    task: SampleTask,
    step: StepSubmission,
    first: WorkerEndpoint,
    signal: AbortSignal,
  ): Promise<SampleContent> {
    const group = step.groups[task.groupIndex];
    if (group === undefined) throw new GenerationError(`step has no group ${task.groupIndex}`);
    const tokens = new TokenCollector();
    const finishReason = await this.#streams(task, step, group.prompt, first, tokens, signal);
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

  async #streams(
    task: SampleTask,
    step: StepSubmission,
    prompt: string,
    first: WorkerEndpoint,
    tokens: TokenCollector,
    signal: AbortSignal,
  ): Promise<string> {
    const { slots, logger, streamPrefix } = this.#options;
    let worker = first;
    for (let stream = 0; stream < MAX_STREAMS; stream += 1) {
      const streamId = `${streamPrefix}-${task.stepId}-${task.ordinal}-${task.attempt}-${stream}`;
      try {
        return await this.#stream(streamId, task, step, prompt, worker, tokens, signal);
      } catch (error) {
        if (signal.aborted) throw error;
        slots.avoid(worker);
        logger.debug('sample-stream-failed', { streamId, message: messageOf(error) });
        if (error instanceof GenerationError) throw error;
      } finally {
        slots.giveBack(worker);
      }
      worker = await this.#takeSlot(signal);
    }
    slots.giveBack(worker);
    throw new GenerationError(`no stream of ${MAX_STREAMS} ended regularly`);
  }

  async #stream(
    streamId: string,
    task: SampleTask,
    { sampling }: StepSubmission,
    prompt: string,
    worker: WorkerEndpoint,
    tokens: TokenCollector,
    signal: AbortSignal,
  ): Promise<string> {
    const { engine, isFresh } = this.#options;
    // The stream broke off between its last token and the finish reason.
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

  async #takeSlot(signal: AbortSignal): Promise<WorkerEndpoint> {
    for (let wait = 0; wait < MAX_SLOT_WAITS && !signal.aborted; wait += 1) {
      const worker = this.#options.slots.take();
      if (worker) return worker;
      await sleep(this.#options.clock, SLOT_WAIT_MS, signal);
    }
    throw new GenerationError('no worker is free to resume the sample on');
  }
}
