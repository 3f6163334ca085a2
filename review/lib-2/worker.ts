import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import type { StandInStore } from './platform.ts';
import { HOST, listenOn, sleepMs } from './servers.ts';

/** A request as a worker got it. */
export interface Arrival {
  readonly worker: string;
  readonly id: string;
  readonly atMs: number;
  readonly path: string;
  readonly body: Buffer;
  readonly lastEventId: number;
  readonly headers: http.IncomingHttpHeaders;
}

/** An order as a worker got it. */
export interface Order {
  readonly worker: string;
  readonly atMs: number;
  readonly holder: string;
  readonly token: number;
  readonly status: number;
}

export interface WorkerOptions {
  readonly id: string;
  readonly service: string;
  readonly store: StandInStore;
  readonly slots?: number;
  readonly model?: string;
  readonly fencingRequired?: boolean;
  /** Time of one event of a stream, in ms. */
  readonly eventMs?: number;
  readonly answerMs?: number;
  /** Status with which a plain service fails a request that it ran; undefined if it does not fail it. @default none fails */
  readonly failureOf?: (arrival: Arrival) => number | undefined;
  readonly onArrival: (arrival: Arrival) => void;
  readonly onOrder: (order: Order) => void;
}

const readBody = async (request: IncomingMessage): Promise<Buffer> => {
  const chunks: Buffer[] = [];
  for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
  return Buffer.concat(chunks);
};

const HEARTBEAT_MS = 1200;

const LOAD_MS = 900;

/** Stand-in for a worker, as the platform's pages describe one: a plain service, or an engine with one model. */
export class StandInWorker {
  readonly id: string;

  readonly stamps = new Map<string, string>();

  version = 1;

  /** How many times as long work takes. */
  slowness = 1;

  /** Runs in progress. */
  running = 0;

  readonly #options: WorkerOptions;

  readonly #server: http.Server;

  readonly #startedAtMs = Date.now();

  #port = 0;

  #heartbeats = 0;

  #orders = 0;

  #token = 0;

  #busy = false;

  #state: 'ready' | 'draining' = 'ready';

  #timer: NodeJS.Timeout | undefined;

  constructor(options: WorkerOptions) {
    this.#options = options;
    this.id = options.id;
    this.#server = http.createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 30_000;
  }

  async start(): Promise<void> {
    this.#port = await listenOn(this.#server);
    this.#register();
    // A liveness report in which only `sequence` differs does not change the entry.
    this.#timer = setInterval(() => {
      this.#heartbeats += 1;
    }, HEARTBEAT_MS);
  }

  /** Reports that it is about to leave; it goes on serving. */
  drain(): void {
    this.#state = 'draining';
    this.#register();
  }

  /** Leaves: its entry is removed and its process ends. */
  leave(): void {
    this.#options.store.remove('servers', this.id);
    this.stop();
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#server.closeAllConnections();
    this.#server.close();
  }

  #register(): void {
    const { store, service, slots = 8, model } = this.#options;
    this.#heartbeats += 1;
    store.put('servers', this.id, {
      ...{ service, address: `${HOST}:${this.#port}`, zone: 'z', version: 'v1', slots },
      ...{ state: this.#state, 'cold-remaining-ms': 0, sequence: this.#heartbeats },
      born: this.#startedAtMs,
      ...(model === undefined
        ? {}
        : { stage: 'combined', models: [{ name: model, version: this.version, adapters: [] }] }),
    });
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(request);
    const { headers, url = '/' } = request;
    const expected = headers['x-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { 'x-not-executed': '1' }).end();
      return;
    }
    if (url === '/report') this.#report(response);
    else if (url === '/order') this.#order(JSON.parse(body.toString()), response);
    else await this.#run(url, headers, body, response);
  }

  #report(response: ServerResponse): void {
    const { model } = this.#options;
    const models = [{ name: model, version: this.version, adapters: [] }];
    const counts = { busy: this.#busy, sequence: this.#orders, waiting: 0, running: this.running };
    response.end(JSON.stringify({ ...counts, stage: 'combined', models, born: this.#startedAtMs }));
  }

  #order(order: Record<string, unknown>, response: ServerResponse): void {
    const token = Number(order['fencing-token']);
    const status = this.#accept(order, token);
    const holder = String(order.holder);
    this.#options.onOrder({ worker: this.id, atMs: Date.now(), holder, token, status });
    response.writeHead(status).end();
  }

  #accept(order: Record<string, unknown>, token: number): number {
    const { fencingRequired = true, store, model } = this.#options;
    if (fencingRequired && token < this.#token) return 412;
    this.#token = Math.max(this.#token, token);
    const version = Number(order.version);
    if (version <= this.version) return 200;
    const named = store.find('versions', model ?? '')?.spec as { version?: number } | undefined;
    if (version > (named?.version ?? 1)) return 400;
    if (this.#busy || (order.precondition ?? this.#orders) !== this.#orders) return 409;
    this.#orders += 1;
    this.#busy = true;
    setTimeout(() => {
      this.#busy = false;
      this.version = version;
      this.#register();
    }, LOAD_MS);
    return 202;
  }

  async #run(
    url: string,
    headers: http.IncomingHttpHeaders,
    body: Buffer,
    response: ServerResponse,
  ): Promise<void> {
    const { slots = 8, model, answerMs = 15 } = this.#options;
    const id = String(headers['x-request-id'] ?? '');
    response.setHeader('x-request-id', id);
    response.setHeader('x-instance-load', `${this.running},0,${slots}`);
    if (this.#busy || this.running >= 4 * slots) {
      response.writeHead(503, { 'x-not-executed': '1' }).end();
      return;
    }
    const lastEventId = Number(headers['last-event-id'] ?? 0);
    const arrival = {
      worker: this.id,
      id,
      atMs: Date.now(),
      path: url,
      body,
      lastEventId,
      headers,
    };
    this.#options.onArrival(arrival);
    const stamp = `${this.id}.${id}.${arrival.atMs}`;
    this.stamps.set(id, stamp);
    response.setHeader('x-server-stamp', stamp);
    this.running += 1;
    try {
      if (model !== undefined) await this.#stream(id, headers, lastEventId, response);
      else {
        await sleepMs(answerMs);
        const failure = this.#options.failureOf?.(arrival);
        if (failure !== undefined) response.writeHead(failure).end('the work failed');
        else response.writeHead(200, { 'content-type': 'text/plain' }).end(`answer to ${id}`);
      }
    } finally {
      this.running -= 1;
    }
  }

  /** Streams the events of an item; their number is the maximum that the item names. */
  async #stream(
    id: string,
    headers: http.IncomingHttpHeaders,
    lastEventId: number,
    response: ServerResponse,
  ): Promise<void> {
    const total = Number(String(headers['x-token-counts']).split(',')[1]);
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'x-weight-versions': String(this.version),
    });
    for (let event = lastEventId + 1; event <= total && !response.destroyed; event += 1) {
      await sleepMs((this.#options.eventMs ?? 20) * this.slowness);
      response.write(`id: ${event}\ndata: ${id}-${event}\n\n`);
    }
    response.end();
  }
}
