import http from 'node:http';
import { test } from 'node:test';
import { expect } from 'earl';
import { startEngine } from '../../../../playground/standIns/engine.ts';
import type { ResumptionFactory } from '../generationHandler.ts';
import { TestResources, tablesOf } from './dataPathHarness.ts';

interface Chunk {
  token_ids?: number[];
  position: number;
  choices: { text: string; finish_reason: string | null }[];
  error?: { code: string };
}

const startEngines = async (resources: TestResources, count: number) => {
  const started = await Promise.all(Array.from({ length: count }, () => startEngine()));
  for (const { server } of started) resources.addServer(server);
  return started;
};

const post = (base: string, body: unknown) =>
  fetch(`${base}/v1/completions`, { method: 'POST', body: JSON.stringify(body) });

const readEvents = (text: string): Chunk[] =>
  text
    .split('\n')
    .filter((line) => line.startsWith('data: {'))
    .map((line) => JSON.parse(line.slice(6)) as Chunk);

/** Reads a response that may break off. `complete`: whether it ended as HTTP requires. */
const readToEnd = async (response: Response): Promise<{ text: string; complete: boolean }> => {
  const decoder = new TextDecoder();
  let text = '';
  try {
    for await (const chunk of response.body as unknown as AsyncIterable<Uint8Array>) {
      text += decoder.decode(chunk, { stream: true });
    }
    return { text, complete: true };
  } catch {
    return { text, complete: false };
  }
};

const tokensOf = (events: readonly Chunk[]) => events.flatMap((event) => event.token_ids ?? []);

const request = { prompt: 'smell of gas', max_tokens: 24, stream: true };

const addressesOf = (started: readonly { address: string }[]) =>
  started.map(({ address }) => address);

/** Tokens that an engine without faults generates for the request. */
const expectedTokens = async (resources: TestResources): Promise<number[]> => {
  const [engine] = await startEngines(resources, 1);
  const { base } = await resources.startDataPath(tablesOf('model-engine', [engine?.address ?? '']));
  return tokensOf(readEvents(await (await post(base, request)).text()));
};

/** Starts a proxy that removes the `resume` field from requests to an engine. Returns its address. */
const startProxy = (resources: TestResources, address: string): Promise<string> =>
  resources.startWorker(async (incoming, response) => {
    const chunks: Buffer[] = [];
    for await (const chunk of incoming as AsyncIterable<Buffer>) chunks.push(chunk);
    const outgoing = http.request(
      `http://${address}${incoming.url}`,
      { method: incoming.method },
      (engineResponse) => {
        response.writeHead(engineResponse.statusCode ?? 500);
        engineResponse.pipe(response);
      },
    );
    const body = Buffer.concat(chunks).toString();
    if (body === '') outgoing.end();
    else outgoing.end(JSON.stringify({ ...(JSON.parse(body) as object), resume: undefined }));
  });

/**
 * Streams a generation through three engines that crash after 5 tokens of each stream. With `ignoreResume`, only the
 * first one crashes, after 15 tokens, and the others ignore `resume`.
 */
const streamThroughCrashes = async (
  resources: TestResources,
  {
    ignoreResume = false,
    createResumption,
  }: { ignoreResume?: boolean; createResumption?: ResumptionFactory },
) => {
  const started = await startEngines(resources, 3);
  for (const { faults } of started) faults.crashAfterTokens = ignoreResume ? 15 : 5;
  let addresses = addressesOf(started);
  if (ignoreResume) {
    // The second and third engine start again at position 0, like an engine that does not support `resume`.
    addresses = await Promise.all(
      addresses.map((address, index) => (index === 0 ? address : startProxy(resources, address))),
    );
    for (const { faults } of started.slice(1)) delete faults.crashAfterTokens;
  }
  const { base, metrics } = await resources.startDataPath(
    tablesOf('model-engine', addresses, { route: ', retryBudgetFraction: 1' }),
    { createResumption, selectWorker: (candidates) => candidates[0] },
  );
  const text = await (await post(base, request)).text();
  return { text, events: readEvents(text), metrics };
};

