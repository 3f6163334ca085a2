import http from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { listen, readBody } from './servers.ts';

interface StoredObject {
  readonly metadata: {
    readonly name: string;
    readonly revision: number;
    readonly 'create-rev': number;
    readonly finalizers: readonly string[];
    readonly deleting: boolean;
  };
  readonly spec: unknown;
  readonly status: unknown;
}

interface Change {
  readonly kind: string;
  readonly revision: number;
  readonly removed: boolean;
  readonly object: StoredObject;
  readonly atMs: number;
}

/** A call of a node, as the platform sees it. */
export interface PlatformCall {
  readonly method: string;
  readonly kind: string;
  readonly name: string;
  readonly isWatch: boolean;
}

type Body = Partial<Pick<StoredObject, 'spec' | 'status'>> & {
  readonly metadata?: { readonly name?: string; readonly revision?: number };
};

/** The platform's store of the sites: 4 ms an answer, 400 writing and 2,000 reading calls a second, 20 s of history. */
const ANSWER_MS = 4;
const WRITES_PER_S = 400;
const READS_PER_S = 2000;
const HISTORY_MS = 20_000;

const MAX_VALUE_BYTES = 1_048_576;
const PAGE_ITEMS = 500;
const PAGE_BYTES = 1_000_000;

/** Stand-in for the platform's store, as PROTOCOL.md describes it. */
export class PlatformStandIn {
  /** Called for each call before it is carried out. */
  onCall: ((call: PlatformCall) => void) | undefined;

  readonly #kinds = new Map<string, Map<string, StoredObject>>();

  /** JSON of objects, as large ones are sent several times. */
  readonly #texts = new WeakMap<StoredObject, string>();

  #history: Change[] = [];

  readonly #watches = new Set<() => void>();

  /** Times of the calls of the last second. */
  readonly #calls: Record<'read' | 'write', number[]> = { read: [], write: [] };

