import net, { type AddressInfo } from 'node:net';
import { once } from 'node:events';
import { test } from 'node:test';
import { expect } from 'earl';
import { systemClock } from '../../../shared/clock.ts';
import { dispatchOnce, type OnceOptions } from '../dispatchOnce.ts';

const options: OnceOptions = {
  clock: systemClock,
  connectTimeoutMs: 2000,
  timeoutMs: 5000,
  maxAnswerBytes: 100,
};

/** Sends a request to a server that answers every connection's first data with `answer` and then closes it. */
const dispatchTo = async (answer: string, overrides: Partial<OnceOptions> = {}) => {
  let received = '';
  const server = net.createServer((socket) => {
    socket.on('error', () => {});
    socket.on('data', (data) => {
      received += data.toString();
      socket.end(answer);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const result = await dispatchOnce(
    { address, method: 'POST', path: '/book?x=1', headers: {}, body: Buffer.from('crew') },
    { ...options, ...overrides },
  );
  server.close();
  await once(server, 'close');
  return { result, received, address };
};

// Guards against a whole answer that is not reported as such.
test('a whole answer is answered', async () => {
  const { result, received } = await dispatchTo(
    'HTTP/1.1 201 Created\r\ncontent-length: 2\r\n\r\nok',
  );
  expect(result).toLooseEqual({
    status: 'answered',
    statusCode: 201,
    headers: { 'content-length': '2' },
    body: Buffer.from('ok'),
  });
  expect(received.startsWith('POST /book?x=1 HTTP/1.1\r\n')).toEqual(true);
});

// Guards against a part of an answer that is stored as if it were the whole answer, and against "not-run" for a request
// that the worker has received.
test('every broken answer is unknown', async () => {
  for (const answer of [
    'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nshort',
    'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nshort\r\n',
    'HTTP/1.1 200 OK\r\ncontent-le',
    'not http',
    '',
    `HTTP/1.1 200 OK\r\ncontent-length: 101\r\n\r\n${'x'.repeat(101)}`,
  ]) {
    const { result } = await dispatchTo(answer);
    expect(result.status).toEqual('unknown');
  }
});

// Guards against "unknown" where the request certainly did not run.
test('a refused connection and a withdrawn request are not dispatched', async () => {
  const withdrawn = await dispatchTo('unused', { mayDispatch: () => false });
  expect(withdrawn.result.status).toEqual('not-dispatched');
  expect(withdrawn.received).toEqual('');
  const refused = await dispatchOnce(
    { address: withdrawn.address, method: 'POST', path: '/', headers: {}, body: Buffer.alloc(0) },
    options,
  );
  expect(refused.status).toEqual('not-dispatched');
});

// Guards against a worker that never answers holding a request for ever.
test('a silent worker is unknown after the timeout', async () => {
  const server = net.createServer((socket) => socket.on('error', () => {}));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const result = await dispatchOnce(
    { address, method: 'POST', path: '/', headers: {}, body: Buffer.alloc(0) },
    { ...options, timeoutMs: 100 },
  );
  expect(result.status).toEqual('unknown');
  server.close();
});
