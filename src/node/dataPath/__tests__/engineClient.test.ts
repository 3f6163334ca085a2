import { once } from 'node:events';
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { expect } from 'earl';
import { startEngine } from '../../../../playground/standIns/engine.ts';
import { systemClock } from '../../../shared/clock.ts';
import type { TokenChunk } from '../engineApi.ts';
import { EngineError } from '../engineMessages.ts';
import { EngineClient } from '../engineClient.ts';
import { WorkerHttpClient } from '../workerHttpClient.ts';

const clientWith = (streamIdleMs = 5000) =>
  new EngineClient({ http: new WorkerHttpClient(systemClock), clock: systemClock, streamIdleMs });

const request = { streamId: 's1', prompt: 'gas', maxTokens: 6, priority: 'caller' } as const;

const workerAt = (address: string) => ({ name: 'e', address, availabilityZone: 'a' });

const collect = async (stream: AsyncIterable<TokenChunk>, into: TokenChunk[] = []) => {
  for await (const chunk of stream) into.push(chunk);
  return into;
};

const close = async (server: http.Server) => {
  server.closeAllConnections();
  server.close();
  await once(server, 'close');
};

// Guards against lost or duplicated tokens where a stream is resumed.
test('a resumed generation continues after the given tokens', async () => {
  const engine = await startEngine();
  const client = clientWith();
  const worker = workerAt(engine.address);
  const { signal } = new AbortController();
  const allChunks = await collect(client.generate(worker, request, signal));
  const firstTokens = allChunks.slice(0, 2).flatMap((chunk) => [...chunk.tokenIds]);
  const resumedChunks = await collect(
    client.generate(worker, { ...request, resumeAfter: firstTokens }, signal),
  );
  expect(allChunks.map((chunk) => chunk.position)).toEqual([0, 1, 2, 3, 4, 5]);
  expect(allChunks.at(-1)?.finishReason).toEqual('length');
  expect(resumedChunks).toEqual(allChunks.slice(2));
  await close(engine.server);
});

// Guards against an interrupted stream that passes for a complete one.
test('a crash of the engine in a stream throws an EngineError after the delivered tokens', async () => {
  const engine = await startEngine();
  engine.faults.crashAfterTokens = 3;
  const { signal } = new AbortController();
  const received: TokenChunk[] = [];
  const stream = clientWith().generate(workerAt(engine.address), request, signal);
  await expect(collect(stream, received)).toBeRejectedWith(EngineError);
  expect(received.length).toEqual(3);
  await close(engine.server);
});

// Guards against an engine that keeps generating for a caller that has disconnected.
test('aborting the signal cancels the stream at the engine', async () => {
  const engine = await startEngine();
  engine.faults.tokenIntervalMs = 5;
  const abort = new AbortController();
  const client = clientWith();
  const worker = workerAt(engine.address);
  const stream = client.generate(worker, { ...request, maxTokens: 500 }, abort.signal);
  await stream.next();
  expect(await client.listStreams(worker)).toEqual(['s1']);
  abort.abort();
  await expect(collect(stream)).toBeRejectedWith('aborted');
  while ((await client.listStreams(worker)).length > 0);
  await close(engine.server);
});

/** Starts an engine whose streams send one event and then stall; `listed` tells whether it still lists the stream. */
const startStalledEngine = async (
  listed: () => boolean,
  onProbe: (response: http.ServerResponse) => void,
) => {
  let stalled: http.ServerResponse | undefined;
  const server = http.createServer((incoming, response) => {
    if (incoming.url === '/v1/streams') {
      response.end(JSON.stringify({ streams: listed() ? ['s1'] : [] }));
      if (stalled) onProbe(stalled);
    } else if (incoming.url === '/v1/completions') {
      stalled = response;
      response.write(
        'data: {"choices":[{"text":"a"}],"token_ids":[1],"weight_version":1,"position":0}\n\n',
      );
    } else {
      response.end('{}');
    }
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return { server, worker: workerAt(`127.0.0.1:${(server.address() as AddressInfo).port}`) };
};

// Guards against a stream that hangs because its connection carries no more data while new connections work.
test('a stalled stream that the engine no longer lists fails', { timeout: 10_000 }, async () => {
  const { server, worker } = await startStalledEngine(
    () => false,
    () => {},
  );
  const stream = clientWith(50).generate(worker, request, new AbortController().signal);
  await stream.next();
  await expect(collect(stream)).toBeRejectedWith('no data arrived and the engine no longer lists');
  await close(server);
});

// Guards against aborting a healthy stream that is only slow.
test('a stalled stream that the engine still lists continues', { timeout: 10_000 }, async () => {
  let probes = 0;
  const { server, worker } = await startStalledEngine(
    () => true,
    (response) => {
      probes += 1;
      if (probes < 4) return;
      response.end(
        'data: {"choices":[{"text":"b","finish_reason":"stop"}],"token_ids":[2],"weight_version":1,"position":1}\n\n',
      );
    },
  );
  const stream = clientWith(20).generate(worker, request, new AbortController().signal);
  expect((await collect(stream)).map((chunk) => chunk.text)).toEqual(['a', 'b']);
  expect(probes >= 4).toEqual(true);
  await close(server);
});
