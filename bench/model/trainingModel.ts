import { seededRandom, type Random } from '../../src/shared/random.ts';
import { VirtualClock } from '../../src/shared/virtualClock.ts';
import { DEFAULT_ENGINE, EngineModel, type ModelSequence } from './engineModel.ts';
import { exponential, mean, normal } from './statistics.ts';

/** How engines switch to new weights. */
export type ModelRollout =
  | 'all-at-once'
  | 'rolling'
  | 'interrupt-resume'
  /** Moves the callers' streams of an engine to other engines, then interrupts its training streams. */
  | 'interrupt-move-callers'
  /** Waits until the callers' streams of an engine have ended, then interrupts its training streams. */
  | 'interrupt-after-callers';

/** How the wait for the last samples of a step is shortened. */
export type StragglerPolicy = 'none' | 'longest-first' | 'duplicate-last';

export interface TrainingScenario {
  readonly seed: number;
  readonly engines: number;
  readonly rollout: ModelRollout;
  readonly stragglers: StragglerPolicy;
  /** Number of steps whose samples are generated at the same time. */
  readonly stepsInFlight: number;
  /** Maximum staleness of a sample when the trainer uses it, in versions. */
  readonly maxStalenessVersions: number;
  /** Number of engines that decode at half speed. */
  readonly slowEngines: number;
  /** Maximum number of engines that load weights from the weight store at the same time. */
  readonly maxConcurrentLoads: number;
  /** Virtual time that is modelled, in ms. */
  readonly durationMs: number;
}

export const DEFAULT_TRAINING: TrainingScenario = {
  seed: 1,
  engines: 6,
  rollout: 'interrupt-resume',
  stragglers: 'none',
  stepsInFlight: 2,
  maxStalenessVersions: 4,
  slowEngines: 0,
  maxConcurrentLoads: 3,
  durationMs: 3_600_000,
};

/** Groups per step, samples per group, and output lengths in tokens (log-normal between groups and within a group). */
const GROUPS = 16;
const SAMPLES_PER_GROUP = 8;
const MEDIAN_OUTPUT_TOKENS = 300;
const GROUP_SIGMA = 0.5;
const SAMPLE_SIGMA = 0.6;
const MAX_OUTPUT_TOKENS = 3000;
/** Time that the trainer needs to train on one step, in ms. */
const TRAINING_STEP_MS = 30_000;
/** Callers' requests to the same engines: mean time between requests, in ms, and output length in tokens. */
const CALLER_INTERVAL_MS = 400;
const CALLER_OUTPUT_TOKENS = 120;
/** Duplicates are started when at most this many samples of the current step are unfinished. */
const MAX_DUPLICATED_SAMPLES = 6;

interface Sample {
  readonly step: number;
  readonly group: number;
  readonly outputTokens: number;
  readonly groupMedianTokens: number;
  attempts: { engine: EngineModel; sequence: ModelSequence }[];
  done: boolean;
  oldestVersion: number;
}

export interface TrainingResult {
  readonly steps: number;
  readonly idleFraction: number;
  readonly meanStaleness: number;
  readonly maxStaleness: number;
  /** Share of the generated tokens that the trainer did not use. */
  readonly wastedFraction: number;
  readonly callerP99Ms: number;
  /** Share of the samples whose tokens come from more than one weight version. */
  readonly mixedFraction: number;
}

class TrainingRun {
  readonly #scenario: TrainingScenario;

  readonly #clock = new VirtualClock(0);

  readonly #random: Random;

  readonly #engines: EngineModel[];

  readonly #draining = new Set<EngineModel>();

  readonly #pending: Sample[] = [];

  readonly #steps = new Map<number, Sample[]>();

  readonly #staleness: number[] = [];

  readonly #callerLatenciesMs: number[] = [];

  #submittedSteps = 0;

  #trainerVersion = 0;

  #currentStep = 0;

  #training = false;

  #idleMs = 0;

  #idleSinceMs = 0;

  #usedTokens = 0;

  #wastedTokens = 0;

  #mixedSamples = 0;

  #rollingOut = false;

