import net, { type AddressInfo } from 'node:net';
import { once } from 'node:events';
import { test } from 'node:test';
import { expect } from 'earl';
import { systemClock } from '../../../shared/clock.ts';
import { dispatchOnce, type DispatchOnceOptions } from '../dispatchOnce.ts';

const options: DispatchOnceOptions = {
  clock: systemClock,
  connectTimeoutMs: 2000,
  timeoutMs: 5000,
  maxResponseBytes: 100,
};

/** Sends a request to a server that responds to data on a connection with `responseBytes` and then closes it. */
const dispatchTo = async (responseBytes: string, overrides: Partial<DispatchOnceOptions> = {}) => {
  let received = '';
  const server = net.createServer((socket) => {
    socket.on('error', () => {});
    socket.on('data', (data) => {
      received += data.toString();
      socket.end(responseBytes);
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

// Guards against a complete response that is not reported as one.
test('a complete response gives the status answered', async () => {
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

// Guards against a truncated response that is stored as a complete one, and against "not-run" for a request that the
// worker has received.
test('truncated, malformed, missing and oversized responses give the status unknown', async () => {
  for (const responseBytes of [
    'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nshort',
    'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nshort\r\n',
    'HTTP/1.1 200 OK\r\ncontent-le',
    'not http',
    '',
    `HTTP/1.1 200 OK\r\ncontent-length: 101\r\n\r\n${'x'.repeat(101)}`,
  ]) {
    const { result } = await dispatchTo(responseBytes);
    expect(result.status).toEqual('unknown');
  }
});

// Guards against "unknown" for a request that certainly did not run.
test('a refused connection and a cancelled request give the status not-dispatched', async () => {
  const cancelled = await dispatchTo('unused', { mayDispatch: () => false });
  expect(cancelled.result.status).toEqual('not-dispatched');
  expect(cancelled.received).toEqual('');
  const refused = await dispatchOnce(
    { address: cancelled.address, method: 'POST', path: '/', headers: {}, body: Buffer.alloc(0) },
    options,
  );
  expect(refused.status).toEqual('not-dispatched');
});

// Guards against a request that hangs forever because its worker never responds.
test('a worker that does not respond within the timeout gives the status unknown', async () => {
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
