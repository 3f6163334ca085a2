import { seededRandom, type Random } from '../../src/shared/random.ts';
import { VirtualClock } from '../../src/shared/virtualClock.ts';
import { DEFAULT_ENGINE, EngineModel, type ModelSequence } from './engineModel.ts';
import { exponential, mean, normal } from './statistics.ts';

/** How new weights reach the engines. */
export type ModelRollout =
  | 'all-at-once'
  | 'rolling'
  | 'interrupt-resume'
  /** Resumes the callers' streams of an engine on others, then interrupts the training streams. */
  | 'interrupt-move-callers'
  /** Waits for the callers' streams of an engine, then interrupts the training streams. */
  | 'interrupt-after-callers';

/** How the last samples of a step are treated. */
export type StragglerPolicy = 'none' | 'longest-first' | 'duplicate-last';

export interface TrainingScenario {
  readonly seed: number;
  readonly engines: number;
  readonly rollout: ModelRollout;
  readonly stragglers: StragglerPolicy;
  /** Steps that are generated at the same time. */
  readonly stepsInFlight: number;
  /** Largest staleness, in versions, of a sample when the trainer uses it. */
  readonly maxStalenessVersions: number;
  /** Engines that decode at half speed. */
  readonly slowEngines: number;
  /** Loads that the weight store serves at the same time. */
  readonly storeLoadsAtOnce: number;
  /** Modelled time, in ms. */
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
  storeLoadsAtOnce: 3,
  durationMs: 3_600_000,
};

