import { createHash, randomBytes } from 'node:crypto';
import { once } from 'node:events';
import http from 'node:http';
import net from 'node:net';
import { test } from 'node:test';
import { expect } from 'earl';
import { TestResources, refusingAddress, sendRaw, tablesOf } from './dataPathHarness.ts';

const digest = (bytes: Buffer) => createHash('sha256').update(bytes).digest('hex');

const readAll = async (stream: AsyncIterable<Buffer>): Promise<Buffer> => {
  const chunks: Buffer[] = [];
  for await (const chunk of stream) chunks.push(chunk);
  return Buffer.concat(chunks);
};

// Guards against changed, lost or added bytes, headers and status codes.
test('methods, headers, bodies and statuses pass unchanged', { timeout: 20_000 }, async () => {
  await using resources = new TestResources();
  const address = await resources.startWorker((request, response) => {
    response.writeHead(request.method === 'PUT' ? 201 : 200, {
      'x-seen': `${request.method} ${request.url} ${String(request.headers['x-from'])}`,
      'set-cookie': ['a=1', 'b=2'],
      'x-hyssoppulley-outcome': 'unknown',
    });
    request.pipe(response);
  });
  const { base } = await resources.startDataPath(
    tablesOf('plain-service', [address], { pool: 'maxBodyBytes: 8000000' }),
  );
  for (const size of [0, 10, 65_536, 65_537, 3_000_000]) {
    const body = randomBytes(size);
    const response = await fetch(`${base}/x/y?q=1`, {
      method: 'PUT',
      body,
      headers: { 'x-from': 'intake' },
    });
    expect(response.status).toEqual(201);
    expect(response.headers.get('x-seen')).toEqual('PUT /x/y?q=1 intake');
    expect(response.headers.getSetCookie()).toEqual(['a=1', 'b=2']);
    expect(response.headers.has('x-hyssoppulley-outcome')).toEqual(false);
    expect(digest(Buffer.from(await response.arrayBuffer()))).toEqual(digest(body));
  }
  const head = await fetch(`${base}/`, { method: 'HEAD' });
  expect(head.status).toEqual(200);
});

// Guards against a truncated response that the caller takes for a complete one.
test('reading a truncated response fails at the caller', { timeout: 20_000 }, async () => {
  for (const headersAndBody of [
    'content-length: 9\r\n\r\nshort',
    'transfer-encoding: chunked\r\n\r\n5\r\nshort\r\n',
  ]) {
    await using resources = new TestResources();
    const server = resources.addServer(
      net.createServer((socket) => {
        socket.on('error', () => {});
        socket.once('data', () => socket.end(`HTTP/1.1 200 OK\r\n${headersAndBody}`));
      }),
    );
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as net.AddressInfo;
    const { base } = await resources.startDataPath(
      tablesOf('plain-service', [`127.0.0.1:${port}`]),
    );
    const response = await fetch(`${base}/`);
    expect(response.status).toEqual(200);
    await expect(response.text()).toBeRejected();
  }
});

// Guards against bodies over the limit that are forwarded or exhaust the memory.
test('an oversized body gets status 413, declared or not', { timeout: 20_000 }, async () => {
  await using resources = new TestResources();
  let completeUploads = 0;
  const address = await resources.startWorker((request, response) => {
    request.on('error', () => {});
    request.resume().on('end', () => {
      completeUploads += 1;
      response.end();
    });
  });
  const { base, port } = await resources.startDataPath(
    tablesOf('plain-service', [address], { pool: 'maxBodyBytes: 200000' }),
  );
  const declared = await fetch(`${base}/`, { method: 'POST', body: randomBytes(200_001) });
  expect(declared.status).toEqual(413);
  expect(declared.headers.get('x-hyssoppulley-outcome')).toEqual('not-run');
  const chunk = `8000\r\n${'x'.repeat(0x8000)}\r\n`;
  const undeclared = await sendRaw(
    port,
    `POST / HTTP/1.1\r\nhost: n\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n${chunk.repeat(7)}0\r\n\r\n`,
  );
  expect(undeclared.startsWith('HTTP/1.1 413')).toEqual(true);
  expect(completeUploads).toEqual(0);
});

