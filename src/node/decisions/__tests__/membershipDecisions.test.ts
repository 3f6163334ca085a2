import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { expect } from 'earl';
import { PeerDigestSchema } from '../../../gen/hyssoppulley/v1/peer_pb.ts';
import { seededRandom } from '../../../shared/random.ts';
import { chooseEntries } from '../entrySelection.ts';
import { PeerTable } from '../peerTable.ts';
import { GracefulShutdown } from '../gracefulShutdown.ts';
import { usableWorkers, WorkerHealth } from '../workerHealth.ts';

const timing = { heartbeatIntervalMs: 1000, suspectAfterMs: 3000, peerTimeoutMs: 1000 };

const digest = (name: string, incarnation: string, generation: number, heartbeatCount: number) =>
  create(PeerDigestSchema, { identity: { name, incarnation, generation }, heartbeatCount });

// Guards against delayed messages that reinstate a replaced incarnation, in either order of arrival.
test('digests of two incarnations leave only the later one in the peer table, in either order', () => {
  const older = digest('b', 'ffff', 7, 900);
  const later = digest('b', '0000', 8, 1);
  for (const order of [
    [older, later],
    [later, older],
  ]) {
    const table = new PeerTable({ selfName: 'a', ...timing });
    for (const next of order) table.mergeDigest(next, 0, 'gossip');
    expect([...table.records()].map((record) => record.digest.identity?.incarnation)).toEqual([
      '0000',
    ]);
    expect(table.findIncarnation('ffff')).toEqual(undefined);
  }
});

// Guards against a table that grows without bound, or that evicts a live peer to make room.
test('a full peer table rejects a new peer until one is suspected, which is then replaced', () => {
  const table = new PeerTable({ selfName: 'a', ...timing, maxPeers: 2 });
  table.mergeDigest(digest('b', 'b1', 1, 1), 0, 'direct');
  table.mergeDigest(digest('c', 'c1', 1, 1), 0, 'direct');
  expect(table.mergeDigest(digest('d', 'd1', 1, 1), 100, 'direct')).toEqual('full');
  table.recordFailedExchange('b1', 100, 150);
  expect(table.mergeDigest(digest('d', 'd1', 1, 1), 3100, 'direct')).toEqual('new');
  expect([...table.records()].map((record) => record.digest.identity?.name)).toEqual(['c', 'd']);
});

// Guards against a node of another deployment that takes the place of a node of the same name, because it was given the
// address of a node that is gone (fault soak, seed 2302 beside another soak: "node-0 does not know batch").
test('a digest of a node of another deployment is ignored', () => {
  const table = new PeerTable({ selfName: 'a', deployment: 'one', ...timing });
  const own = digest('b', 'b1', 1, 1);
  if (own.identity) own.identity.deployment = 'one';
  const foreign = digest('b', 'b2', 2, 9);
  if (foreign.identity) foreign.identity.deployment = 'two';
  expect(table.mergeDigest(own, 0, 'direct')).toEqual('new');
  expect(table.mergeDigest(foreign, 10, 'direct')).toEqual('foreign');
  expect(table.findIncarnation('b1')?.digest.heartbeatCount).toEqual(1);
  expect(table.findIncarnation('b2')).toEqual(undefined);
});

// Guards against a pause of this process after which every peer is suspected.
test('an exchange that failed during a pause of this process raises suspicion only after suspectAfterMs', () => {
  const table = new PeerTable({ selfName: 'a', ...timing });
  table.mergeDigest(digest('b', 'b1', 1, 1), 0, 'direct');
  table.recordFailedExchange('b1', 500, 60_000);
  const [record] = table.records();
  expect(record && table.isSuspected(record, 60_000)).toEqual(false);
  expect(record && table.isSuspected(record, 63_000)).toEqual(true);
});

// Guards against a holder whose loss of the platform spreads late in a large fleet: while workers loaded weights, every
// node's version of the registrations changed all the time and filled the messages (czujka-ops-large, day trouble-1: another
// dispatcher took over 5.2 s after the platform had refused the first).
test('the loss of the platform is gossiped before other changes, and versions of registrations are not', () => {
  const table = new PeerTable({ selfName: 'a', ...timing });
  const names = Array.from({ length: 164 }, (_, index) => `n${index}`);
  for (const name of names) table.mergeDigest(digest(name, name, 1, 1), 0, 'list');
  for (const name of names) {
    const workers = { ...digest(name, name, 1, 2), workersVersion: 7n };
    expect(table.mergeDigest(workers, 10, 'direct')).toEqual('grown');
  }
  expect(table.changesToSend(10, 2)).toEqual([]);
  expect(table.hasChangesToBroadcast).toEqual(false);
  table.mergeDigest({ ...digest('n5', 'n5', 1, 3), platformLost: true }, 20, 'direct');
  for (const name of names.slice(6)) {
    table.mergeDigest({ ...digest(name, name, 1, 3), acceptedRevision: 9n }, 30, 'direct');
  }
  expect(table.hasChangesToBroadcast).toEqual(true);
  expect(table.changesToSend(40, 2)[0]?.identity?.name).toEqual('n5');
});

