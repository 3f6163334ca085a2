import { test } from 'node:test';
import { expect } from 'earl';
import { sleep } from '../../../shared/clock.ts';
import { seededRandom } from '../../../shared/random.ts';
import { FakeEngine, SLOTS, startFakeEnginePool } from './fakeEnginePool.ts';

const STEP_MS = 50;
const FAULTS_MS = 12_000;
/** Longest duration of a fault, and of the time in which an engine answers no orders. */
const MAX_FAULT_MS = 3000;
const MAX_SILENCE_MS = 9000;
/** No version is published in this time before the end of the faults. */
const QUIET_VERSIONS_MS = 6000;
/** The longest suspension of a worker is 3 s; a run that was silent when the faults ended is stopped within 0.4 s. */
const MAX_WAIT_MS = 3500;
const COMPLETE_WITHIN_MS = 18_000;

interface ItemCheck {
  readonly model: string;
  readonly minVersion: number;
  /** Time at no worker since the end of the faults while an idle worker could have run the item. */
  waitMs: number;
}

/**
 * Runs batches on six engines with faults, then without, and measures how long items wait after the faults.
 *
 * @returns the longest time at no worker while an idle worker could have run the item, and the number of open items left
 */
const runPool = async (seed: number) => {
  const random = seededRandom(seed);
  const pick = <T>(values: readonly T[]): T => values[Math.floor(random() * values.length)] as T;
  const between = (low: number, high: number) => low + random() * (high - low);
  const models = random() < 0.5 ? ['m'] : ['m', 'n'];
  const singleVersion = random() < 0.4;
  const versions = Object.fromEntries(models.map((model) => [model, 1]));
  const engines = Array.from(
    { length: 6 },
    (_each, index) => new FakeEngine(`w${index}`, versions),
  );
  const pool = startFakeEnginePool({ engines, models, random });
  const { clock, published, limits, dispatcher } = pool;
  const later = (ms: number, action: () => void) => void sleep(clock, ms).then(action);
  const restart = (engine: FakeEngine) => {
    if (!engine.alive) engine.restart(Math.round(clock.nowMs()));
  };
  const faults: readonly ((engine: FakeEngine) => void)[] = [
    (engine) => {
      engine.crash();
      if (random() < 0.5) later(between(0, 2000), () => pool.unregister(engine));
      later(between(100, MAX_FAULT_MS), () => restart(engine));
    },
    (engine) => {
      Object.assign(engine, { frozen: true });
      later(between(50, MAX_FAULT_MS), () => Object.assign(engine, { frozen: false }));
    },
    (engine) => {
      Object.assign(engine, { ordersUnanswered: true });
      later(between(500, MAX_SILENCE_MS), () => Object.assign(engine, { ordersUnanswered: false }));
    },
    (engine) => pool.unregister(engine),
    (engine) => {
      Object.assign(engine, { draining: true });
      pool.register(engine);
      later(between(500, MAX_FAULT_MS), () => {
        engine.crash();
        pool.unregister(engine);
        restart(engine);
      });
    },
    (engine) => Object.assign(engine, { prefillMs: between(20, 900) }),
    (engine) => Object.assign(engine, { gapMs: between(15, 150) }),
    ({ id }) =>
      limits.observe(id, random() < 0.3 ? undefined : between(0.2, 40), clock.monotonicMs()),
  ];
  const checks = new Map<string, ItemCheck>();
  const open: string[] = [];
  const endMs = clock.monotonicMs() + FAULTS_MS;
  let nextBatchMs = clock.monotonicMs();
  for (let batches = 0; clock.monotonicMs() < endMs;) {
    if (random() < 0.15) pick(faults)(pick(engines));
    const model = pick(models);
    if (clock.monotonicMs() < endMs - QUIET_VERSIONS_MS && random() < 0.02) {
      published.set(model, (published.get(model) ?? 1) + 1);
      dispatcher.schedule();
    }
    if (clock.monotonicMs() >= nextBatchMs) {
      nextBatchMs += between(1000, 3000);
      for (const ended of open.splice(0, open.length - 2)) {
        dispatcher.end(ended);
        for (const item of checks.keys()) if (item.startsWith(`${ended}-`)) checks.delete(item);
      }
      const minVersion = Math.max(0, (published.get(model) ?? 1) - pick([0, 0, 1]));
      const id = `b${batches}`;
      batches += 1;
      open.push(id);
      const rules = { model, minVersion, singleVersion };
      const items = await pool.addBatch(id, 10, Math.round(between(30, 400)), rules);
      for (const item of items) checks.set(item, { model, minVersion, waitMs: 0 });
    }
    await clock.advanceAsync(STEP_MS);
  }
  for (const engine of engines) {
    restart(engine);
    Object.assign(engine, { draining: false, prefillMs: 40, gapMs: 20 });
    const limit = limits.of(engine.id);
    if (limit !== undefined) limits.observe(engine.id, Math.max(10, limit), clock.monotonicMs());
    pool.register(engine);
  }
  const couldRun = (engine: FakeEngine, { model, minVersion }: ItemCheck) =>
    engine.loading !== model &&
    engine.running.size < SLOTS &&
    (engine.versions.get(model) ?? 0) >= minVersion;
  let longestMs = 0;
  for (let afterMs = 0; afterMs < COMPLETE_WITHIN_MS; afterMs += STEP_MS) {
    await clock.advanceAsync(STEP_MS);
    for (const batch of open) {
      for (const item of await pool.listedItems(batch)) checks.delete(item);
    }
    for (const [item, check] of checks) {
      if (pool.engineRunning(item) !== undefined) check.waitMs = 0;
      else if (engines.some((engine) => couldRun(engine, check))) check.waitMs += STEP_MS;
      longestMs = Math.max(longestMs, check.waitMs);
    }
  }
  dispatcher[Symbol.dispose]();
  return { longestMs, left: checks.size };
};

// Guards against items that stay at no worker although idle workers could run them, after any mix of crashes, freezes,
// restarts, reclaims, lost registrations, unanswered orders, slow prompts, slow workers and request limits. Seed 84 shows
// permits that went to workers with other weights: a wait of 4.65 s.
for (const seed of [12, 33, 68, 84, 85, 189]) {
  test(`after faults no item waits while an idle worker could run it (seed ${seed})`, async () => {
    const { longestMs, left } = await runPool(seed);
    expect(longestMs).toBeLessThanOrEqual(MAX_WAIT_MS);
    expect(left).toEqual(0);
  });
}
