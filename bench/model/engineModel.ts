import type { VirtualClock } from '../../src/shared/virtualClock.ts';

/** Parameters of a modelled engine. */
export interface EngineConstants {
  /** Fixed time of a decoding step, in ms. */
  readonly stepBaseMs: number;
  /** Additional time of a step for each sequence in the batch, in ms. */
  readonly stepPerSequenceMs: number;
  /** Time to compute one prompt token that is not in the prefix cache, in ms. */
  readonly prefillPerTokenMs: number;
  /** Maximum number of sequences that are decoded at the same time. */
  readonly maxBatchSize: number;
  /** Number of prompt prefixes that the cache holds. The least recently used prefix is evicted first. */
  readonly maxCachedPrefixes: number;
  /** Time to load new weights, in ms. Nothing is decoded meanwhile. */
  readonly weightLoadMs: number;
}

/**
 * The step times give 625 tokens/s for a batch of 20, close to the 645 tokens/s that each of 11,000 workers must reach at
 * the design size. The load time of weights fits into the 9 s in which all workers must switch to new weights. The other
 * values are assumptions.
 */
export const DEFAULT_ENGINE: EngineConstants = {
  stepBaseMs: 20,
  stepPerSequenceMs: 0.6,
  prefillPerTokenMs: 0.125,
  maxBatchSize: 32,
  maxCachedPrefixes: 12,
  weightLoadMs: 6000,
};

/** A generation request. */
export interface ModelSequence {
  readonly promptTokens: number;
  /** Cache key of the prompt's prefix. */
  readonly prefix: string;
  readonly prefixTokens: number;
  readonly outputTokens: number;
  readonly priority: 'caller' | 'training';
  /** Called on completion with the oldest and the newest weight version among the tokens of the sequence. */
  readonly onDone: (oldestVersion: number, newestVersion: number) => void;
}

interface Running {
  readonly sequence: ModelSequence;
  /** Value of `#progressSteps` at which the sequence is complete. */
  readonly endProgress: number;
  readonly firstVersion: number;
}

/** An engine with continuous batching: every running sequence advances by one token per step. */
export class EngineModel {
  readonly #clock: VirtualClock;

  readonly #constants: EngineConstants;

  readonly #running = new Set<Running>();

  readonly #waiting: ModelSequence[] = [];

  /** Cached prefixes, the least recently used first. */
  readonly #prefixCache = new Set<string>();

  /** Number of decoding steps so far, including the completed fraction of the current step. */
  #progressSteps = 0;

  #updatedMs: number;

  #timer: Disposable | undefined;

  #loading = false;

  version = 0;

  prefixHits = 0;

  prefixMisses = 0;

  /** Integral of the number of running sequences over time, in sequence-ms. */
  sequenceMs = 0;

  constructor(clock: VirtualClock, constants: EngineConstants = DEFAULT_ENGINE) {
    this.#clock = clock;
    this.#constants = constants;
    this.#updatedMs = clock.monotonicMs();
  }

  /** Number of running and waiting sequences. */
  get load(): number {
    return this.#running.size + this.#waiting.length;
  }

  /** Number of callers' running and waiting sequences. */
  get callerLoad(): number {
    const running = [...this.#running].filter(({ sequence }) => sequence.priority === 'caller');
    const waiting = this.#waiting.filter((sequence) => sequence.priority === 'caller');
    return running.length + waiting.length;
  }

  get loading(): boolean {
    return this.#loading;
  }

  submit(sequence: ModelSequence): void {
    if (sequence.priority === 'caller') {
      const firstTraining = this.#waiting.findIndex((other) => other.priority === 'training');
      this.#waiting.splice(
        firstTraining === -1 ? this.#waiting.length : firstTraining,
        0,
        sequence,
      );
    } else {
      this.#waiting.push(sequence);
    }
    this.#updateBatch();
  }

  /** Removes a sequence, whether it is running or waiting. */
  cancel(sequence: ModelSequence): void {
    this.#updateProgress();
    const index = this.#waiting.indexOf(sequence);
    if (index !== -1) this.#waiting.splice(index, 1);
    for (const running of this.#running) {
      if (running.sequence === sequence) this.#running.delete(running);
    }
    this.#updateBatch();
  }