// Guards against lost or duplicated tokens when engines crash in the middle of a stream.
test('a stream through engine crashes has each token once', { timeout: 20_000 }, async () => {
  await using resources = new TestResources();
  const expected = await expectedTokens(resources);
  const { events, text, metrics } = await streamThroughCrashes(resources, {});
  expect(tokensOf(events)).toEqual(expected);
  expect(events.map((event) => event.position)).toEqual(expected.map((_, index) => index));
  expect(events.at(-1)?.choices[0]?.finish_reason).toEqual('length');
  expect(text.endsWith('data: [DONE]\n\n')).toEqual(true);
  const attempts = await metrics.attempts.get();
  expect(attempts.values.map(({ labels, value }) => [labels.kind, value])).toEqual([
    ['first', 1],
    ['resume', 4],
  ]);
});

// Guards against duplicated tokens from an engine that starts again at position 0. Without the check of positions they
// reach the caller, which shows that this test detects them.
test('an engine that ignores `resume` duplicates no token', { timeout: 20_000 }, async () => {
  await using resources = new TestResources();
  const expected = await expectedTokens(resources);
  const checked = await streamThroughCrashes(resources, { ignoreResume: true });
  expect(tokensOf(checked.events)).toEqual(expected);
  const acceptEverything: ResumptionFactory = () => {
    const delivered: number[] = [];
    return {
      delivered,
      isComplete: false,
      accept: ({ tokenIds }) => delivered.push(...tokenIds) > 0,
    };
  };
  const unchecked = await streamThroughCrashes(resources, {
    ignoreResume: true,
    createResumption: acceptEverything,
  });
  expect(tokensOf(unchecked.events)).not.toEqual(expected);
});

// Guards against an interrupted stream that passes for a complete one.
test(
  'a stream that cannot be resumed is broken off after an error event',
  { timeout: 20_000 },
  async () => {
    await using resources = new TestResources();
    const started = await startEngines(resources, 2);
    for (const { faults } of started) faults.crashAfterTokens = 5;
    const { base } = await resources.startDataPath(
      tablesOf('model-engine', addressesOf(started), { route: ', retryBudgetFraction: 0' }),
    );
    const { text, complete } = await readToEnd(await post(base, request));
    const events = readEvents(text);
    expect(tokensOf(events).length).toEqual(5);
    expect(events.at(-1)?.error?.code).toEqual('worker-failed');
    expect(text.includes('[DONE]')).toEqual(false);
    expect(complete).toEqual(false);
  },
);

// Guards against a stream that contains the error text of the engine that was asked to resume it, or that ends as if it
// were complete.
test(
  'the error of an engine that cannot resume a stream stays out of it',
  { timeout: 20_000 },
  async () => {
    await using resources = new TestResources();
    const [crashing] = await startEngines(resources, 1);
    if (crashing) crashing.faults.crashAfterTokens = 5;
    const rejecting = await resources.startWorker((_incoming, response) => {
      response.statusCode = 400;
      response.end('HTTP/1.1 400 stack trace of the engine');
    });
    const { base } = await resources.startDataPath(
      tablesOf('model-engine', [crashing?.address ?? '', rejecting]),
      { selectWorker: (candidates) => candidates[0] },
    );
    const { text, complete } = await readToEnd(await post(base, request));
    expect(tokensOf(readEvents(text)).length).toEqual(5);
    expect(text.includes('stack trace')).toEqual(false);
    expect(complete).toEqual(false);
  },
);