// Guards against a lagging VM list that makes a worker live again although the worker reports that it is leaving.
test('a report overrides neither another source nor a newer report of the same source', () => {
  const health = new WorkerHealth();
  const address = '10.0.0.7:8000';
  health.observe({ address, source: 'load-report', leaving: true, observedMs: 10 });
  health.observe({ address, source: 'vm-list', leaving: false, observedMs: 20 });
  expect(health.stateOf(address)).toEqual('leaving');
  health.observe({ address, source: 'load-report', leaving: false, observedMs: 5 });
  expect(health.stateOf(address)).toEqual('leaving');
  health.observe({ address, source: 'load-report', leaving: false, observedMs: 30 });
  expect(health.stateOf(address)).toEqual('live');
  health.observe({ address, source: 'load-report', leaving: true, observedMs: 25 });
  expect(health.stateOf(address)).toEqual('live');
});

// Guards against a fault of this node's network that takes a whole pool out of service, and against falling back to
// leaving workers in that case.
test('unreachable workers are usable only if no worker is live; leaving and drained ones never are', () => {
  const choice = (worker: string, state: 'live' | 'leaving' | 'unreachable', drained = false) => ({
    worker,
    state,
    drained,
  });
  const out = [choice('a', 'unreachable'), choice('b', 'leaving'), choice('c', 'live', true)];
  expect(usableWorkers(out)).toEqual(['a']);
  expect(usableWorkers([...out, choice('d', 'live')])).toEqual(['d']);
});

// Guards against directing callers to a single zone, or to a node that is leaving, suspected or drained.
test('entries list this node and its zone first, then all zones in turn, and only available nodes', () => {
  const entry = (address: string, availabilityZone: string, state = {}) => ({
    ...{ address, availabilityZone, leaving: false, suspected: false, drained: false },
    ...state,
  });
  const peers = [
    ...[1, 2, 3].map((index) => entry(`a${index}`, 'a')),
    ...[1, 2, 3].map((index) => entry(`b${index}`, 'b')),
    ...[1, 2, 3].map((index) => entry(`c${index}`, 'c')),
    entry('x', 'a', { leaving: true }),
    entry('y', 'b', { suspected: true }),
    entry('z', 'c', { drained: true }),
  ];
  const zones = chooseEntries(entry('self', 'a'), peers, 'a', seededRandom(7)).map(
    ({ availabilityZone }) => availabilityZone,
  );
  expect(zones.slice(0, 2)).toEqual(['a', 'a']);
  expect([...new Set(zones.slice(2, 5))].sort()).toEqual(['a', 'b', 'c']);
  expect(zones.length).toEqual(8);
});

// Guards against shutdown phases out of order, and against aborting requests without reporting their number.
test('a graceful shutdown runs its phases in order, and exits with code 1 and the abort count at the deadline', () => {
  const shutdown = new GracefulShutdown({ keepServingMs: 100, deadlineMs: 1000 });
  const types = (actions: readonly { type: string }[]) => actions.map(({ type }) => type);
  expect(types(shutdown.signal(0, 2))).toEqual(['announce']);
  expect(types(shutdown.tick(99, 0))).toEqual([]);
  expect(types(shutdown.tick(100, 2))).toEqual(['close-listener', 'hand-over']);
  expect(types(shutdown.handedOver(150, 2))).toEqual([]);
  expect(types(shutdown.tick(200, 1))).toEqual([]);
  expect(types(shutdown.tick(300, 0))).toEqual(['deregister']);
  expect(shutdown.deregistered(0)).toEqual([
    { type: 'exit', exitCode: 0, cutOffCount: 0, reason: 'finished' },
  ]);
  const late = new GracefulShutdown({ keepServingMs: 100, deadlineMs: 1000 });
  late.signal(0, 3);
  expect(late.tick(1000, 3)).toEqual([
    { type: 'exit', exitCode: 1, cutOffCount: 3, reason: 'deadline' },
  ]);
});
