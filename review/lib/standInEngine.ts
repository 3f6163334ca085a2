/**
 * A stand-in for one server of a service, as its own process: a model worker (`/items/…`) and a plain service in one.
 * Prints its port, then one JSON line for each event that a rule is judged by. Settings come as JSON in the first
 * argument.
 */
import http from 'node:http';
import type { AddressInfo } from 'node:net';

export interface EngineSettings {
  readonly id: string;
  /** Requests that run at once. */
  readonly slots: number;
  /** Requests that wait for a slot; further ones are refused. */
  readonly queue: number;
  /** Time from the head of a stream to its first event, in ms. */
  readonly firstEventMs: number;
  /** Time between two events of a stream, in ms. */
  readonly eventGapMs: number;
  /** Streams without a length, which end with their channel. */
  readonly unframed: boolean;
  /** Duration of a plain request, in ms. */
  readonly plainMs: number;
}

interface Order {
  readonly version: number;
  readonly mode: 'wait' | 'cut' | 'keep';
  readonly holder?: string;
  readonly 'fencing-token'?: number;
  readonly precondition?: number;
}

/** Duration of a change of the weights, in ms. */
const LOAD_MS = 900;

const settings = JSON.parse(process.argv[2] ?? '{}') as EngineSettings;

let running = 0;

const waiting: (() => void)[] = [];

let version = 1;

/** Whether an order is in progress. */
let busy = false;

/** Number of orders accepted. */
let sequence = 0;

let highestFence = 0;

/** How many times as long plain requests take. */
let slowdown = 1;

const say = (event: string, fields: object = {}): void => {
  process.stdout.write(`${JSON.stringify({ atMs: Date.now(), event, ...fields })}\n`);
};

const sleepMs = (delayMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });

const releaseSlot = (): void => {
  running -= 1;
  waiting.shift()?.();
};

/** Waits for a slot. Returns false if the caller has left meanwhile. */
const takeSlot = async (response: http.ServerResponse): Promise<boolean> => {
  if (running >= settings.slots) {
    await new Promise<void>((resolve) => {
      waiting.push(resolve);
      response.once('close', () => {
        const index = waiting.indexOf(resolve);
        if (index >= 0) waiting.splice(index, 1);
        resolve();
      });
    });
    if (response.destroyed) {
      if (running < settings.slots) waiting.shift()?.();
      return false;
    }
  }
  running += 1;
  return true;
};

const readBody = async (request: http.IncomingMessage): Promise<string> => {
  const chunks: Buffer[] = [];
  for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
};

const load = async (order: Order): Promise<void> => {
  while (order.mode === 'wait' && running > 0) await sleepMs(10);
  await sleepMs(LOAD_MS);
  version = order.version;
  busy = false;
  say('version', { id: String(version) });
};

/** Returns the status of the answer to an order. */
const acceptOrder = (order: Order): number => {
  const { holder, 'fencing-token': fence, precondition } = order;
  if (holder === undefined || fence === undefined) return 400;
  if (fence < highestFence) return 412;
  highestFence = fence;
  if (busy || (precondition !== undefined && precondition !== sequence)) return 409;
  if (order.version === version) return 200;
  busy = true;
  sequence += 1;
  say('order', { id: `version ${order.version} (${order.mode}) from ${holder}` });
  void load(order);
  return 202;
};

const sendReport = (response: http.ServerResponse): void => {
  const models = [{ name: 'model', version, adapters: [] }];
  const report = { stage: 'combined', models, busy, sequence, born: 1, running, handles: 0 };
  response.setHeader('content-type', 'application/json');
  response.end(JSON.stringify({ ...report, waiting: waiting.length }));
};

const runItem = async (
  request: http.IncomingMessage,
  response: http.ServerResponse,
  id: string,
  events: number,
): Promise<void> => {
  const after = Number(request.headers['last-event-id'] ?? 0);
  say('run', { id, after });
  response.setHeader('content-type', 'text/event-stream');
  response.setHeader('x-weight-versions', String(version));
  if (settings.unframed) {
    response.removeHeader('transfer-encoding');
    response.setHeader('connection', 'close');
  }
  response.writeHead(200);
  response.flushHeaders();
  say('head', { id, after });
  await sleepMs(settings.firstEventMs);
  for (let number = after + 1; number <= events; number += 1) {
    if (response.destroyed) break;
    response.write(`id: ${number}\ndata: ${id}.${number}\n\n`);
    await sleepMs(settings.eventGapMs);
  }
  if (response.destroyed) {
    say('dropped', { id });
    return;
  }
  response.end();
  say('finished', { id, after });
};

/** Runs a plain request. One whose time budget ends before it is complete is answered with 504 then. */
const runPlain = async (
  response: http.ServerResponse,
  id: string,
  leftMs: number,
): Promise<void> => {
  say('run', { id });
  const workMs = settings.plainMs * slowdown;
  await sleepMs(Math.max(0, Math.min(workMs, leftMs)));
  if (response.destroyed) {
    say('dropped', { id });
    return;
  }
  const statusCode = workMs > leftMs ? 504 : 200;
  response.writeHead(statusCode);
  response.end(`answer of ${id}`);
  say(`answered ${statusCode}`, { id });
};

const serve = async (
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> => {
  const arrivedMs = performance.now();
  const body = await readBody(request);
  if (request.url === '/slowdown') {
    slowdown = Number(body);
    response.end();
    return;
  }
  if (request.url === '/report') {
    sendReport(response);
    return;
  }
  if (request.url === '/order') {
    response.writeHead(acceptOrder(JSON.parse(body) as Order)).end();
    return;
  }
  const id = String(request.headers['x-request-id'] ?? '');
  if (id === '') {
    response.writeHead(400, { 'x-not-executed': '1' }).end();
    return;
  }
  response.setHeader('x-request-id', id);
  const expected = request.headers['x-expect-instance'];
  if (expected !== undefined && expected !== settings.id) {
    response.writeHead(421, { 'x-not-executed': '1' }).end();
    return;
  }
  say('reached', { id });
  const isItem = request.url?.startsWith('/items/') ?? false;
  const isFull = running >= settings.slots && waiting.length >= settings.queue;
  if ((isItem && busy) || isFull) {
    response.writeHead(503, { 'x-not-executed': '1' }).end();
    return;
  }
  if (!(await takeSlot(response))) return;
  response.setHeader('x-server-stamp', `mac.${settings.id}.${id}`);
  response.setHeader('x-instance-load', `${running},${waiting.length},${settings.slots}`);
  try {
    if (isItem) {
      await runItem(request, response, id, (JSON.parse(body) as { events: number }).events);
    } else {
      const budgetMs = Number(request.headers['x-deadline-ms'] ?? Infinity);
      await runPlain(response, id, arrivedMs + budgetMs - performance.now());
    }
  } finally {
    releaseSlot();
  }
};

const server = http.createServer((request, response) => {
  serve(request, response).catch(() => response.destroy());
});
server.listen(0, '127.0.0.1', () => {
  process.stdout.write(`${(server.address() as AddressInfo).port}\n`);
});
