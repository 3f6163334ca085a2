import type { WorkerCandidate, WorkerSelector } from '../../src/node/decisions/workerSelection.ts';
import { seededRandom } from '../../src/shared/random.ts';
import { VirtualClock } from '../../src/shared/virtualClock.ts';
import { DEFAULT_ENGINE, EngineModel } from './engineModel.ts';
import { exponential, mean, quantile } from './statistics.ts';

export interface RoutingScenario {
  readonly seed: number;
  readonly workers: number;
  /** Entry nodes, each with its own in-flight counts. */
  readonly entries: number;
  /** Age of a load report when it arrives, and time between reports, in ms. */
  readonly reportLagMs: number;
  /** Delay of a cache event, in ms. */
  readonly cacheEventDelayMs: number;
  /** Share of cache events that never arrive. */
  readonly cacheEventLoss: number;
  /** Mean time between requests, in ms, for the whole pool. */
  readonly requestIntervalMs: number;
  readonly durationMs: number;
  /** Workers that decode at half speed. */
  readonly slowWorkers: number;
  /** Share of callers that use the first entry; the rest spread evenly. 0: all spread evenly. */
  readonly busyEntryShare: number;
  /** Workers that one entry uses; 0: all. */
  readonly subsetSize: number;
}

export const DEFAULT_ROUTING: RoutingScenario = {
  seed: 1,
  workers: 6,
  entries: 4,
  reportLagMs: 1000,
  cacheEventDelayMs: 2000,
  cacheEventLoss: 0.2,
  requestIntervalMs: 42,
  durationMs: 900_000,
  slowWorkers: 0,
  busyEntryShare: 0,
  subsetSize: 0,
};

/** Prompt prefixes in use, more than one engine's cache holds; the first are the most frequent (Zipf, exponent 1). */
const PREFIXES = 48;
const PREFIX_TOKENS = 1500;
const QUESTION_TOKENS = 100;
const OUTPUT_TOKENS = 120;

export interface RoutingResult {
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
  readonly prefixHitShare: number;
  /** Mean running sequences of the busiest worker over the mean of all. */
  readonly imbalance: number;
}

const HALF_SPEED = {
  ...DEFAULT_ENGINE,
  stepBaseMs: DEFAULT_ENGINE.stepBaseMs * 2,
  stepPerSequenceMs: DEFAULT_ENGINE.stepPerSequenceMs * 2,
};

interface Entry {
  /** Requests of other entries by worker, as the product derives them from a report. */
  readonly others: (number | undefined)[];
  /** Workers that the entry uses. */
  readonly subset: readonly number[];
  readonly inFlight: number[];
  /** Workers that are believed to hold a prefix. */
  readonly holders: Map<number, Set<number>>;
}

/** Consecutive slices of the workers, so that every worker serves the same number of entries. */
const subsetOf = (entry: number, { workers, entries, subsetSize }: RoutingScenario): number[] => {
  const size = subsetSize || workers;
  const start = Math.floor((entry * workers) / entries);
  return Array.from({ length: size }, (_, index) => (start + index) % workers);
};

/** Runs callers against a modelled pool with one way of choosing a worker. */
export const runRouting = (
  select: WorkerSelector,
  overrides: Partial<RoutingScenario> = {},
): RoutingResult => {
  const scenario = { ...DEFAULT_ROUTING, ...overrides };
  const clock = new VirtualClock(0);
  const random = seededRandom(scenario.seed);
  const engines = Array.from(
    { length: scenario.workers },
    (_, index) =>
      new EngineModel(clock, index < scenario.slowWorkers ? HALF_SPEED : DEFAULT_ENGINE),
  );
  const entries: Entry[] = Array.from({ length: scenario.entries }, (_, entry) => ({
    subset: subsetOf(entry, scenario),
    inFlight: engines.map(() => 0),
    others: engines.map(() => undefined),
    holders: new Map(),
  }));
  const weights = Array.from({ length: PREFIXES }, (_, index) => 1 / (index + 1));
  const totalWeight = weights.reduce((sum, weight) => sum + weight, 0);
  const drawPrefix = () => {
    let left = random() * totalWeight;
    return weights.findIndex((weight) => {
      left -= weight;
      return left <= 0;
    });
  };
  const latenciesMs: number[] = [];

  const report = () => {
    const sampled = engines.map((engine) => engine.load);
    const own = entries.map(({ inFlight }) => [...inFlight]);
    clock.schedule(scenario.reportLagMs, () => {
      for (const [index, { others }] of entries.entries()) {
        const ownCounts = own[index] ?? [];
        others.splice(
          0,
          others.length,
          ...sampled.map((load, worker) => Math.max(0, load - (ownCounts[worker] ?? 0))),
        );
      }
      report();
    });
  };
  const learnHolder = (worker: number, prefix: number) => {
    if (random() < scenario.cacheEventLoss) return;
    clock.schedule(scenario.cacheEventDelayMs, () => {
      for (const { holders } of entries) {
        const known = holders.get(prefix) ?? new Set();
        known.delete(worker);
        known.add(worker);
        if (known.size > 2) known.delete([...known][0] ?? -1);
        holders.set(prefix, known);
      }
    });
  };
  const request = () => {
    clock.schedule(exponential(random, scenario.requestIntervalMs), request);
    const toBusyEntry = random() < scenario.busyEntryShare;
    const entry = entries[toBusyEntry ? 0 : Math.floor(random() * entries.length)] as Entry;
    const prefix = Math.max(0, drawPrefix());
    const candidates = entry.subset.map((index): WorkerCandidate & { index: number } => ({
      index,
      name: `worker-${index}`,
      availabilityZone: 'a',
      inFlight: entry.inFlight[index] ?? 0,
      reportedRunning: entry.others[index],
      holdsPrefix: entry.holders.get(prefix)?.has(index) ?? false,
    }));
    const chosen = select(candidates, { availabilityZone: 'a', random });
    if (chosen === undefined) return;
    const { index } = chosen;
    entry.inFlight[index] = (entry.inFlight[index] ?? 0) + 1;
    const startMs = clock.monotonicMs();
    engines[index]?.submit({
      promptTokens: PREFIX_TOKENS + QUESTION_TOKENS,
      prefix: String(prefix),
      prefixTokens: PREFIX_TOKENS,
      outputTokens: OUTPUT_TOKENS,
      priority: 'caller',
      onDone: () => {
        entry.inFlight[index] = (entry.inFlight[index] ?? 1) - 1;
        latenciesMs.push(clock.monotonicMs() - startMs);
        learnHolder(index, prefix);
      },
    });
  };
  report();
  request();
  clock.advance(scenario.durationMs);
  const hits = engines.reduce((sum, engine) => sum + engine.prefixHits, 0);
  const misses = engines.reduce((sum, engine) => sum + engine.prefixMisses, 0);
  const busy = engines.map((engine) => engine.sequenceMs);
  return {
    p50Ms: quantile(latenciesMs, 0.5),
    p99Ms: quantile(latenciesMs, 0.99),
    p999Ms: quantile(latenciesMs, 0.999),
    prefixHitShare: hits / Math.max(1, hits + misses),
    imbalance: Math.max(...busy) / mean(busy),
  };
};
