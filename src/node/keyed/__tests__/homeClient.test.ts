import http from 'node:http';
import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { expect } from 'earl';
import { NodeIdentitySchema } from '../../../gen/hyssoppulley/v1/peer_pb.ts';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import { listen } from '../../dataPath/httpServer.ts';
import { formatKeyPrefix, parseIdempotencyKey } from '../../decisions/idempotencyKey.ts';
import { HomeClient } from '../homeClient.ts';

const IDLE_TIMEOUT_MS = 1000;

const key = parseIdempotencyKey(
  `${formatKeyPrefix({ homeIncarnation: 'home1', witnessIncarnation: undefined, expiresAtMs: 1 }, 's')}k`,
);

/** Forwards one request to a server that acts as the home of the key. */
const forward = async (
  home: (request: http.IncomingMessage, response: http.ServerResponse, clock: VirtualClock) => void,
) => {
  const clock = new VirtualClock();
  const paths: string[] = [];
  const server = http.createServer((request, response) => {
    paths.push(request.url ?? '');
    home(request, response, clock);
  });
  const peerPort = await listen(server, '127.0.0.1', 0);
  using client = new HomeClient(clock, IDLE_TIMEOUT_MS);
  const result = await client.forward(create(NodeIdentitySchema, { host: '127.0.0.1', peerPort }), {
    key,
    method: 'POST',
    pathAndQuery: '/reports?x=1',
    headers: {},
    body: Buffer.from('crew'),
  });
  server.closeAllConnections();
  server.close();
  return { result, paths, timers: clock.nextTimerInMs() };
};

test('the response of the home is returned', async () => {
  const { result, paths, timers } = await forward((_request, response) => {
    response.writeProcessing();
    response.writeHead(201, { 'x-hyssoppulley-home': 'home1' }).end('done');
  });
  expect(result.status === 'answered' && result.body.toString()).toEqual('done');
  expect(paths).toEqual(['/forward/keyed/reports?x=1']);
  expect(timers).toEqual(undefined);
});

// Guards against accepting the response of a later process at the same address as that of the home.
test('a response without the incarnation of the home counts as silent', async () => {
  for (const headers of [{}, { 'x-hyssoppulley-home': 'home2' }]) {
    const { result } = await forward((_request, response) =>
      response.writeHead(200, headers).end(),
    );
    expect(result.status).toEqual('silent');
  }
});

test('a home that sends nothing within the idle timeout counts as silent, without a retry', async () => {
  const { result, paths } = await forward((_request, _response, clock) => {
    clock.advance(IDLE_TIMEOUT_MS);
  });
  expect(result).toEqual({ status: 'silent', reason: `no data for ${IDLE_TIMEOUT_MS} ms` });
  expect(paths.length).toEqual(1);
});

// Guards against accepting a truncated response as complete, and against giving up after a stale connection failed.
test('a truncated response is retried once', async () => {
  let attempts = 0;
  const flaky = await forward((_request, response) => {
    attempts += 1;
    response.writeHead(200, { 'x-hyssoppulley-home': 'home1', 'content-length': 4 });
    if (attempts === 1) response.write('do', () => response.destroy());
    else response.end('done');
  });
  expect(flaky.result.status === 'answered' && flaky.result.body.toString()).toEqual('done');
  const broken = await forward((request) => request.socket.destroy());
  expect([broken.result.status, broken.paths.length]).toEqual(['silent', 2]);
});
