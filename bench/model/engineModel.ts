import type { VirtualClock } from '../../src/shared/virtualClock.ts';

/** Constants of a modelled engine. */
export interface EngineConstants {
  /** Time of one decoding step for a batch of one, in ms. */
  readonly stepBaseMs: number;
  /** Added to a step for each sequence in the batch, in ms. */
  readonly stepPerSequenceMs: number;
  /** Time to compute one prompt token that is not in the prefix cache, in ms. */
  readonly prefillPerTokenMs: number;
  /** Sequences decoded at the same time. */
  readonly maxBatch: number;
  /** Prompt prefixes that the cache holds; the least recently used goes first. */
  readonly cachedPrefixes: number;
  /** Time in which new weights are loaded and nothing is decoded, in ms. */
  readonly swapMs: number;
}

/**
 * The step times give 625 tokens/s for a batch of 20: close to the 645 tokens/s for each of 11,000 workers that the design
 * size asks for. The swap fits the 9 s in which all workers take new weights. The rest are assumptions.
 */
export const DEFAULT_ENGINE: EngineConstants = {
  stepBaseMs: 20,
  stepPerSequenceMs: 0.6,
  prefillPerTokenMs: 0.125,
  maxBatch: 32,
  cachedPrefixes: 12,
  swapMs: 6000,
};

/** One generation. */
export interface ModelSequence {
  readonly promptTokens: number;
  /** Name of the prompt's prefix in the cache. */
  readonly prefix: string;
  readonly prefixTokens: number;
  readonly outputTokens: number;
  readonly priority: 'caller' | 'training';
  /** Called at the end with the oldest and the newest weight version of the sequence's tokens. */
  readonly onDone: (oldestVersion: number, newestVersion: number) => void;
}

interface Running {
  readonly sequence: ModelSequence;
  readonly endProgress: number;
  readonly firstVersion: number;
}

/** An engine with continuous batching: every running sequence advances by one token a step. */
export class EngineModel {
  readonly #clock: VirtualClock;

  readonly #constants: EngineConstants;

  readonly #running = new Set<Running>();

  readonly #waiting: ModelSequence[] = [];

  /** Prefixes in the cache, the least recently used first. */
  readonly #cache = new Set<string>();

  #progressTokens = 0;

  #updatedMs: number;

  #timer: Disposable | undefined;

  #loading = false;

  version = 0;

  prefixHits = 0;

  prefixMisses = 0;

  /** Running sequences summed over time, in sequence-ms. */
  sequenceMs = 0;

  constructor(clock: VirtualClock, constants: EngineConstants = DEFAULT_ENGINE) {
    this.#clock = clock;
    this.#constants = constants;
    this.#updatedMs = clock.monotonicMs();
  }

  /** Sequences that run or wait. */
  get load(): number {
    return this.#running.size + this.#waiting.length;
  }

  /** Callers' sequences that run or wait. */
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
      const behind = this.#waiting.findIndex((other) => other.priority === 'training');
      this.#waiting.splice(behind === -1 ? this.#waiting.length : behind, 0, sequence);
    } else {
      this.#waiting.push(sequence);
    }
    this.#advance();
  }

  /** Takes a sequence away, wherever it is. */
  cancel(sequence: ModelSequence): void {
    this.#settle();
    const index = this.#waiting.indexOf(sequence);
    if (index !== -1) this.#waiting.splice(index, 1);
    for (const running of this.#running) {
      if (running.sequence === sequence) this.#running.delete(running);
    }
    this.#advance();
  }

  /** Takes callers' sequences away and returns each with the tokens that it still has to make. */
  evictCallers(): { sequence: ModelSequence; remainingTokens: number }[] {
    this.#settle();
    const evicted: { sequence: ModelSequence; remainingTokens: number }[] = [];
    for (const running of this.#running) {
      if (running.sequence.priority === 'caller') {
        const left = Math.ceil(running.endProgress - this.#progressTokens);
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

  /** Stops decoding for the swap time; running sequences go on with the new weights afterwards. */
  swap(version: number, onDone: () => void): void {
    this.#settle();
    this.#loading = true;
    this.#timer?.[Symbol.dispose]();
    this.#clock.schedule(this.#constants.swapMs, () => {
      this.#updatedMs = this.#clock.monotonicMs();
      this.#loading = false;
      this.version = version;
      this.#advance();
      onDone();
    });
  }

  #stepMs(): number {
    const { stepBaseMs, stepPerSequenceMs } = this.#constants;
    return stepBaseMs + stepPerSequenceMs * this.#running.size;
  }

  #settle(): void {
    const nowMs = this.#clock.monotonicMs();
    if (!this.#loading && this.#running.size > 0) {
      this.#progressTokens += (nowMs - this.#updatedMs) / this.#stepMs();
      this.sequenceMs += (nowMs - this.#updatedMs) * this.#running.size;
    }
    this.#updatedMs = nowMs;
  }

  #prefillTokens(sequence: ModelSequence): number {
    const hit = this.#cache.delete(sequence.prefix);
    this.#cache.add(sequence.prefix);
    const [oldest] = this.#cache;
    if (this.#cache.size > this.#constants.cachedPrefixes && oldest !== undefined) {
      this.#cache.delete(oldest);
    }
    if (hit) this.prefixHits += 1;
    else this.prefixMisses += 1;
    const toCompute = sequence.promptTokens - (hit ? sequence.prefixTokens : 0);
    return (toCompute * this.#constants.prefillPerTokenMs) / this.#constants.stepBaseMs;
  }

  #advance(): void {
    this.#settle();
    if (this.#loading) return;
    const finished = [...this.#running].filter(
      (running) => running.endProgress <= this.#progressTokens + 1e-6,
    );
    for (const running of finished) this.#running.delete(running);
    while (this.#running.size < this.#constants.maxBatch && this.#waiting.length > 0) {
      const sequence = this.#waiting.shift() as ModelSequence;
      const tokens = sequence.outputTokens + this.#prefillTokens(sequence);
      this.#running.add({
        sequence,
        endProgress: this.#progressTokens + tokens,
        firstVersion: this.version,
      });
    }
    this.#timer?.[Symbol.dispose]();
    let nextProgress = Infinity;
    for (const { endProgress } of this.#running) nextProgress = Math.min(nextProgress, endProgress);
    if (nextProgress < Infinity) {
      const inMs = Math.max(0, nextProgress - this.#progressTokens) * this.#stepMs();
      this.#timer = this.#clock.schedule(inMs + 1e-6, () => this.#advance());
    }
    for (const { sequence, firstVersion } of finished) sequence.onDone(firstVersion, this.version);
  }
}
