import { create } from '@bufbuild/protobuf';
import {
  HeartbeatRequestSchema,
  HeartbeatResponseSchema,
  PeerService,
} from '../src/gen/hyssoppulley/v1/peer_pb.ts';
import { PeerServer } from '../src/node/gateway/peerServer.ts';
import { HeartbeatDatagrams } from '../src/node/membership/heartbeatDatagrams.ts';
import type { HeartbeatTarget, SendHeartbeat } from '../src/node/membership/heartbeats.ts';
import { PeerClients } from '../src/node/membership/peerClients.ts';
import { createDefaultRequestMemory } from '../src/node/requestMemory/defaultRequestMemory.ts';
import { silentLogger } from '../src/node/observability/logger.ts';
import { systemClock } from '../src/shared/clock.ts';
import { systemRandom } from '../src/shared/random.ts';

// Compares the CPU time of heartbeats with two digests that are sent by HTTP call and by datagram. Both sides run in one
// process over loopback; the two transports alternate. Command: npx tsx bench/heartbeats.ts
const HOST = '127.0.0.1';
const PEER_PORT = 7990;
const ROUNDS = 5;
const HEARTBEATS = 2000;
const TIMEOUT_MS = 1000;

const digest = (name: string) => ({
  identity: {
    ...{ name, incarnation: '0123456789abcdef', host: '10.1.0.10', peerPort: 8166 },
    ...{ callerPort: 8161, region: 'pl-central', availabilityZone: 'pl-central-a' },
  },
  heartbeatCount: 1000,
  acceptedRevision: 4000n,
  workersVersion: 4000n,
});
const request = create(HeartbeatRequestSchema, {
  sender: digest('front-pl-central-a-1'),
  changed: [digest('front-pl-central-b-1'), digest('front-pl-central-c-1')],
});
const response = create(HeartbeatResponseSchema, {
  responder: digest('front-pl-central-d-1'),
  changed: request.changed,
});

const memory = createDefaultRequestMemory(systemClock, silentLogger);
const server = new PeerServer({
  logger: silentLogger,
  memory,
  routes: (router) => router.service(PeerService, { heartbeat: () => response }),
});
await server.listen({ host: HOST, port: PEER_PORT });
const clients = new PeerClients(TIMEOUT_MS);
const sendByHttp = (target: HeartbeatTarget) => clients.peer(target).heartbeat(request);
const createDatagramChannel = () =>
  new HeartbeatDatagrams({
    ...{ clock: systemClock, random: systemRandom, logger: silentLogger },
    handleRequest: () => response,
    sendByHttp,
    timeoutMs: TIMEOUT_MS,
  });
const [from, to] = [createDatagramChannel(), createDatagramChannel()];
await from.listen({ host: HOST, port: 0 });
const datagramPort = await to.listen({ host: HOST, port: 0 });

const measure = async (send: SendHeartbeat, target: HeartbeatTarget): Promise<number> => {
  const before = process.cpuUsage();
  for (let count = 0; count < HEARTBEATS; count += 1) await send(target, request);
  const { user, system } = process.cpuUsage(before);
  return (user + system) / HEARTBEATS / 2 / 1000;
};

const address = { host: HOST, peerPort: PEER_PORT };
await measure(sendByHttp, address);
await measure(from.send, { ...address, datagramPort });
for (let round = 0; round < ROUNDS; round += 1) {
  const callMs = await measure(sendByHttp, address);
  const datagramMs = await measure(from.send, { ...address, datagramPort });
  console.log(
    `call ${callMs.toFixed(4)} ms, datagram ${datagramMs.toFixed(4)} ms per message and side, ` +
      `ratio ${(callMs / datagramMs).toFixed(1)}`,
  );
}
await Promise.all([from, to, server].map((each) => each[Symbol.asyncDispose]()));
clients[Symbol.dispose]();
memory[Symbol.dispose]();