/** Groups of a step, samples of a group, and output lengths in tokens (log-normal for groups and within them). */
const GROUPS = 16;
const SAMPLES_PER_GROUP = 8;
const MEDIAN_OUTPUT_TOKENS = 300;
const GROUP_SIGMA = 0.5;
const SAMPLE_SIGMA = 0.6;
const MAX_OUTPUT_TOKENS = 3000;
/** Time for which the trainer computes on one step, in ms. */
const TRAIN_MS = 30_000;
/** Requests of callers on the same engines: mean time between them, in ms, and their output in tokens. */
const CALLER_INTERVAL_MS = 400;
const CALLER_OUTPUT_TOKENS = 120;
/** Samples of a step that are left when duplicates are started. */
const DUPLICATE_LAST = 6;

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
  /** Tokens made and not used, as a share of all. */
  readonly wastedFraction: number;
  readonly callerP99Ms: number;
  /** Samples whose tokens come from more than one version, as a share of all. */
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

  readonly #callerMs: number[] = [];

  #submitted = 0;

  #trainerVersion = 0;

  #currentStep = 0;

  #training = false;

  #idleMs = 0;

  #idleSinceMs = 0;

  #usedTokens = 0;

  #wastedTokens = 0;

  #mixed = 0;

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
    this.#nextCaller();
    this.#clock.advance(this.#scenario.durationMs);
    if (!this.#training) this.#idleMs += this.#clock.monotonicMs() - this.#idleSinceMs;
    const totalTokens = this.#usedTokens + this.#wastedTokens;
    const sorted = [...this.#callerMs].sort((a, b) => a - b);
    return {
      steps: this.#currentStep,
      idleFraction: this.#idleMs / this.#scenario.durationMs,
      meanStaleness: mean(this.#staleness),
      maxStaleness: Math.max(0, ...this.#staleness),
      wastedFraction: this.#wastedTokens / Math.max(1, totalTokens),
      callerP99Ms: sorted[Math.floor(sorted.length * 0.99)] ?? 0,
      mixedFraction: this.#mixed / Math.max(1, this.#staleness.length),
    };
  }

  #submitSteps(): void {
    while (this.#submitted < this.#currentStep + this.#scenario.stepsInFlight) {
      const step = this.#submitted;
      this.#submitted += 1;
      const samples: Sample[] = [];
      for (let group = 0; group < GROUPS; group += 1) {
        const groupMedianTokens =
          MEDIAN_OUTPUT_TOKENS * Math.exp(GROUP_SIGMA * normal(this.#random));
        for (let index = 0; index < SAMPLES_PER_GROUP; index += 1) {
          const drawn = groupMedianTokens * Math.exp(SAMPLE_SIGMA * normal(this.#random));
          samples.push({
            step,
            group,
            groupMedianTokens,
            outputTokens: Math.min(MAX_OUTPUT_TOKENS, Math.max(16, Math.round(drawn))),
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
          engine.load < DEFAULT_ENGINE.maxBatch,
      )
      .sort((a, b) => a.load - b.load)[0];
  }

  #dispatch(): void {
    for (let engine = this.#freeEngine(); engine; engine = this.#freeEngine()) {
      const sample = this.#pending.shift();
      if (sample === undefined) break;
      this.#start(sample, engine);
    }
    if (this.#scenario.stragglers === 'duplicate-last') this.#duplicateLast();
  }

  #duplicateLast(): void {
    const left = (this.#steps.get(this.#currentStep) ?? []).filter((sample) => !sample.done);
    if (left.length > DUPLICATE_LAST) return;
    for (const sample of left) {
      const engine = this.#freeEngine(sample.attempts[0]?.engine);
      if (sample.attempts.length === 1 && engine) this.#start(sample, engine);
    }
  }

  #start(sample: Sample, engine: EngineModel): void {
    const sequence: ModelSequence = {
      promptTokens: 200,
      prefix: `${sample.step}/${sample.group}`,
      prefixTokens: 200,
      outputTokens: sample.outputTokens,
      priority: 'training',
      onDone: (oldest, newest) => this.#finish(sample, sequence, oldest, newest),
    };
    sample.attempts.push({ engine, sequence });
    engine.submit(sequence);
  }

  #finish(sample: Sample, sequence: ModelSequence, oldest: number, newest: number): void {
    for (const attempt of sample.attempts) {
      if (attempt.sequence !== sequence) {
        attempt.engine.cancel(attempt.sequence);
        this.#wastedTokens += sample.outputTokens / 2;
      }
    }
    Object.assign(sample, { attempts: [], done: true, oldestVersion: oldest });
    if (oldest !== newest) this.#mixed += 1;
    this.#dispatch();
    this.#tryTrain();
  }

  #tryTrain(): void {
    const samples = this.#steps.get(this.#currentStep);
    if (this.#training || samples === undefined || !samples.every((sample) => sample.done)) return;
    const tooOld = samples.filter(
      (sample) => this.#trainerVersion - sample.oldestVersion > this.#scenario.maxStalenessVersions,
    );
    if (tooOld.length > 0) {
      for (const sample of tooOld) {
        sample.done = false;
        this.#wastedTokens += sample.outputTokens;
      }
      this.#pending.unshift(...tooOld);
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
    this.#clock.schedule(TRAIN_MS, () => this.#publish());
  }

  #publish(): void {
    this.#training = false;
    this.#idleSinceMs = this.#clock.monotonicMs();
    this.#trainerVersion += 1;
    if (!this.#rollingOut) this.#rollOut();
    this.#tryTrain();
  }

  #rollOut(): void {
    this.#rollingOut = true;
    const version = this.#trainerVersion;
    const left = [...this.#engines];
    const { rollout, storeLoadsAtOnce } = this.#scenario;
    if (rollout === 'all-at-once') left.forEach((engine) => this.#draining.add(engine));
    let active = 0;
    const startNext = (): void => {
      const engine = left.shift();
      if (engine === undefined) return;
      active += 1;
      this.#swapWhenReady(engine, version, () => {
        active -= 1;
        startNext();
        if (active > 0) return;
        this.#rollingOut = false;
        if (this.#trainerVersion > version) this.#rollOut();
      });
    };
    const atOnce = rollout === 'rolling' ? 1 : storeLoadsAtOnce;
    for (let started = 0; started < atOnce; started += 1) startNext();
  }

  #swapWhenReady(engine: EngineModel, version: number, onDone: () => void): void {
    const { rollout } = this.#scenario;
    if (rollout !== 'interrupt-resume') this.#draining.add(engine);
    const waitFor = () => {
      if (rollout === 'interrupt-resume' || rollout === 'interrupt-move-callers') return 0;
      return rollout === 'interrupt-after-callers' ? engine.callerLoad : engine.load;
    };
    const attempt = () => {
      if (waitFor() > 0) {
        this.#clock.schedule(250, attempt);
        return;
      }
      const moved = rollout === 'interrupt-move-callers' ? engine.evictCallers() : [];
      engine.swap(version, () => {
        this.#draining.delete(engine);
        this.#dispatch();
        onDone();
      });
      for (const { sequence, remainingTokens } of moved) {
        // The prompt and the tokens so far are computed again on the other engine.
        const promptTokens = sequence.promptTokens + sequence.outputTokens - remainingTokens;
        this.#engineForCaller()?.submit({
          ...sequence,
          promptTokens,
          outputTokens: remainingTokens,
        });
      }
    };
    attempt();
  }

  /** The least loaded engine that takes callers' requests now. */
  #engineForCaller(): EngineModel | undefined {
    const free = this.#engines.filter(
      (candidate) => !this.#draining.has(candidate) && !candidate.loading,
    );
    return free.sort((a, b) => a.load - b.load)[0] ?? this.#engines[0];
  }

  #nextCaller(): void {
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
          this.#callerMs.push(this.#clock.monotonicMs() - startMs);
          this.#dispatch();
        },
      });
      this.#nextCaller();
    });
  }
}

/** Runs one trainer and its callers on a modelled pool. */
export const runTraining = (overrides: Partial<TrainingScenario>): TrainingResult =>
  new TrainingRun({ ...DEFAULT_TRAINING, ...overrides }).run();