  readonly #server = http.createServer((request, response) => {
    this.#handle(request, response).catch(() => response.destroy());
  });

  #revision = 100;

  listen(host: string): Promise<string> {
    this.#server.keepAliveTimeout = 75_000;
    return listen(this.#server, host);
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes an object as its owner does: the operator, a trainer or a worker. */
  put(kind: string, name: string, spec: unknown): void {
    this.#store(kind, name, spec, this.#objects(kind).get(name)?.status ?? null);
  }

  /** Removes an object as its owner does. */
  remove(kind: string, name: string): void {
    const object = this.#objects(kind).get(name);
    if (object === undefined) return;
    this.#objects(kind).delete(name);
    this.#revision += 1;
    const metadata = { ...object.metadata, revision: this.#revision };
    this.#record(kind, { ...object, metadata }, true);
  }

  /** What an object's owner has written. */
  specOf(kind: string, name: string): unknown {
    return this.#objects(kind).get(name)?.spec;
  }

  /** The value of an object of the system itself. */
  valueOf(kind: string, name: string): Record<string, unknown> | undefined {
    const spec = this.#objects(kind).get(name)?.spec as
      { readonly value?: Record<string, unknown> } | undefined;
    return spec?.value;
  }

  #objects(kind: string): Map<string, StoredObject> {
    const objects = this.#kinds.get(kind) ?? new Map<string, StoredObject>();
    this.#kinds.set(kind, objects);
    return objects;
  }

  #store(kind: string, name: string, spec: unknown, status: unknown): StoredObject {
    const known = this.#objects(kind).get(name);
    const isSame =
      known !== undefined &&
      JSON.stringify([known.spec, known.status]) === JSON.stringify([spec, status]);
    if (isSame) return known;
    this.#revision += 1;
    const createRevision = known?.metadata['create-rev'] ?? this.#revision;
    const object: StoredObject = {
      metadata: {
        ...{ name, revision: this.#revision, 'create-rev': createRevision },
        ...{ finalizers: [], deleting: false },
      },
      ...{ spec, status },
    };
    this.#objects(kind).set(name, object);
    this.#record(kind, object, false);
    return object;
  }

  #record(kind: string, object: StoredObject, removed: boolean): void {
    const atMs = performance.now();
    const { revision } = object.metadata;
    this.#history = this.#history.filter((change) => atMs - change.atMs < HISTORY_MS);
    this.#history.push({ kind, revision, removed, object, atMs });
    for (const wake of this.#watches) wake();
  }

  #textOf(object: StoredObject): string {
    const text = this.#texts.get(object) ?? JSON.stringify(object);
    this.#texts.set(object, text);
    return text;
  }

  /** Whether a call exceeds the rate of all nodes together. */
  #isOverRate(operation: 'read' | 'write'): boolean {
    const calls = this.#calls[operation];
    const nowMs = performance.now();
    while (calls[0] !== undefined && nowMs - calls[0] > 1000) calls.shift();
    if (calls.length >= (operation === 'read' ? READS_PER_S : WRITES_PER_S)) return true;
    calls.push(nowMs);
    return false;
  }

  async #handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const body = await readBody(request);
    const { pathname, searchParams } = new URL(request.url ?? '/', 'http://platform');
    const [, root, kind = '', name = '', part = ''] = pathname.split('/').map(decodeURIComponent);
    const { method = 'GET' } = request;
    const watch = searchParams.get('watch');
    this.onCall?.({ method, kind, name, isWatch: watch !== null });
    const send = (statusCode: number, json: string) => {
      response.writeHead(statusCode, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(json),
      });
      response.end(json);
    };
    await sleep(ANSWER_MS);
    const isStale = searchParams.get('stale-ok') === '1';
    if (root !== 'objects') send(404, '{}');
    else if (!isStale && this.#isOverRate(method === 'GET' ? 'read' : 'write')) send(429, '{}');
    else if (method !== 'GET') this.#change(method, { kind, name, part }, body, searchParams, send);
    else if (watch !== null) {
      const waitMs = Number(searchParams.get('wait-ms') ?? 0);
      await this.#watch(kind, Number(watch), waitMs, response, send);
    } else if (name === '') this.#list(kind, searchParams.get('after') ?? '', send);
    else {
      const object = this.#objects(kind).get(name);
      send(object === undefined ? 404 : 200, object === undefined ? '{}' : this.#textOf(object));
    }
  }

  #list(kind: string, after: string, send: (statusCode: number, json: string) => void): void {
    const rest = [...this.#objects(kind).values()]
      .filter(({ metadata }) => metadata.name > after)
      .sort((left, right) => (left.metadata.name < right.metadata.name ? -1 : 1));
    const page: string[] = [];
    let bytes = 0;
    for (const object of rest) {
      const json = this.#textOf(object);
      bytes += json.length;
      if (page.length >= PAGE_ITEMS || (page.length > 0 && bytes > PAGE_BYTES)) break;
      page.push(json);
    }
    const truncated = page.length < rest.length;
    send(200, `{"items":[${page.join(',')}],"truncated":${truncated},"as-of":${this.#revision}}`);
  }

  async #watch(
    kind: string,
    since: number,
    waitMs: number,
    response: http.ServerResponse,
    send: (statusCode: number, json: string) => void,
  ): Promise<void> {
    const oldest = this.#history[0]?.revision ?? this.#revision + 1;
    if (since + 1 < oldest && since < this.#revision && oldest > 101) {
      send(410, '{}');
      return;
    }
    const changes = () =>
      this.#history.filter((change) => change.kind === kind && change.revision > since);
    const deadlineMs = performance.now() + waitMs;
    while (changes().length === 0 && performance.now() < deadlineMs && !response.destroyed) {
      await new Promise<void>((resolve) => {
        const timer = setTimeout(resolve, Math.max(0, deadlineMs - performance.now()));
        const wake = () => {
          clearTimeout(timer);
          this.#watches.delete(wake);
          response.off('close', wake);
          resolve();
        };
        this.#watches.add(wake);
        response.once('close', wake);
      });
    }
    const events = changes().map(
      ({ removed, object }) => `{"removed":${removed},"object":${this.#textOf(object)}}`,
    );
    send(200, `{"events":[${events.join(',')}],"as-of":${this.#revision}}`);
  }

  #change(
    method: string,
    { kind, name, part }: Readonly<Record<'kind' | 'name' | 'part', string>>,
    bytes: Buffer,
    query: URLSearchParams,
    send: (statusCode: number, json: string) => void,
  ): void {
    if (bytes.length > MAX_VALUE_BYTES) {
      send(413, '{}');
      return;
    }
    const body = (bytes.length > 0 ? JSON.parse(bytes.toString()) : {}) as Body;
    const objectName = method === 'POST' ? (body.metadata?.name ?? '') : name;
    const known = this.#objects(kind).get(objectName);
    const revision = query.get('revision') ?? body.metadata?.revision;
    const isOther = revision !== undefined && Number(revision) !== known?.metadata.revision;
    if (method !== 'POST' && known === undefined) send(404, '{}');
    else if (known !== undefined && (method === 'POST' || isOther)) send(409, this.#textOf(known));
    else if (method === 'DELETE') {
      this.remove(kind, objectName);
      send(200, '{}');
    } else {
      const stored =
        part === 'status'
          ? this.#store(kind, objectName, known?.spec, body.status)
          : this.#store(kind, objectName, body.spec, known?.status ?? null);
      send(200, this.#textOf(stored));
    }
  }
}