  /** Removes callers' sequences and returns each with the number of tokens that are still to be generated. */
  evictCallers(): { sequence: ModelSequence; remainingTokens: number }[] {
    this.#updateProgress();
    const evicted: { sequence: ModelSequence; remainingTokens: number }[] = [];
    for (const running of this.#running) {
      if (running.sequence.priority === 'caller') {
        const left = Math.ceil(running.endProgress - this.#progressSteps);
        const remainingTokens = Math.max(1, Math.min(left, running.sequence.outputTokens));
        evicted.push({ sequence: running.sequence, remainingTokens });
      }
    }
    for (const sequence of this.#waiting) {
      if (sequence.priority === 'caller') {
        evicted.push({ sequence, remainingTokens: sequence.outputTokens });
      }
    }
    for (const { sequence } of evicted) this.cancel(sequence);
    return evicted;
  }

  /** Stops decoding while new weights are loaded; running sequences then continue with the new weights. */
  loadWeights(version: number, onDone: () => void): void {
    this.#updateProgress();
    this.#loading = true;
    this.#timer?.[Symbol.dispose]();
    this.#clock.schedule(this.#constants.weightLoadMs, () => {
      this.#updatedMs = this.#clock.monotonicMs();
      this.#loading = false;
      this.version = version;
      this.#updateBatch();
      onDone();
    });
  }

  #stepMs(): number {
    const { stepBaseMs, stepPerSequenceMs } = this.#constants;
    return stepBaseMs + stepPerSequenceMs * this.#running.size;
  }

  #updateProgress(): void {
    const nowMs = this.#clock.monotonicMs();
    if (!this.#loading && this.#running.size > 0) {
      this.#progressSteps += (nowMs - this.#updatedMs) / this.#stepMs();
      this.sequenceMs += (nowMs - this.#updatedMs) * this.#running.size;
    }
    this.#updatedMs = nowMs;
  }

  /** Prefill time of a prompt, converted to decoding steps of `stepBaseMs`. Updates the prefix cache. */
  #prefillSteps(sequence: ModelSequence): number {
    const cacheHit = this.#prefixCache.delete(sequence.prefix);
    this.#prefixCache.add(sequence.prefix);
    const [oldest] = this.#prefixCache;
    if (this.#prefixCache.size > this.#constants.maxCachedPrefixes && oldest !== undefined) {
      this.#prefixCache.delete(oldest);
    }
    if (cacheHit) this.prefixHits += 1;
    else this.prefixMisses += 1;
    const uncachedTokens = sequence.promptTokens - (cacheHit ? sequence.prefixTokens : 0);
    return (uncachedTokens * this.#constants.prefillPerTokenMs) / this.#constants.stepBaseMs;
  }

  /** Completes finished sequences, starts waiting ones and schedules the next update. */
  #updateBatch(): void {
    this.#updateProgress();
    if (this.#loading) return;
    const finished = [...this.#running].filter(
      (running) => running.endProgress <= this.#progressSteps + 1e-6,
    );
    for (const running of finished) this.#running.delete(running);
    while (this.#running.size < this.#constants.maxBatchSize && this.#waiting.length > 0) {
      const sequence = this.#waiting.shift() as ModelSequence;
      const steps = sequence.outputTokens + this.#prefillSteps(sequence);
      this.#running.add({
        sequence,
        endProgress: this.#progressSteps + steps,
        firstVersion: this.version,
      });
    }
    this.#timer?.[Symbol.dispose]();
    let nextProgress = Infinity;
    for (const { endProgress } of this.#running) nextProgress = Math.min(nextProgress, endProgress);
    if (nextProgress < Infinity) {
      const delayMs = Math.max(0, nextProgress - this.#progressSteps) * this.#stepMs();
      this.#timer = this.#clock.schedule(delayMs + 1e-6, () => this.#updateBatch());
    }
    for (const { sequence, firstVersion } of finished) sequence.onDone(firstVersion, this.version);
  }
}
