import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import type { EngineOrder, OrderResult } from '../../../src/node/dataPath/engineApi.ts';
import { interruptResume, rolling } from '../../../src/node/decisions/weightRollout.ts';
import { silentLogger } from '../../../src/node/observability/logger.ts';
import { LeaseManager } from '../../../src/node/training/leaseManager.ts';
import { LeaseObserver } from '../../../src/node/training/leaseObserver.ts';
import { PoolOwner } from '../../../src/node/training/poolOwner.ts';
import { WeightRecords } from '../../../src/node/training/weightRecords.ts';
import { onInvariantViolation } from '../../../src/shared/invariants.ts';
import { seededRandom } from '../../../src/shared/random.ts';
import { VirtualClock } from '../../../src/shared/virtualClock.ts';
import { ModelPlatform } from '../model/modelPlatform.ts';
import { ModelProcess } from '../model/modelProcess.ts';

const TIMING = { ttlMs: 1800, renewIntervalMs: 600, marginMs: 400 };
const POOL = 'pool';
const FAULT_PHASE_MS = 8000;
const RECOVERY_MS = 40_000;
const LOAD_MS = 300;

interface Engine {
  version: number;
  state: 'ready' | 'loading' | 'failed';
  failures: number;
}

let idCount = 0;
const newOperationId = () => {
  idCount += 1;
  return String(idCount);
};

/** Contending holders of a pool's lease, and workers that ignore fencing tokens and sometimes fail to load weights. */
class PoolModel {
  readonly clock = new VirtualClock();

  readonly violations: string[] = [];

  readonly engines = new Map<string, Engine>();

  readonly nodes: { process: ModelProcess; records: WeightRecords }[] = [];

  readonly platform: ModelPlatform;

  readonly #random;

  constructor(seed: number) {
    this.#random = seededRandom(seed);
    this.platform = new ModelPlatform(this.clock, this.#random);
    for (let index = 0; index < 6; index += 1) {
      // The loads of worker 0 always fail; those of workers 1 and 2 fail once.
      const failures = index === 0 ? Infinity : Number(index < 3);
      this.engines.set(`engine-${index}`, { version: 1, state: 'ready', failures });
    }
    for (let index = 0; index < 2; index += 1) this.#addNode(index);
  }

  /** Checks the final state, once all faults have ended. Returns the violations. */
  checkEnd(version: number): readonly string[] {
    for (const [name, engine] of this.engines) {
      const isLeftOut = this.nodes.some(
        ({ process, records }) => process.running && records.isOutOfService(POOL, name),
      );
      const isCorrect = name === 'engine-0' ? isLeftOut : engine.version === version && !isLeftOut;
      if (!isCorrect) this.violations.push(`${name}: ${JSON.stringify(engine)}, out ${isLeftOut}`);
    }
    return this.violations;
  }

  #addNode(index: number): void {
    const process = new ModelProcess(this.clock);
    const common = {
      platform: this.platform.clientOf(process),
      clock: process,
      logger: silentLogger,
      newOperationId,
    };
    const records = new WeightRecords({ ...common, intervalMs: 1000 });
    let owner: PoolOwner | undefined;
    const lease = new LeaseManager({
      ...common,
      name: `pool/${POOL}`,
      timing: TIMING,
      self: { holder: `node-${index}`, incarnation: newOperationId(), address: '' },
      extraWaitMs: () => 0,
      onAcquired: () => {
        owner = new PoolOwner({
          ...common,
          pool: POOL,
          lease,
          records,
          firstOrderDelayMs: TIMING.marginMs,
          policy: this.#random() < 0.5 ? rolling : interruptResume,
          loadsPerSecond: 50,
          burst: 5,
          loadTimeoutMs: 3000,
          maxAttempts: 3,
          workers: () =>
            [...this.engines.keys()].map((name) => ({ name, address: name, availabilityZone: '' })),
          engine: {
            load: ({ name }) => this.#load(name),
            order: ({ name }, order) => this.#order(name, order),
          },
        });
        void owner.run();
      },
      onLost: () => void owner?.stop(),
    });
    const observer = new LeaseObserver({
      ...common,
      intervalMs: TIMING.renewIntervalMs,
      onLease: (_, object) => lease.observe(object),
    });
    void lease.run();
    void observer.run();
    void records.run();
    this.nodes.push({ process, records });
  }

  #load(name: string) {
    const { version, state } = this.engines.get(name) ?? { version: 0, state: 'failed' as const };
    return Promise.resolve({
      running: 0,
      waiting: 0,
      maxRunning: 1,
      weightVersion: version,
      state,
    });
  }

  #order(name: string, { version = 0, fencing }: EngineOrder): Promise<OrderResult> {
    const lease = this.platform.objects.get(`leases/pool/${POOL}`)?.value as { fencing: number };
    if (lease.fencing !== fencing) this.violations.push(`order ${fencing} under ${lease.fencing}`);
    const published = this.platform.objects.get(`weights/${POOL}`)?.value as
      { published: number[] } | undefined;
    if (!published?.published.includes(version)) this.violations.push('unpublished version');
    const engine = this.engines.get(name);
    if (engine && engine.state !== 'loading') {
      engine.state = 'loading';
      this.clock.schedule(LOAD_MS * (1 + this.#random()), () => {
        const isFailing = engine.failures > 0;
        engine.failures -= 1;
        engine.state = isFailing ? 'failed' : 'ready';
        if (!isFailing) engine.version = version;
      });
    }
    return Promise.resolve(this.#random() < 0.1 ? { status: 'unknown' } : { status: 'taken' });
  }
}

const scheduleArbitrary = fc.record({
  seed: fc.integer({ min: 0, max: 2 ** 31 }),
  pauses: fc.array(
    fc.record({
      node: fc.integer({ min: 0, max: 1 }),
      atMs: fc.integer({ min: 0, max: FAULT_PHASE_MS }),
      durationMs: fc.integer({ min: 100, max: 4000 }),
    }),
    { maxLength: 4 },
  ),
  kill: fc.boolean(),
  slow: fc.boolean(),
});

// Guards against orders with an outdated fencing token, publications that are lost with their owner, and workers that
// stay on another version or remain in service with unknown weights.
test('every worker ends on the newest published version or out of service', async () => {
  const property = fc.asyncProperty(scheduleArbitrary, async ({ seed, pauses, kill, slow }) => {
    const model = new PoolModel(seed);
    onInvariantViolation((name) => model.violations.push(name));
    const { clock, nodes, platform } = model;
    if (slow) Object.assign(platform.faults, { latencyMs: 500, lostAnswers: 0.2 });
    for (const { node, atMs, durationMs } of pauses) {
      clock.schedule(atMs, () => nodes[node]?.process.pause());
      clock.schedule(atMs + durationMs, () => nodes[node]?.process.resume());
    }
    if (kill) clock.schedule(FAULT_PHASE_MS / 2, () => nodes[0]?.process.kill());
    for (const version of [2, 5]) {
      clock.schedule(version * 1000, () => {
        void nodes[1]?.records.publish(POOL, 'job', { version, uri: `w/${version}` });
      });
    }
    await clock.advanceAsync(2 * FAULT_PHASE_MS);
    Object.assign(platform.faults, { latencyMs: 5, lostAnswers: 0 });
    await clock.advanceAsync(RECOVERY_MS);
    const record = platform.objects.get(`weights/${POOL}`)?.value as
      { desired: { version: number } } | undefined;
    if (record) expect(model.checkEnd(record.desired.version)).toEqual([]);
  });
  await fc.assert(property, { seed: 21, numRuns: 150, endOnFailure: true });
});
