import { once } from 'node:events';
import http, { type IncomingMessage } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Readable } from 'node:stream';
import { test } from 'node:test';
import { expect } from 'earl';
import { closeServer } from '../closeServer.ts';
import { readBody } from '../readBody.ts';
import { readResponseBody } from '../workerHttpClient.ts';

const BODY_BYTES = 4 * 1024 * 1024;

const MAX_BYTES = 2 * BODY_BYTES;

/** Keeps the chunks of a message that its reader receives. */
const keepChunks = (message: IncomingMessage): Buffer[] => {
  const chunks: Buffer[] = [];
  const push = message.push.bind(message);
  Object.assign(message, {
    push: (chunk: Buffer | null) => {
      if (chunk !== null) chunks.push(chunk);
      return push(chunk);
    },
  });
  return chunks;
};

const heldBytes = (chunks: readonly Buffer[]): number =>
  chunks.reduce((sum, { length }) => sum + length, 0);

/** Small chunks are left to the garbage collector. */
const MAX_HELD_BYTES = 64 * 1024;

// Guards against chunks that stay in memory until the garbage collector runs, although their bytes were copied: up to 64 MB
// beside the limits on bodies, more on a busy machine.
test('chunks of a request body are freed as they are joined', async () => {
  const body = Buffer.alloc(BODY_BYTES, 'abc');
  let chunks: Buffer[] = [];
  let received: Buffer | undefined;
  const server = http.createServer((request, response) => {
    chunks = keepChunks(request);
    void readBody(request, MAX_BYTES).then((bytes) => {
      received = bytes;
      response.end();
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const request = http.request({ port, host: '127.0.0.1', method: 'POST', agent: false });
  request.end(body);
  const [response] = (await once(request, 'response')) as [IncomingMessage];
  response.resume();
  await once(response, 'close');
  await closeServer(server);
  expect(received?.equals(body)).toEqual(true);
  expect(chunks.length > 1).toEqual(true);
  expect(heldBytes(chunks)).toBeLessThanOrEqual(MAX_HELD_BYTES);
});

// Guards against the same for the responses of workers.
test('chunks of a response are freed as they are joined', async () => {
  const chunks = [1, 2, 3].map((value) => Buffer.from(new ArrayBuffer(64 * 1024)).fill(value));
  const body = Buffer.concat(chunks);
  const response = Object.assign(Readable.from(chunks), { headers: {}, complete: true });
  const received = await readResponseBody(response as unknown as IncomingMessage, MAX_BYTES);
  expect(received.equals(body)).toEqual(true);
  expect(heldBytes(chunks)).toEqual(0);
});
