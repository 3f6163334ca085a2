import type { WorkerCandidate, WorkerSelector } from '../../src/node/decisions/workerSelection.ts';
import { seededRandom } from '../../src/shared/random.ts';
import { VirtualClock } from '../../src/shared/virtualClock.ts';
import { DEFAULT_ENGINE, EngineModel } from './engineModel.ts';
import { exponential, mean, quantile } from './statistics.ts';

export interface RoutingScenario {
  readonly seed: number;
  readonly workers: number;
  /** Number of entry nodes. Each has its own in-flight counts. */
  readonly entries: number;
  /** Time between load reports, in ms, which is also the age of a report when it arrives. */
  readonly reportLagMs: number;
  /** Delay of a cache event, in ms. */
  readonly cacheEventDelayMs: number;
  /** Share of cache events that never arrive. */
  readonly cacheEventLoss: number;
  /** Mean time between requests to the whole pool, in ms. */
  readonly requestIntervalMs: number;
  readonly durationMs: number;
  /** Number of workers that decode at half speed. */
  readonly slowWorkers: number;
  /** Share of the requests that are sent to the first entry node. The other requests are spread evenly over all. */
  readonly busyEntryShare: number;
  /** Number of workers that one entry node uses; 0 for all. */
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

/**
 * Number of prompt prefixes in use, more than one engine's cache holds. The first are the most frequent (Zipf's law,
 * exponent 1).
 */
const PREFIXES = 48;
const PREFIX_TOKENS = 1500;
const QUESTION_TOKENS = 100;
const OUTPUT_TOKENS = 120;

export interface RoutingResult {
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
  readonly prefixHitShare: number;
  /** Mean number of running sequences of the busiest worker, divided by the mean of all workers. */
  readonly imbalance: number;
}

const HALF_SPEED_ENGINE = {
  ...DEFAULT_ENGINE,
  stepBaseMs: DEFAULT_ENGINE.stepBaseMs * 2,
  stepPerSequenceMs: DEFAULT_ENGINE.stepPerSequenceMs * 2,
};

interface Entry {
  /** In-flight requests of other entry nodes per worker, derived from the last load report as in the product. */
  readonly otherRequests: (number | undefined)[];
  /** Indexes of the workers that the entry node uses. */
  readonly subset: readonly number[];
  readonly inFlight: number[];
  /** Workers that have cached a prefix according to cache events; at most the last two. */
  readonly holders: Map<number, Set<number>>;
}

/** Slices of consecutive workers at even distances, so that the workers serve about the same number of entry nodes. */
const subsetOf = (entry: number, { workers, entries, subsetSize }: RoutingScenario): number[] => {
  const size = subsetSize || workers;
  const start = Math.floor((entry * workers) / entries);
  return Array.from({ length: size }, (_, index) => (start + index) % workers);
};

/** Simulates callers' requests to a modelled engine pool with a given worker selector. */
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
      new EngineModel(clock, index < scenario.slowWorkers ? HALF_SPEED_ENGINE : DEFAULT_ENGINE),
  );
  const entries: Entry[] = Array.from({ length: scenario.entries }, (_, entry) => ({
    subset: subsetOf(entry, scenario),
    inFlight: engines.map(() => 0),
    otherRequests: engines.map(() => undefined),
    holders: new Map(),
  }));
  const prefixWeights = Array.from({ length: PREFIXES }, (_, index) => 1 / (index + 1));
  const totalWeight = prefixWeights.reduce((sum, weight) => sum + weight, 0);
  const drawPrefix = () => {
    let remainingWeight = random() * totalWeight;
    return prefixWeights.findIndex((weight) => {
      remainingWeight -= weight;
      return remainingWeight <= 0;
    });
  };
  const latenciesMs: number[] = [];

  const scheduleReport = () => {
    const reportedLoads = engines.map((engine) => engine.load);
    const ownInFlight = entries.map(({ inFlight }) => [...inFlight]);
    clock.schedule(scenario.reportLagMs, () => {
      for (const [index, { otherRequests }] of entries.entries()) {
        const ownCounts = ownInFlight[index] ?? [];
        otherRequests.splice(
          0,
          otherRequests.length,
          ...reportedLoads.map((load, worker) => Math.max(0, load - (ownCounts[worker] ?? 0))),
        );
      }
      scheduleReport();
    });
  };
  const scheduleCacheEvent = (worker: number, prefix: number) => {
    if (random() < scenario.cacheEventLoss) return;
    clock.schedule(scenario.cacheEventDelayMs, () => {
      for (const { holders } of entries) {
        const knownHolders = holders.get(prefix) ?? new Set();
        knownHolders.delete(worker);
        knownHolders.add(worker);
        if (knownHolders.size > 2) knownHolders.delete([...knownHolders][0] ?? -1);
        holders.set(prefix, knownHolders);
      }
    });
  };
  const sendRequest = () => {
    clock.schedule(exponential(random, scenario.requestIntervalMs), sendRequest);
    const toBusyEntry = random() < scenario.busyEntryShare;
    const entry = entries[toBusyEntry ? 0 : Math.floor(random() * entries.length)] as Entry;
    const prefix = Math.max(0, drawPrefix());
    const candidates = entry.subset.map((index): WorkerCandidate & { index: number } => ({
      index,
      name: `worker-${index}`,
      availabilityZone: 'a',
      inFlight: entry.inFlight[index] ?? 0,
      reportedRunning: entry.otherRequests[index],
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
        scheduleCacheEvent(index, prefix);
      },
    });
  };
  scheduleReport();
  sendRequest();
  clock.advance(scenario.durationMs);
  const hits = engines.reduce((sum, engine) => sum + engine.prefixHits, 0);
  const misses = engines.reduce((sum, engine) => sum + engine.prefixMisses, 0);
  const busySequenceMs = engines.map((engine) => engine.sequenceMs);
  return {
    p50Ms: quantile(latenciesMs, 0.5),
    p99Ms: quantile(latenciesMs, 0.99),
    p999Ms: quantile(latenciesMs, 0.999),
    prefixHitShare: hits / Math.max(1, hits + misses),
    imbalance: Math.max(...busySequenceMs) / mean(busySequenceMs),
  };
};
