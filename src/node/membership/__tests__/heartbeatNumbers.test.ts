import { test } from 'node:test';
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { expect } from 'earl';
import {
  HeartbeatRequestSchema,
  HeartbeatResponseSchema,
  NodeIdentitySchema,
} from '../../../gen/hyssoppulley/v1/peer_pb.ts';
import { onInvariantViolation } from '../../../shared/invariants.ts';
import { seededRandom } from '../../../shared/random.ts';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import { PeerTable } from '../../decisions/peerTable.ts';
import { silentLogger } from '../../observability/logger.ts';
import type { Drains } from '../drains.ts';
import { Heartbeats } from '../heartbeats.ts';
import type { WorkerDirectory } from '../workerDirectory.ts';

const INTERVAL_MS = 500;

/** Two nodes that exchange encoded heartbeats, and the platform version that both have reached. */
const startNodes = () => {
  const clock = new VirtualClock();
  let version = 1;
  const ahead: number[] = [];
  const nodes = ['a', 'b'].map((name, index) => {
    const table = new PeerTable({
      ...{ selfName: name, heartbeatIntervalMs: INTERVAL_MS, suspectAfterMs: 1500 },
      peerTimeoutMs: 700,
    });
    const heartbeats: Heartbeats = new Heartbeats({
      ...{ clock, random: seededRandom(index), logger: silentLogger, table },
      self: create(NodeIdentitySchema, { name, incarnation: name, host: name }),
      state: {
        ...{ leaving: () => false, mayServe: () => true, platformLost: () => false },
        ...{ acceptedRevision: () => version, workersVersion: () => version + index },
        ...{ preparedRevision: () => 0, heldLeases: () => [], tablesAgeMs: () => 0 },
      },
      drains: {
        ...{ hasUpdateFor: () => false, needsUpdateFrom: () => false, mergeResponse() {} },
      } as unknown as Drains,
      workers: { signsToSend: () => [], learnSigns() {} } as unknown as WorkerDirectory,
      send: async (target, request) => {
        const bytes = toBinary(HeartbeatRequestSchema, request);

        const peer = nodes.find((node) => node.name === target.host);
        const response = peer?.heartbeats.handleRequest(fromBinary(HeartbeatRequestSchema, bytes));
        if (response === undefined) throw new Error('no such node');
        return fromBinary(HeartbeatResponseSchema, toBinary(HeartbeatResponseSchema, response));
      },
      onResponse() {},
      onPeerAhead: ({ workersVersion }) => ahead.push(Number(workersVersion)),
      onNameConflict() {},
    });
    return { name, table, heartbeats };
  });
  const setVersion = (next: number) => {
    version = next;
  };
  const periods = async (count: number) => {
    for (let period = 0; period < count; period += 1) {
      for (const { heartbeats } of nodes) heartbeats.sendHeartbeats();
      await clock.advanceAsync(INTERVAL_MS);
    }
  };
  const doubts = () =>
    nodes.flatMap(({ table }) =>
      [...table.records()].filter(
        (record) =>
          record.doubtedMs !== undefined || table.isSuspected(record, clock.monotonicMs()),
      ),
    );
  return { nodes, setVersion, periods, doubts, ahead };
};

// Guards against nodes that suspect each other, and dispatch in turn, once the platform's revision passes 2^32 (review/7).
test('nodes hear each other while the revision of the platform passes 2^32 and grows further', async () => {
  const { nodes, setVersion, periods, doubts, ahead } = startNodes();
  setVersion(2 ** 32 - 2);
  await nodes[0]?.heartbeats.join({ host: 'b', peerPort: 0 });
  for (const version of [2 ** 32 - 1, 2 ** 32, 2 ** 33, 2 ** 53 - 2]) {
    setVersion(version);
    await periods(8);
    expect(doubts()).toEqual([]);
    expect(ahead.at(-1)).toEqual(version + 1);
  }
});

// Guards against a message that cannot be encoded and that passes for the silence of a peer.
test('a heartbeat that cannot be encoded is reported and raises no doubt', async () => {
  const { nodes, setVersion, periods, doubts } = startNodes();
  const violations: string[] = [];
  onInvariantViolation((name) => violations.push(name));
  await nodes[0]?.heartbeats.join({ host: 'b', peerPort: 0 });
  setVersion(2 ** 65);
  await periods(8);
  onInvariantViolation(() => {});
  expect(doubts()).toEqual([]);
  expect([...new Set(violations)]).toEqual(['heartbeat-encodable']);
});
