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
import { WorkerHttpClient } from '../workerHttpClient.ts';
import { WorkerLoads } from '../workerLoads.ts';
import { tablesOf } from './dataPathHarness.ts';

const ADDRESS = '127.0.0.1:1';

const setUp = () => {
  const clock = new VirtualClock();
  const inFlight = new InFlightCounts();
  const tables = resolveTables(parseTables(tablesOf('model-engine', [ADDRESS]), 't.yaml'), 1);
  const view = { current: () => tables, changes$: NEVER };
  const engine = { state: 'ready' as EngineLoad['state'], running: 0, fails: false, polls: 0 };
  const reported: string[] = [];
  // The membership lists the worker only while its last reported state accepts requests.
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
        if (engine.fails) throw new Error('no response');
        return { ...engine, waiting: 0, maxRunning: 8, weightVersion: 1 };
      },
    },
    http: new WorkerHttpClient(clock),
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

// Guards against a worker that is no longer polled once it has reported that it is leaving, and so never recovers.
test('a worker that was leaving becomes usable when it reports ready again', async () => {
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

// Guards against sending requests to workers that do not respond, and against excluding them after one failed poll.
test('two consecutive failed polls make a worker unusable until a poll succeeds', async () => {
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
  loads.recordRefusedConnection(ADDRESS);
  expect(loads.isUsable(ADDRESS)).toEqual(false);
});

// Guards against counting this node's own requests twice, which would leave capacity unused after each burst.
test('requests of this node in a lagging load report do not count as external requests', async () => {
  const { clock, inFlight, engine, loads } = setUp();
  // The poll on start resets the peak of the in-flight counts.
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