  constructor(scenario: TrainingScenario) {
    this.#scenario = scenario;
    this.#random = seededRandom(scenario.seed);
    this.#engines = Array.from(
      { length: scenario.engines },
      (_, index) =>
        new EngineModel(
          this.#clock,
          index < scenario.slowEngines
            ? {
                ...DEFAULT_ENGINE,
                stepBaseMs: DEFAULT_ENGINE.stepBaseMs * 2,
                stepPerSequenceMs: DEFAULT_ENGINE.stepPerSequenceMs * 2,
              }
            : DEFAULT_ENGINE,
        ),
    );
  }

  run(): TrainingResult {
    this.#submitSteps();
    this.#scheduleNextCaller();
    this.#clock.advance(this.#scenario.durationMs);
    if (!this.#training) this.#idleMs += this.#clock.monotonicMs() - this.#idleSinceMs;
    const totalTokens = this.#usedTokens + this.#wastedTokens;
    const sorted = [...this.#callerLatenciesMs].sort((a, b) => a - b);
    return {
      steps: this.#currentStep,
      idleFraction: this.#idleMs / this.#scenario.durationMs,
      meanStaleness: mean(this.#staleness),
      maxStaleness: Math.max(0, ...this.#staleness),
      wastedFraction: this.#wastedTokens / Math.max(1, totalTokens),
      callerP99Ms: sorted[Math.floor(sorted.length * 0.99)] ?? 0,
      mixedFraction: this.#mixedSamples / Math.max(1, this.#staleness.length),
    };
  }

  #submitSteps(): void {
    while (this.#submittedSteps < this.#currentStep + this.#scenario.stepsInFlight) {
      const step = this.#submittedSteps;
      this.#submittedSteps += 1;
      const samples: Sample[] = [];
      for (let group = 0; group < GROUPS; group += 1) {
        const groupMedianTokens =
          MEDIAN_OUTPUT_TOKENS * Math.exp(GROUP_SIGMA * normal(this.#random));
        for (let index = 0; index < SAMPLES_PER_GROUP; index += 1) {
          const drawnTokens = groupMedianTokens * Math.exp(SAMPLE_SIGMA * normal(this.#random));
          samples.push({
            step,
            group,
            groupMedianTokens,
            outputTokens: Math.min(MAX_OUTPUT_TOKENS, Math.max(16, Math.round(drawnTokens))),
            attempts: [],
            done: false,
            oldestVersion: 0,
          });
        }
      }
      if (this.#scenario.stragglers === 'longest-first') {
        samples.sort((a, b) => b.groupMedianTokens - a.groupMedianTokens);
      }
      this.#steps.set(step, samples);
      this.#pending.push(...samples);
    }
    this.#dispatch();
  }

  #freeEngine(except?: EngineModel): EngineModel | undefined {
    return this.#engines
      .filter(
        (engine) =>
          engine !== except &&
          !this.#draining.has(engine) &&
          !engine.loading &&
          engine.load < DEFAULT_ENGINE.maxBatchSize,
      )
      .sort((a, b) => a.load - b.load)[0];
  }

  #dispatch(): void {
    for (let engine = this.#freeEngine(); engine; engine = this.#freeEngine()) {
      const sample = this.#pending.shift();
      if (sample === undefined) break;
      this.#startAttempt(sample, engine);
    }
    if (this.#scenario.stragglers === 'duplicate-last') this.#duplicateStragglers();
  }

  #duplicateStragglers(): void {
    const unfinished = (this.#steps.get(this.#currentStep) ?? []).filter((sample) => !sample.done);
    if (unfinished.length > MAX_DUPLICATED_SAMPLES) return;
    for (const sample of unfinished) {
      const engine = this.#freeEngine(sample.attempts[0]?.engine);
      if (sample.attempts.length === 1 && engine) this.#startAttempt(sample, engine);
    }
  }

  #startAttempt(sample: Sample, engine: EngineModel): void {
    const sequence: ModelSequence = {
      promptTokens: 200,
      prefix: `${sample.step}/${sample.group}`,
      prefixTokens: 200,
      outputTokens: sample.outputTokens,
      priority: 'training',
      onDone: (oldest, newest) => this.#finishSample(sample, sequence, oldest, newest),
    };
    sample.attempts.push({ engine, sequence });
    engine.submit(sequence);
  }

  #finishSample(sample: Sample, sequence: ModelSequence, oldest: number, newest: number): void {
    for (const attempt of sample.attempts) {
      if (attempt.sequence !== sequence) {
        attempt.engine.cancel(attempt.sequence);
        this.#wastedTokens += sample.outputTokens / 2;
      }
    }
    Object.assign(sample, { attempts: [], done: true, oldestVersion: oldest });
    if (oldest !== newest) this.#mixedSamples += 1;
    this.#dispatch();
    this.#trainIfReady();
  }

  #trainIfReady(): void {
    const samples = this.#steps.get(this.#currentStep);
    if (this.#training || samples === undefined || !samples.every((sample) => sample.done)) return;
    const staleSamples = samples.filter(
      (sample) => this.#trainerVersion - sample.oldestVersion > this.#scenario.maxStalenessVersions,
    );
    if (staleSamples.length > 0) {
      for (const sample of staleSamples) {
        sample.done = false;
        this.#wastedTokens += sample.outputTokens;
      }
      this.#pending.unshift(...staleSamples);
      this.#dispatch();
      return;
    }
    for (const sample of samples) {
      this.#staleness.push(this.#trainerVersion - sample.oldestVersion);
      this.#usedTokens += sample.outputTokens;
    }
    this.#steps.delete(this.#currentStep);
    this.#idleMs += this.#clock.monotonicMs() - this.#idleSinceMs;
    this.#training = true;
    this.#currentStep += 1;
    this.#submitSteps();
    this.#clock.schedule(TRAINING_STEP_MS, () => this.#publish());
  }

  #publish(): void {
    this.#training = false;
    this.#idleSinceMs = this.#clock.monotonicMs();
    this.#trainerVersion += 1;
    if (!this.#rollingOut) this.#rollOut();
    this.#trainIfReady();
  }

  #rollOut(): void {
    this.#rollingOut = true;
    const version = this.#trainerVersion;
    const remaining = [...this.#engines];
    const { rollout, maxConcurrentLoads } = this.#scenario;
    if (rollout === 'all-at-once') remaining.forEach((engine) => this.#draining.add(engine));
    let active = 0;
    const startNext = (): void => {
      const engine = remaining.shift();
      if (engine === undefined) return;
      active += 1;
      this.#loadWhenReady(engine, version, () => {
        active -= 1;
        startNext();
        if (active > 0) return;
        this.#rollingOut = false;
        if (this.#trainerVersion > version) this.#rollOut();
      });
    };
    const concurrentLoads = rollout === 'rolling' ? 1 : maxConcurrentLoads;
    for (let started = 0; started < concurrentLoads; started += 1) startNext();
  }

  #loadWhenReady(engine: EngineModel, version: number, onDone: () => void): void {
    const { rollout } = this.#scenario;
    if (rollout !== 'interrupt-resume') this.#draining.add(engine);
    const blockingLoad = () => {
      if (rollout === 'interrupt-resume' || rollout === 'interrupt-move-callers') return 0;
      return rollout === 'interrupt-after-callers' ? engine.callerLoad : engine.load;
    };
    const loadOrRetry = () => {
      if (blockingLoad() > 0) {
        this.#clock.schedule(250, loadOrRetry);
        return;
      }
      const evicted = rollout === 'interrupt-move-callers' ? engine.evictCallers() : [];
      engine.loadWeights(version, () => {
        this.#draining.delete(engine);
        this.#dispatch();
        onDone();
      });
      for (const { sequence, remainingTokens } of evicted) {
        // The other engine computes the prompt and the tokens generated so far again.
        const promptTokens = sequence.promptTokens + sequence.outputTokens - remainingTokens;
        this.#engineForCaller()?.submit({
          ...sequence,
          promptTokens,
          outputTokens: remainingTokens,
        });
      }
    };
    loadOrRetry();
  }

  /** Returns the least loaded engine that accepts callers' requests, or the first engine if none does. */
  #engineForCaller(): EngineModel | undefined {
    const free = this.#engines.filter(
      (candidate) => !this.#draining.has(candidate) && !candidate.loading,
    );
    return free.sort((a, b) => a.load - b.load)[0] ?? this.#engines[0];
  }

  #scheduleNextCaller(): void {
    this.#clock.schedule(exponential(this.#random, CALLER_INTERVAL_MS), () => {
      const startMs = this.#clock.monotonicMs();
      const engine = this.#engineForCaller();
      engine?.submit({
        promptTokens: 300,
        prefix: 'callers',
        prefixTokens: 200,
        outputTokens: CALLER_OUTPUT_TOKENS,
        priority: 'caller',
        onDone: () => {
          this.#callerLatenciesMs.push(this.#clock.monotonicMs() - startMs);
          this.#dispatch();
        },
      });
      this.#scheduleNextCaller();
    });
  }
}

/** Simulates one trainer and the callers of a modelled engine pool. */
export const runTraining = (overrides: Partial<TrainingScenario>): TrainingResult =>
  new TrainingRun({ ...DEFAULT_TRAINING, ...overrides }).run();
