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
  /** `heartbeatCount` of each heartbeat that this node sent by HTTP. */
  readonly calls: number[];
}

const startNode = async (
  store: DisposableStore,
  handleRequest: () => HeartbeatResponse = () => responseOf(1),
): Promise<TestNode> => {
  const calls: number[] = [];
  const datagrams = store.add(
    new HeartbeatDatagrams({
      ...{ clock: systemClock, random: systemRandom, logger: silentLogger, handleRequest },
      timeoutMs: TIMEOUT_MS,
      sendByHttp: (_target, { sender }, timeoutMs) => {
        calls.push(sender?.heartbeatCount ?? 0);
        expect(timeoutMs).toBeLessThanOrEqual(TIMEOUT_MS);
        return Promise.resolve(responseOf(2));
      },
    }),
  );
  return { datagrams, port: await datagrams.listen({ host: HOST, port: 0 }), calls };
};

const targetOf = (datagramPort: number) => ({ host: HOST, peerPort: 1, datagramPort });

/** Starts a proxy that relays datagrams between two nodes and drops the first `dropCount` of them. Returns its port. */
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

// Guards against heartbeats that need a connection per pair of nodes.
test('a heartbeat sent as a datagram gets a response without an HTTP call', async () => {
  await using store = new DisposableStore();
  const [from, to] = [await startNode(store), await startNode(store)];
  const response = await from.datagrams.send(targetOf(to.port), request);
  expect(response.preparedRevision).toEqual(1);
  expect(from.calls).toEqual([]);
});

// Guards against doubts about healthy peers: networks occasionally lose a datagram.
test('a heartbeat whose first datagram is lost is resent as a datagram', async () => {
  await using store = new DisposableStore();
  const [from, to] = [await startNode(store), await startNode(store)];
  const port = await startLossyProxy(store, to.port, 1);
  const response = await from.datagrams.send(targetOf(port), request);
  expect(response.preparedRevision).toEqual(1);
  expect(from.calls).toEqual([]);
});

// Guards against suspecting peers in networks that drop all datagrams.
test('a heartbeat falls back to an HTTP call when every datagram is lost', async () => {
  await using store = new DisposableStore();
  const [from, to] = [await startNode(store), await startNode(store)];
  const port = await startLossyProxy(store, to.port, Infinity);
  const response = await from.datagrams.send(targetOf(port), request);
  expect(response.preparedRevision).toEqual(2);
  expect(from.calls).toEqual([7]);
});

// Guards against fragmented datagrams, which networks lose more often, and against truncated lists.
test('a heartbeat is sent as an HTTP call if it or its response cannot be a datagram', async () => {
  await using store = new DisposableStore();
  const names = Array.from({ length: 200 }, (_, index) => `worker-${index}`);
  const large = create(HeartbeatResponseSchema, { drains: { workers: names } });
  const [from, to] = [await startNode(store), await startNode(store, () => large)];
  const response = await from.datagrams.send(targetOf(to.port), request);
  expect(response.preparedRevision).toEqual(2);
  const longRequest = { ...request, drains: large.drains };
  await from.datagrams.send(targetOf(to.port), longRequest);
  await from.datagrams.send(targetOf(to.port), { ...request, wantsAllPeers: true });
  await from.datagrams.send({ host: HOST, peerPort: 1 }, request);
  expect(from.calls).toEqual([7, 7, 7, 7]);
});

// Guards against malformed datagrams that end the process or are accepted as the response to a heartbeat.
test('malformed datagrams are ignored and a heartbeat still gets a response', async () => {
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