// Guards against malformed input that reaches a worker or crashes the node.
test('malformed requests get 400 or 431 and are not run', { timeout: 20_000 }, async () => {
  await using resources = new TestResources();
  let requestCount = 0;
  const address = await resources.startWorker((_, response) => {
    requestCount += 1;
    response.end();
  });
  const { port } = await resources.startDataPath(tablesOf('plain-service', [address]));
  const cases = {
    'GET / HTTP/1.1\r\nhost: n\r\nbad header: x\r\n\r\n': 400,
    'nonsense\r\n\r\n': 400,
    'POST / HTTP/1.1\r\nhost: n\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n': 400,
    'POST / HTTP/1.1\r\nhost: n\r\ncontent-length: x\r\n\r\n': 400,
    [`GET / HTTP/1.1\r\nhost: n\r\nx: ${'y'.repeat(20_000)}\r\n\r\n`]: 431,
  };
  for (const [bytes, status] of Object.entries(cases)) {
    const received = await sendRaw(port, bytes);
    expect(received.startsWith(`HTTP/1.1 ${status} `)).toEqual(true);
    expect(received.includes('x-hyssoppulley-outcome: not-run')).toEqual(true);
  }
  expect(requestCount).toEqual(0);
});

// Guards against a truncated upload that a worker takes for a complete one.
test('a truncated upload never completes at the worker', { timeout: 20_000 }, async () => {
  await using resources = new TestResources();
  let completeUploads = 0;
  let onInterrupted: () => void = () => {};
  const uploadInterrupted = new Promise<void>((resolve) => {
    onInterrupted = resolve;
  });
  const address = await resources.startWorker((request, response) => {
    request.on('error', () => onInterrupted());
    request.resume().on('end', () => {
      completeUploads += 1;
      response.end();
    });
  });
  const { port } = await resources.startDataPath(tablesOf('plain-service', [address]));
  const upload = async (declared: number, sent: number) => {
    const socket = net.connect(port, '127.0.0.1');
    socket.on('error', () => {});
    socket.end(
      `POST / HTTP/1.1\r\nhost: n\r\ncontent-length: ${declared}\r\n\r\n${'x'.repeat(sent)}`,
    );
    socket.resume();
    await once(socket, 'close');
  };
  await upload(100, 50);
  await upload(500_000, 200_000);
  await uploadInterrupted;
  expect(completeUploads).toEqual(0);
});

// Guards against mixing the bytes of two attempts, and against a request that fails because one connection was refused.
test('bytes of an abandoned attempt never reach the caller', { timeout: 20_000 }, async () => {
  await using resources = new TestResources();
  const abandonedResponses: http.ServerResponse[] = [];
  const stalledWorker = resources.addServer(
    http.createServer((request, response) => {
      // Probes fail as well, and at once to keep the test fast.
      if (request.url === '/load') request.socket.destroy();
      else abandonedResponses.push(response);
    }),
  );
  stalledWorker.listen(0, '127.0.0.1');
  await once(stalledWorker, 'listening');
  const { port } = stalledWorker.address() as net.AddressInfo;
  const healthyWorker = await resources.startWorker((_, response) => {
    for (const abandoned of abandonedResponses) abandoned.end('late');
    response.write('go');
    setImmediate(() => response.end('od'));
  });
  const { base } = await resources.startDataPath(
    tablesOf('plain-service', [`127.0.0.1:${port}`, healthyWorker, await refusingAddress()], {
      route: ', retryBudgetFraction: 1',
    }),
    { streamIdleMs: 50 },
  );
  for (let run = 0; run < 8; run += 1) {
    const response = await fetch(`${base}/`);
    expect(await response.text()).toEqual('good');
  }
  expect(abandonedResponses.length > 0).toEqual(true);
});

// Guards against retries that multiply the load on a pool whose workers all fail.
test('retries stay within fraction * requests + burst', { timeout: 20_000 }, async () => {
  await using resources = new TestResources();
  let arrived = 0;
  const fail: http.RequestListener = (request) => {
    arrived += 1;
    request.socket.destroy();
  };
  const addresses = [await resources.startWorker(fail), await resources.startWorker(fail)];
  const { base } = await resources.startDataPath(tablesOf('plain-service', addresses));
  const count = 300;
  for (let run = 0; run < count; run += 10) {
    const batch = await Promise.all(
      Array.from({ length: 10 }, () => fetch(`${base}/`, { method: 'POST', body: 'x' })),
    );
    for (const response of batch) {
      expect(response.status).toEqual(502);
      expect(response.headers.get('x-hyssoppulley-outcome')).toEqual('failed');
    }
  }
  expect(arrived >= count).toEqual(true);
  expect(arrived <= count * 1.1 + 10).toEqual(true);
});

