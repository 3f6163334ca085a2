import { randomUUID } from 'node:crypto';
import http from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import type { PlatformStandIn } from './platform.ts';
import { listen, readBody } from './servers.ts';

/** A run of an item at a worker. */
export interface Run {
  readonly item: string;
  readonly worker: string;
  readonly after: number;
  readonly startedMs: number;
  endedMs: number | undefined;
  isComplete: boolean;
}

export interface EngineOptions {
  readonly service: string;
  readonly zone: string;
  readonly models: readonly string[];
  readonly slots: number;
  /** Time for an event, in ms. */
  readonly eventMs: number;
}

/** An order to load a version, as far as this stand-in needs it. */
interface Order {
  readonly model: string;
  readonly version: number;
  readonly precondition?: number;
  readonly 'fencing-token'?: number;
}

/** `stride` of the sites: tokens of an event. */
export const TOKENS_PER_EVENT = 46;

/** Time that a change of version takes, in ms. */
const LOAD_MS = 900;

/** Silence after which the platform removes the entry of a worker that crashed: three liveness reports of 1.2 s. */
const ENTRY_MS = 3600;

/** Data of an event, by which a text is recognised. */
export const dataOf = (item: string, number: number): string => `${item}-${number}`;

/** Stand-in for a sound model worker. Its requests go on under a new version, and the others wait for the order's end. */
export class EngineStandIn {
  readonly id = `i-${randomUUID().slice(0, 8)}`;

  readonly #born = Date.now();

  readonly #options: EngineOptions;

  readonly #platform: PlatformStandIn;

  readonly #runs: Run[];

  readonly #versions: Map<string, number>;

  #address = '';

  #running = 0;

  /** Number of orders accepted. */
  #sequence = 0;

  #fence = 0;

  #loading: string | undefined;

  /** Number of liveness reports. */
  #beats = 0;

  readonly #server = http.createServer((request, response) => {
    this.#handle(request, response).catch(() => response.destroy());
  });

  /** @param runs - gets the runs of this worker */
  constructor(options: EngineOptions, platform: PlatformStandIn, runs: Run[]) {
    this.#options = options;
    this.#platform = platform;
    this.#runs = runs;
    this.#versions = new Map(options.models.map((model) => [model, 1]));
  }

  /** Number of requests at work. */
  get running(): number {
    return this.#running;
  }

  versionOf(model: string): number {
    return this.#versions.get(model) ?? 0;
  }

  async start(host: string): Promise<void> {
    this.#server.keepAliveTimeout = 30_000;
    this.#address = await listen(this.#server, host);
    this.#report();
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Ends the worker for good: its channels are reset, and its entry is removed when it has been silent for long enough. */
  async crash(): Promise<void> {
    this.close();
    await sleep(ENTRY_MS);
    this.#platform.remove('servers', this.id);
  }

  #models() {
    return [...this.#versions].map(([name, version]) => ({ name, version, adapters: [] }));
  }

  /** Writes the entry of this worker. */
  #report(): void {
    const { service, zone, slots } = this.#options;
    this.#beats += 1;
    this.#platform.put('servers', this.id, {
      ...{ service, address: this.#address, zone, version: 'v1', slots, state: 'ready' },
      ...{ 'cold-remaining-ms': 0, stage: 'combined', models: this.#models() },
      ...{ sequence: this.#beats, born: this.#born },
    });
  }

  async #handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const body = await readBody(request);
    const id = String(request.headers['x-request-id'] ?? '');
    const expected = request.headers['x-expect-instance'];
    const model = String(request.headers['x-model'] ?? '');
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { 'x-instance-id': this.id, 'x-not-executed': '1' }).end();
    } else if (request.url === '/report') {
      const busy = this.#loading !== undefined;
      const report = { stage: 'combined', models: this.#models(), busy, sequence: this.#sequence };
      response.end(JSON.stringify({ ...report, running: this.#running, born: this.#born }));
    } else if (request.url === '/order') {
      response.writeHead(this.#accept(JSON.parse(body.toString()) as Order)).end();
    } else if (this.#running >= this.#options.slots || this.#loading === model) {
      response.writeHead(503, { 'x-request-id': id, 'x-not-executed': '1' }).end();
    } else {
      const maxTokens = Number(String(request.headers['x-token-counts']).split(',')[1]);
      const events = Math.ceil(maxTokens / TOKENS_PER_EVENT);
      const after = Number(request.headers['last-event-id'] ?? 0);
      await this.#run({ item: id, model, after, events }, response);
    }
  }

  /** @returns the status of the answer */
  #accept({ model, version, precondition, 'fencing-token': fence }: Order): number {
    if (fence === undefined || !this.#versions.has(model)) return 400;
    if (fence < this.#fence) return 412;
    this.#fence = fence;
    const named = this.#platform.specOf('versions', model) as { readonly version?: number };
    if (version > (named?.version ?? 1)) return 400;
    if (this.versionOf(model) === version) return 200;
    const isOther = precondition !== undefined && precondition !== this.#sequence;
    if (this.#loading !== undefined || isOther) return 409;
    this.#sequence += 1;
    this.#loading = model;
    setTimeout(() => {
      this.#versions.set(model, version);
      this.#loading = undefined;
      this.#report();
    }, LOAD_MS);
    return 202;
  }

  async #run(
    {
      item,
      model,
      after,
      events,
    }: Readonly<Record<'item' | 'model', string>> & Readonly<Record<'after' | 'events', number>>,
    response: http.ServerResponse,
  ): Promise<void> {
    const { eventMs, slots } = this.#options;
    const startedMs = performance.now();
    const run: Run = {
      ...{ item, worker: this.id, after, startedMs, endedMs: undefined, isComplete: false },
    };
    this.#runs.push(run);
    this.#running += 1;
    try {
      let version = this.versionOf(model);
      response.writeHead(200, {
        ...{ 'content-type': 'text/event-stream', 'x-request-id': item },
        ...{ 'x-server-stamp': `${this.id}.${item}`, 'x-weight-versions': version },
        'x-instance-load': `${this.#running},0,${slots}`,
      });
      for (let number = after + 1; number <= events && !response.destroyed; number += 1) {
        await sleep(eventMs);
        const current = this.versionOf(model);
        const change = current === version ? '' : `x-weight-versions: ${current}\n`;
        version = current;
        response.write(`${change}id: ${number}\ndata: ${dataOf(item, number)}\n\n`);
      }
      run.isComplete = !response.destroyed;
      response.end();
    } finally {
      run.endedMs = performance.now();
      this.#running -= 1;
    }
  }
}
