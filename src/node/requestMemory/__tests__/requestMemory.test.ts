import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import net from 'node:net';
import { test } from 'node:test';
import { expect } from 'earl';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import { closeServer } from '../../dataPath/closeServer.ts';
import { createHttpServer } from '../../dataPath/httpServer.ts';
import { RequestError, sendProblem } from '../../dataPath/problem.ts';
import { silentLogger } from '../../observability/logger.ts';
import { createMetrics } from '../../observability/metrics.ts';
import { resolveRequestMemory } from '../../settings/resolveSettings.ts';
import { SWEEP_INTERVAL_MS } from '../constants.ts';
import { RequestMemory } from '../requestMemory.ts';

const MAX_BODY_BYTES = 1024 * 1024;

/** A condition that does not hold by then never will; ends the loop, which would keep the process alive. */
const WAIT_LIMIT_MS = 15_000;

const LIMITS = {
  ...{ maxHeaderBytes: 16_384, maxBodyBytes: MAX_BODY_BYTES },
  ...{ headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
};

/** A server on 127.0.0.1 that answers with the size of each body, or with as many bytes as the path says. */
const startServer = async () => {
  const clock = new VirtualClock();
  const memory = new RequestMemory({
    ...{ clock, logger: silentLogger, metrics: createMetrics() },
    gateway: {
      ...{ memoryMb: 200, fileDescriptors: 1000 },
      requestMemory: {
        ...resolveRequestMemory(),
        ...{ uploadBytes: MAX_BODY_BYTES, responseBytes: 30 * MAX_BODY_BYTES },
      },
    },
    requestLimits: () => LIMITS,
  });
  const server = createHttpServer(
    [
      memory.callers.admit,
      async (request, response) => {
        const body = await memory.readBody(request, response);
        const bytes = Number(request.url?.slice(1));
        const answer = bytes > 0 ? Buffer.alloc(bytes, 97) : Buffer.from(String(body.length));
        memory.holdResponse(response, answer);
        response.end(answer);
        return true;
      },
    ],
    (error, response) => {
      if (error instanceof RequestError) sendProblem(response, error.message, error);
      else response.destroy();
    },
  );
  memory.callers.watch(server);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const connect = () => {
    const socket = net.connect((server.address() as AddressInfo).port, '127.0.0.1');
    const state = { socket, received: '', closed: false };
    socket.on('error', () => {});
    socket.on('close', () => Object.assign(state, { closed: true }));
    socket.on('data', (data) => {
      state.received += data.toString('latin1');
    });
    return state;
  };
  return {
    ...{ clock, memory, connect },
    async [Symbol.asyncDispose]() {
      memory[Symbol.dispose]();
      await closeServer(server);
    },
  };
};

const head = (framing: string, path = '/') =>
  `POST ${path} HTTP/1.1\r\nHost: h\r\n${framing}\r\n\r\n`;

const until = async (condition: () => boolean): Promise<void> => {
  const endMs = performance.now() + WAIT_LIMIT_MS;
  while (!condition()) {
    if (performance.now() > endMs) throw new Error(`not reached: ${condition.toString()}`);
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
};

const OPTIONS = { timeout: 20_000 };

// Guards against bodies that are received although their announced size is over the limit.
test('a body announced as too large is refused before it is sent', OPTIONS, async () => {
  await using server = await startServer();
  const client = server.connect();
  client.socket.write(head(`Content-Length: ${MAX_BODY_BYTES + 1}`));
  await until(() => client.closed);
  expect(client.received.startsWith('HTTP/1.1 413')).toEqual(true);
});

// Guards against a chunked body that is kept beyond the limit.
test('a chunked body over the limit is refused and its memory returned', OPTIONS, async () => {
  await using server = await startServer();
  const client = server.connect();
  client.socket.write(head('Transfer-Encoding: chunked'));
  client.socket.write(`${(MAX_BODY_BYTES + 1).toString(16)}\r\n`);
  client.socket.write(Buffer.alloc(MAX_BODY_BYTES + 1));
  await until(() => client.closed);
  expect(client.received.startsWith('HTTP/1.1 413')).toEqual(true);
  await until(() => server.memory.uploads.heldBytes === 0);
});

// Guards against uploads that are refused although they only have to wait, and against memory that is not passed on.
test('an upload waits for memory while another holds it, and is served then', OPTIONS, async () => {
  await using server = await startServer();
  const [first, second] = [server.connect(), server.connect()];
  first.socket.write(head(`Content-Length: ${MAX_BODY_BYTES}`));
  first.socket.write(Buffer.alloc(MAX_BODY_BYTES - 1));
  await until(() => server.memory.uploads.heldBytes >= MAX_BODY_BYTES);
  second.socket.write(head(`Content-Length: ${MAX_BODY_BYTES}`));
  second.socket.write(Buffer.alloc(MAX_BODY_BYTES));
  await until(() => server.memory.uploads.waitingCount === 1);
  first.socket.write('x');
  await until(() => first.received.endsWith(String(MAX_BODY_BYTES)));
  await until(() => second.received.endsWith(String(MAX_BODY_BYTES)));
  await until(() => server.memory.uploads.heldBytes === 0);
});

// Guards against an upload that stops short of its end and keeps its memory from others.
test('an upload that stops short ends with 503 once another waits', OPTIONS, async () => {
  await using server = await startServer();
  const [stopped, next] = [server.connect(), server.connect()];
  stopped.socket.write(head('Transfer-Encoding: chunked'));
  stopped.socket.write(`${MAX_BODY_BYTES.toString(16)}\r\n`);
  stopped.socket.write(Buffer.alloc(MAX_BODY_BYTES - 1));
  await until(() => server.memory.uploads.heldBytes >= MAX_BODY_BYTES);
  server.clock.advance(5000);
  expect(stopped.closed).toEqual(false);
  next.socket.write(head(`Content-Length: ${MAX_BODY_BYTES}`));
  next.socket.write(Buffer.alloc(MAX_BODY_BYTES));
  await until(() => server.memory.uploads.waitingCount === 1);
  // Memory is granted before the bytes are read, so that the last of them may arrive after the first sweeps.
  await until(() => {
    server.clock.advance(SWEEP_INTERVAL_MS);
    return stopped.closed;
  });
  expect(stopped.received.startsWith('HTTP/1.1 503')).toEqual(true);
  expect(stopped.received.includes('not-run')).toEqual(true);
  expect(stopped.received.toLowerCase().includes('retry-after: 1')).toEqual(true);
  await until(() => next.received.endsWith(String(MAX_BODY_BYTES)));
  expect(server.memory.view().refused).toEqual({ 'upload-slow': 1n });
});

// Guards against a client that leaves in the middle and whose memory stays occupied.
test('the memory of an interrupted upload is returned', OPTIONS, async () => {
  await using server = await startServer();
  const client = server.connect();
  client.socket.write(head('Content-Length: 1000000'));
  client.socket.write(Buffer.alloc(500_000));
  await until(() => server.memory.uploads.heldBytes >= 500_000);
  client.socket.destroy();
  await until(() => server.memory.uploads.heldBytes === 0);
  await until(() => server.memory.callers.size === 0);
});

// Guards against responses that nobody reads and that keep the memory from those that are read.
test('the response that has waited longest gives way', OPTIONS, async () => {
  await using server = await startServer();
  const unread = server.connect();
  unread.socket.pause();
  // More than the operating system's buffers of a connection take.
  const size = 24 * MAX_BODY_BYTES;
  unread.socket.write(head('Content-Length: 0', `/${size}`));
  await until(() => server.memory.responses.usedBytes === size);
  const reading = server.connect();
  reading.socket.write(head('Content-Length: 0', `/${size}`));
  await until(() => reading.received.length > size);
  await until(() => server.memory.responses.usedBytes === 0);
  expect(server.memory.view().refused).toEqual({ 'responses-full': 1n });
});