// Guards against "failed" for a request that cannot have run: callers may not be able to repeat a failed request.
test('a pool with unreachable workers gives status 503 and the outcome not-run', async () => {
  await using resources = new TestResources();
  const { base } = await resources.startDataPath(
    tablesOf('plain-service', [await refusingAddress()]),
  );
  const response = await fetch(`${base}/`);
  const problem = (await response.json()) as Record<string, unknown>;
  expect(response.headers.get('content-type')).toEqual('application/problem+json');
  expect(problem).toLooseEqual({
    type: 'urn:hyssoppulley:problem:no-worker',
    title: 'no-worker',
    status: 503,
    detail: 'pool p has no worker that takes requests',
    outcome: 'not-run',
    retryAfterMs: 1000,
    error: {
      message: 'pool p has no worker that takes requests',
      type: 'not-run',
      code: 'no-worker',
    },
  });
});

// Guards against requests that queue until they time out, and against more concurrent requests than a worker may get.
test('excess requests get 503, worker concurrency is bounded', { timeout: 20_000 }, async () => {
  await using resources = new TestResources();
  const running: http.ServerResponse[] = [];
  let maxRunning = 0;
  const address = await resources.startWorker((_, response) => {
    running.push(response);
    maxRunning = Math.max(maxRunning, running.length);
  });
  const { base, dataPath } = await resources.startDataPath(
    tablesOf('plain-service', [address], { pool: 'maxConcurrentPerWorker: 4\n    maxQueued: 4' }),
  );
  const statuses: Record<number, number> = {};
  const all = Array.from({ length: 24 }, async () => {
    const response = await fetch(`${base}/`);
    statuses[response.status] = (statuses[response.status] ?? 0) + 1;
    if (response.status === 503) {
      expect(response.headers.get('x-hyssoppulley-outcome')).toEqual('not-run');
      expect(Number(response.headers.get('retry-after')) >= 1).toEqual(true);
    }
  });
  while ((statuses[503] ?? 0) < 16) await new Promise(setImmediate);
  expect(dataPath.admission.total).toEqual(8);
  while ((statuses[200] ?? 0) < 8) {
    running.pop()?.end();
    await new Promise(setImmediate);
  }
  await Promise.all(all);
  expect(statuses).toEqual({ 200: 8, 503: 16 });
  expect(maxRunning).toEqual(4);
});

// Guards against buffering a response in the node's memory while its caller does not read.
test(
  'a caller that does not read applies backpressure to the worker',
  { timeout: 30_000 },
  async () => {
    await using resources = new TestResources();
    const total = 64 * 1024 * 1024;
    let written = 0;
    const address = await resources.startWorker(async (_, response) => {
      const chunk = Buffer.alloc(64 * 1024, 'x');
      while (written < total) {
        written += chunk.length;
        if (!response.write(chunk)) await once(response, 'drain');
      }
      response.end();
    });
    const { port } = await resources.startDataPath(tablesOf('plain-service', [address]));
    const request = http.get({ port, host: '127.0.0.1' });
    const [response] = (await once(request, 'response')) as [http.IncomingMessage];
    // Waits until the worker stalls, as it must, or has sent everything.
    for (let seen = -1, unchanged = 0; unchanged < 10 && written < total;) {
      await new Promise((resolve) => {
        setTimeout(resolve, 50);
      });
      unchanged = written === seen ? unchanged + 1 : 0;
      seen = written;
    }
    // The socket buffers of two loopback connections hold a few MiB each.
    expect(written < total / 2).toEqual(true);
    expect((await readAll(response)).length).toEqual(total);
  },
);

// Guards against a trace that ends at the node.
test('the traceparent header is forwarded to the worker', async () => {
  await using resources = new TestResources();
  const address = await resources.startWorker((request, response) => {
    response.end(request.headers.traceparent);
  });
  const { base } = await resources.startDataPath(tablesOf('plain-service', [address]));
  const traceparent = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01';
  const response = await fetch(`${base}/`, { headers: { traceparent } });
  expect(await response.text()).toEqual(traceparent);
});

// Guards against callers that reach an engine's control paths, reserved for the lease holder, through a broad route.
test('caller requests for engine control paths get 404', async () => {
  await using resources = new TestResources();
  let requestCount = 0;
  const address = await resources.startWorker((_, response) => {
    requestCount += 1;
    response.end();
  });
  const { base } = await resources.startDataPath(tablesOf('model-engine', [address]));
  for (const path of [
    '/v1/orders',
    '/v1/kv/import',
    '/v1/streams/x',
    '/v1//orders',
    '/v1/%6frders',
  ]) {
    expect((await fetch(`${base}${path}`, { method: 'POST' })).status).toEqual(404);
  }
  expect(requestCount).toEqual(0);
});