// Guards against a buffered response that fails although another engine could finish the generation.
test('an unstreamed completion resumes after engine crashes', { timeout: 20_000 }, async () => {
  await using resources = new TestResources();
  const expected = await expectedTokens(resources);
  const started = await startEngines(resources, 2);
  for (const { faults } of started) faults.crashAfterTokens = 10;
  const { base } = await resources.startDataPath(tablesOf('model-engine', addressesOf(started)));
  const response = await post(base, { ...request, stream: false });
  const completion = (await response.json()) as Chunk & {
    token_versions: number[];
    usage: { completion_tokens: number };
  };
  expect(completion.token_ids).toEqual(expected);
  expect(completion.token_versions).toEqual(expected.map(() => 1));
  expect(completion.usage.completion_tokens).toEqual(24);
  expect(completion.choices[0]?.finish_reason).toEqual('length');
});

// Guards against a stalled engine that blocks a stream until the route's timeout.
test('a stalled stream resumes on another engine', { timeout: 20_000 }, async () => {
  await using resources = new TestResources();
  const expected = await expectedTokens(resources);
  const [healthyEngine] = await startEngines(resources, 1);
  let first = true;
  const stalledEngine = await resources.startWorker((incoming, response) => {
    if (incoming.url === '/v1/streams') response.end('{"streams":[]}');
    else if (incoming.url === '/v1/completions' && first) {
      first = false;
      const chunk = {
        choices: [{ text: ` t${expected[0]}` }],
        token_ids: [expected[0]],
        weight_version: 1,
        position: 0,
      };
      response.write(`data: ${JSON.stringify(chunk)}\n\n`);
    }
  });
  const { base } = await resources.startDataPath(
    tablesOf('model-engine', [stalledEngine, healthyEngine?.address ?? '']),
    {
      streamIdleMs: 50,
      selectWorker: (candidates) => candidates[0],
    },
  );
  const events = readEvents(await (await post(base, request)).text());
  expect(tokensOf(events)).toEqual(expected);
});

// Guards against generations that continue after their caller has disconnected.
test('a caller that disconnects cancels its generation', { timeout: 20_000 }, async () => {
  await using resources = new TestResources();
  const [engine] = await startEngines(resources, 1);
  if (engine) engine.faults.tokenIntervalMs = 5;
  const { base, dataPath } = await resources.startDataPath(
    tablesOf('model-engine', [engine?.address ?? '']),
  );
  const abort = new AbortController();
  const response = await fetch(`${base}/v1/completions`, {
    method: 'POST',
    body: JSON.stringify({ ...request, max_tokens: 500 }),
    signal: abort.signal,
  });
  await response.body?.getReader().read();
  abort.abort();
  const worker = { name: 'e', address: engine?.address ?? '', availabilityZone: '' };
  while ((await dataPath.engines.listStreams(worker)).length > 0);
  while (dataPath.admission.total > 0) await new Promise(setImmediate);
});

// Guards against a route timeout that leaves a stream open or ends it like a complete one.
test(
  'the route timeout breaks a stream off after an error event',
  { timeout: 20_000 },
  async () => {
    await using resources = new TestResources();
    const [engine] = await startEngines(resources, 1);
    if (engine) engine.faults.tokenIntervalMs = 5;
    const { base } = await resources.startDataPath(
      tablesOf('model-engine', [engine?.address ?? ''], { route: ', timeoutMs: 200' }),
    );
    const response = await post(base, { ...request, max_tokens: 500 });
    const { text, complete } = await readToEnd(response);
    expect(readEvents(text).at(-1)?.error?.code).toEqual('route-timeout');
    expect(complete).toEqual(false);
  },
);

// Guards against invalid input that reaches an engine.
test('invalid completion requests get status 400 and the outcome not-run', async () => {
  await using resources = new TestResources();
  const [engine] = await startEngines(resources, 1);
  const { base } = await resources.startDataPath(tablesOf('model-engine', [engine?.address ?? '']));
  for (const body of [[], {}, { prompt: 'x', max_tokens: -1 }, { prompt: 'x', stream: 'yes' }]) {
    const response = await post(base, body);
    expect(response.status).toEqual(400);
    expect(response.headers.get('x-hyssoppulley-outcome')).toEqual('not-run');
  }
});
