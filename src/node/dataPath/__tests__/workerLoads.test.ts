import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { expect } from 'earl';
import { NEVER } from 'rxjs';
import { NodeIdentitySchema } from '../../../gen/hyssoppulley/v1/peer_pb.ts';
import { seededRandom } from '../../../shared/random.ts';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import { InFlightCounts } from '../../decisions/inFlightCounts.ts';
import { silentLogger } from '../../observability/logger.ts';
import { parseTables } from '../../tables/parseTables.ts';
import { resolveTables } from '../../tables/resolveTables.ts';
import type { EngineLoad } from '../engineApi.ts';
import { WorkerHttp } from '../workerHttp.ts';
import { WorkerLoads } from '../workerLoads.ts';
import { tablesOf } from './pathHarness.ts';

const ADDRESS = '127.0.0.1:1';

const setUp = () => {
  const clock = new VirtualClock();
  const inFlight = new InFlightCounts();
  const tables = resolveTables(parseTables(tablesOf('model-engine', [ADDRESS]), 't.yaml'), 1);
  const view = { current: () => tables, changes$: NEVER };
  const engine = { state: 'ready' as EngineLoad['state'], running: 0, fails: false, polls: 0 };
  const reported: string[] = [];
  // The membership lists a worker only while its last report says that it takes work.
  const usable = () => !['leaving', 'failed'].includes(reported.at(-1) ?? 'ready');
  const loads = new WorkerLoads({
    clock,
    random: seededRandom(5),
    tables: view,
    membership: {
      self: create(NodeIdentitySchema, {}),
      peers: () => [],
      findIncarnation: () => undefined,
      leaseHolder: () => undefined,
      mayServe: () => true,
      workersOf: () => (usable() ? (tables.pools.get('p')?.workers ?? []) : []),
    },
    engines: {
      load: async () => {
        engine.polls += 1;
        if (engine.fails) throw new Error('no answer');
        return { ...engine, waiting: 0, maxRunning: 8, weightVersion: 1 };
      },
    },
    http: new WorkerHttp(clock),
    inFlight,
    logger: silentLogger,
    onReport: () => {},
    workerReports: {
      reportWorkerState: (_, state) => reported.push(state),
      reportWorkerFailure: (_, kind) => reported.push(kind),
    },
  });
  loads.start();
  return { clock, inFlight, engine, loads, reported };
};

// Guards against a worker that is never asked again once it has left, and so never comes back.
test('a worker that left or failed is seen to come back', async () => {
  const { clock, engine, loads, reported } = setUp();
  await clock.advanceAsync(1300);
  engine.state = 'leaving';
  await clock.advanceAsync(1300);
  expect(loads.isUsable(ADDRESS)).toEqual(false);
  engine.state = 'ready';
  await clock.advanceAsync(3000);
  expect(loads.isUsable(ADDRESS)).toEqual(true);
  expect(reported).toEqual(['ready', 'leaving', 'ready']);
});

// Guards against requests for workers that do not answer, and against giving up on them at a single lost poll.
test('two failed polls in a row take a worker out until it answers', async () => {
  const { clock, engine, loads } = setUp();
  await clock.advanceAsync(100);
  engine.fails = true;
  const before = engine.polls;
  while (engine.polls === before) await clock.advanceAsync(100);
  expect(loads.isUsable(ADDRESS)).toEqual(true);
  await clock.advanceAsync(3000);
  expect(loads.isUsable(ADDRESS)).toEqual(false);
  engine.fails = false;
  await clock.advanceAsync(3000);
  expect(loads.isUsable(ADDRESS)).toEqual(true);
  loads.recordRefused(ADDRESS);
  expect(loads.isUsable(ADDRESS)).toEqual(false);
});

// Guards against counting this node's own requests twice, which would leave room unused after each burst.
test('own requests in a lagging report are not counted as those of others', async () => {
  const { clock, inFlight, engine, loads } = setUp();
  // The poll at the start takes the first peak.
  await clock.advanceAsync(1);
  for (let count = 0; count < 5; count += 1) inFlight.add(ADDRESS);
  engine.running = 7;
  for (let count = 0; count < 5; count += 1) inFlight.remove(ADDRESS);
  inFlight.add(ADDRESS);
  await loads.poll(
    resolveTables(parseTables(tablesOf('model-engine', [ADDRESS]), 't.yaml'), 1).pools.get('p')!,
    { name: 'w0', address: ADDRESS, availabilityZone: '' },
  );
  expect(loads.externalRequestsAt(ADDRESS)).toEqual(2);
});
