import http from 'node:http';
import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { expect } from 'earl';
import { NodeIdentitySchema } from '../../../gen/hyssoppulley/v1/peer_pb.ts';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import { listen } from '../../dataPath/httpServer.ts';
import { formatKeyPrefix, parseIdempotencyKey } from '../../decisions/idempotencyKey.ts';
import { HomeClient } from '../homeClient.ts';

const SILENCE_MS = 1000;

const key = parseIdempotencyKey(
  `${formatKeyPrefix({ homeIncarnation: 'home1', witnessIncarnation: undefined, expiresAtMs: 1 }, 's')}k`,
);

/** Forwards one request to a server that acts as the home. */
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
  using client = new HomeClient(clock, SILENCE_MS);
  const answer = await client.forward(create(NodeIdentitySchema, { host: '127.0.0.1', peerPort }), {
    key,
    method: 'POST',
    pathAndQuery: '/reports?x=1',
    headers: {},
    body: Buffer.from('crew'),
  });
  server.closeAllConnections();
  server.close();
  return { answer, paths, timers: clock.nextTimerInMs() };
};

test('the answer of the home is passed on', async () => {
  const { answer, paths, timers } = await forward((_request, response) => {
    response.writeProcessing();
    response.writeHead(201, { 'x-hyssoppulley-home': 'home1' }).end('done');
  });
  expect(answer.status === 'answered' && answer.body.toString()).toEqual('done');
  expect(paths).toEqual(['/forward/keyed/reports?x=1']);
  expect(timers).toEqual(undefined);
});

// Guards against taking the answer of a process that restarted at the same address for the home's.
test('an answer of another incarnation counts as silence', async () => {
  for (const headers of [{}, { 'x-hyssoppulley-home': 'home2' }]) {
    const { answer } = await forward((_request, response) =>
      response.writeHead(200, headers).end(),
    );
    expect(answer.status).toEqual('silent');
  }
});

test('a home that shows no sign of life counts as silent', async () => {
  const { answer, paths } = await forward((_request, _response, clock) => {
    clock.advance(SILENCE_MS);
  });
  expect(answer).toEqual({ status: 'silent', reason: `no sign of life for ${SILENCE_MS} ms` });
  expect(paths.length).toEqual(1);
});

// Guards against a truncated answer that passes for whole, and against giving up on a stale connection.
test('after a broken answer the home is asked once more', async () => {
  let attempts = 0;
  const flaky = await forward((_request, response) => {
    attempts += 1;
    response.writeHead(200, { 'x-hyssoppulley-home': 'home1', 'content-length': 4 });
    if (attempts === 1) response.write('do', () => response.destroy());
    else response.end('done');
  });
  expect(flaky.answer.status === 'answered' && flaky.answer.body.toString()).toEqual('done');
  const broken = await forward((request) => request.socket.destroy());
  expect([broken.answer.status, broken.paths.length]).toEqual(['silent', 2]);
});
