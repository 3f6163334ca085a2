import dgram from 'node:dgram';
import { once } from 'node:events';
import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { expect } from 'earl';
import {
  HeartbeatRequestSchema,
  type HeartbeatResponse,
  HeartbeatResponseSchema,
} from '../../../gen/hyssoppulley/v1/peer_pb.ts';
import { systemClock } from '../../../shared/clock.ts';
import { DisposableStore } from '../../../shared/disposableStore.ts';
import { systemRandom } from '../../../shared/random.ts';
import { silentLogger } from '../../observability/logger.ts';
import { HeartbeatDatagrams } from '../heartbeatDatagrams.ts';

const HOST = '127.0.0.1';
const TIMEOUT_MS = 700;
const request = create(HeartbeatRequestSchema, { sender: { heartbeatCount: 7 } });
const responseOf = (preparedRevision: number) =>
  create(HeartbeatResponseSchema, { preparedRevision });

interface TestNode {
  readonly datagrams: HeartbeatDatagrams;
  readonly port: number;
  /** Counts of heartbeats that this node has sent as calls. */
  readonly calls: number[];
}

const startNode = async (
  store: DisposableStore,
  answer: () => HeartbeatResponse = () => responseOf(1),
): Promise<TestNode> => {
  const calls: number[] = [];
  const datagrams = store.add(
    new HeartbeatDatagrams({
      ...{ clock: systemClock, random: systemRandom, logger: silentLogger, answer },
      timeoutMs: TIMEOUT_MS,
      call: (_target, { sender }, timeoutMs) => {
        calls.push(sender?.heartbeatCount ?? 0);
        expect(timeoutMs).toBeLessThanOrEqual(TIMEOUT_MS);
        return Promise.resolve(responseOf(2));
      },
    }),
  );
  return { datagrams, port: await datagrams.listen({ host: HOST, port: 0 }), calls };
};

const targetOf = (datagramPort: number) => ({ host: HOST, peerPort: 1, datagramPort });

/** Passes datagrams between two nodes, but for the first `lost` of them. */
const startLossyProxy = async (store: DisposableStore, port: number, dropCount: number) => {
  const socket = dgram.createSocket('udp4');
  store.add({ [Symbol.dispose]: () => socket.close() });
  let sender = 0;
  let receivedCount = 0;
  socket.on('message', (bytes, from) => {
    if (from.port !== port) sender = from.port;
    receivedCount += 1;
    if (receivedCount > dropCount) socket.send(bytes, from.port === port ? sender : port, HOST);
  });
  socket.bind(0, HOST);
  await once(socket, 'listening');
  return socket.address().port;
};

// Guards against heartbeats that need a connection for each pair of nodes.
test('a heartbeat is answered by a datagram', async () => {
  await using store = new DisposableStore();
  const [from, to] = [await startNode(store), await startNode(store)];
  const response = await from.datagrams.send(targetOf(to.port), request);
  expect(response.preparedRevision).toEqual(1);
  expect(from.calls).toEqual([]);
});

// Guards against doubts about sound peers: networks lose single datagrams.
test('a lost datagram is sent again', async () => {
  await using store = new DisposableStore();
  const [from, to] = [await startNode(store), await startNode(store)];
  const port = await startLossyProxy(store, to.port, 1);
  const response = await from.datagrams.send(targetOf(port), request);
  expect(response.preparedRevision).toEqual(1);
  expect(from.calls).toEqual([]);
});

// Guards against peers that seem dead where only datagrams are dropped.
test('a call is made when no datagram is answered', async () => {
  await using store = new DisposableStore();
  const [from, to] = [await startNode(store), await startNode(store)];
  const port = await startLossyProxy(store, to.port, Infinity);
  const response = await from.datagrams.send(targetOf(port), request);
  expect(response.preparedRevision).toEqual(2);
  expect(from.calls).toEqual([7]);
});

// Guards against fragmented datagrams, which networks lose more often, and against cut-off lists.
test('what does not fit into a datagram goes as a call', async () => {
  await using store = new DisposableStore();
  const names = Array.from({ length: 200 }, (_, index) => `worker-${index}`);
  const large = create(HeartbeatResponseSchema, { drains: { workers: names } });
  const [from, to] = [await startNode(store), await startNode(store, () => large)];
  const answered = await from.datagrams.send(targetOf(to.port), request);
  expect(answered.preparedRevision).toEqual(2);
  const longRequest = { ...request, drains: large.drains };
  await from.datagrams.send(targetOf(to.port), longRequest);
  await from.datagrams.send(targetOf(to.port), { ...request, wantsAllPeers: true });
  await from.datagrams.send({ host: HOST, peerPort: 1 }, request);
  expect(from.calls).toEqual([7, 7, 7, 7]);
});

// Guards against a process that ends, or takes another exchange's answer, because of bytes from elsewhere.
test('bytes that are no answer to a heartbeat are passed over', async () => {
  await using store = new DisposableStore();
  const [from, to] = [await startNode(store), await startNode(store)];
  const unrelatedSocket = dgram.createSocket('udp4');
  store.add({ [Symbol.dispose]: () => unrelatedSocket.close() });
  for (const bytes of [Buffer.alloc(0), Buffer.from('garbage'), Buffer.alloc(1400, 255)]) {
    unrelatedSocket.send(bytes, from.port, HOST);
    unrelatedSocket.send(bytes, to.port, HOST);
  }
  const response = await from.datagrams.send(targetOf(to.port), request);
  expect(response.preparedRevision).toEqual(1);
});
