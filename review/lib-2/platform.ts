import http, { type ServerResponse } from 'node:http';
import { listenOn } from './servers.ts';

/** An object of the store, as the platform's pages describe it. */
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
}

interface Watch {
  readonly kind: string;
  readonly since: number;
  readonly finish: () => void;
}

/** A write as the store gets it. */
export interface StoreWrite {
  readonly method: string;
  readonly kind: string;
  readonly name: string;
  readonly spec: unknown;
}

/** What happens to a call: it is served, turned away with 503, never answered, or executed without an answer. */
export type StoreVerdict = 'serve' | 'busy' | 'silent' | 'unanswered';

const PAGE_SIZE = 500;

const send = (response: ServerResponse, statusCode: number, body: unknown): void => {
  response.writeHead(statusCode, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
};

/** Stand-in for the platform's metadata store: objects, revisions, conditional writes, lists and watches. */
export class StandInStore {
  /** Decides about the calls of one node, by its own port of the store. @default each call is served */
  verdict: ((port: number, write: StoreWrite | undefined) => StoreVerdict) | undefined;

  /** Revision of the latest change. */
  revision: number;

  readonly #kinds = new Map<string, Map<string, StoredObject>>();

  readonly #history: Change[] = [];

  readonly #watches = new Set<Watch>();

  readonly #servers: http.Server[] = [];

  /** @param firstRevision - where the single revision counter starts; above 0 */
  constructor(firstRevision = 1) {
    this.revision = firstRevision;
  }

  /** Opens an address of the store. Each node gets one of its own, so that the store can turn single nodes away. */
  async open(): Promise<number> {
    const server = http.createServer((request, response) => {
      const { port } = server.address() as { port: number };
      this.#handle(port, request, response).catch(() => response.destroy());
    });
    server.keepAliveTimeout = 75_000;
    this.#servers.push(server);
    return listenOn(server);
  }

  close(): void {
    for (const server of this.#servers) {
      server.closeAllConnections();
      server.close();
    }
  }

  find(kind: string, name: string): StoredObject | undefined {
    return this.#kinds.get(kind)?.get(name);
  }

  /** Writes an object as the operator, a worker or a trainer does. */
  put(kind: string, name: string, spec: unknown): void {
    this.#store(kind, name, { spec, status: this.find(kind, name)?.status ?? null });
  }

  remove(kind: string, name: string): void {
    const existing = this.find(kind, name);
    if (existing !== undefined) this.#drop(kind, existing);
  }

  async #handle(
    port: number,
    request: http.IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
    const text = Buffer.concat(chunks).toString();
    const body = (text === '' ? {} : JSON.parse(text)) as Partial<StoredObject>;
    const url = new URL(request.url ?? '/', 'http://store');
    const [, , kind = '', name = '', part = ''] = url.pathname
      .split('/')
      .map((segment) => decodeURIComponent(segment));
    const { method = 'GET' } = request;
    const isRead = method === 'GET';
    const objectName = method === 'POST' ? (body.metadata?.name ?? '') : name;
    const write = isRead ? undefined : { method, kind, name: objectName, spec: body.spec };
    const verdict = this.verdict?.(port, write) ?? 'serve';
    if (verdict === 'silent') return;
    if (verdict === 'busy') send(response, 503, {});
    else if (isRead) this.#read(kind, name, url.searchParams, response);
    else {
      const expected =
        body.metadata?.revision ?? (Number(url.searchParams.get('revision')) || undefined);
      const [statusCode, object] = this.#change(method, kind, objectName, part, expected, body);
      if (verdict !== 'unanswered') send(response, statusCode, object ?? {});
    }
  }

  #read(kind: string, name: string, query: URLSearchParams, response: ServerResponse): void {
    if (name !== '') {
      const object = this.find(kind, name);
      send(response, object === undefined ? 404 : 200, object ?? {});
      return;
    }
    const since = query.get('watch');
    if (since !== null) {
      this.#watch(kind, Number(since), Number(query.get('wait-ms') ?? 0), response);
      return;
    }
    const after = query.get('after') ?? '';
    const matching = [...(this.#kinds.get(kind)?.values() ?? [])]
      .filter(({ metadata }) => metadata.name > after)
      .sort((left, right) => (left.metadata.name < right.metadata.name ? -1 : 1));
    send(response, 200, {
      items: matching.slice(0, PAGE_SIZE),
      truncated: matching.length > PAGE_SIZE,
      'as-of': this.revision,
    });
  }

  #watch(kind: string, since: number, waitMs: number, response: ServerResponse): void {
    const eventsOf = () =>
      this.#history
        .filter((change) => change.kind === kind && change.revision > since)
        .map(({ removed, object }) => ({ removed, object }));
    const watch: Watch = {
      kind,
      since,
      finish: () => {
        this.#watches.delete(watch);
        send(response, 200, { events: eventsOf(), 'as-of': this.revision });
      },
    };
    if (eventsOf().length > 0) {
      watch.finish();
      return;
    }
    this.#watches.add(watch);
    const timer = setTimeout(watch.finish, waitMs);
    response.once('close', () => {
      clearTimeout(timer);
      this.#watches.delete(watch);
    });
  }

  #change(
    method: string,
    kind: string,
    name: string,
    part: string,
    expected: number | undefined,
    body: Partial<StoredObject>,
  ): [statusCode: number, object: StoredObject | undefined] {
    const existing = this.find(kind, name);
    if (method === 'POST' && existing !== undefined) return [409, existing];
    if (method !== 'POST' && existing === undefined) return [404, undefined];
    if (existing !== undefined && expected !== undefined) {
      if (expected !== existing.metadata.revision) return [409, existing];
    }
    if (method === 'DELETE' && existing !== undefined) return [200, this.#drop(kind, existing)];
    const parts =
      part === 'status'
        ? { spec: existing?.spec, status: body.status }
        : { spec: body.spec, status: existing?.status ?? null };
    return [200, this.#store(kind, name, parts)];
  }

  #store(kind: string, name: string, parts: Pick<StoredObject, 'spec' | 'status'>): StoredObject {
    const existing = this.find(kind, name);
    if (existing !== undefined) {
      const isSame =
        JSON.stringify([existing.spec, existing.status]) ===
        JSON.stringify([parts.spec, parts.status]);
      if (isSame) return existing;
    }
    this.revision += 1;
    const { revision } = this;
    const object = {
      metadata: {
        ...{ name, revision, 'create-rev': existing?.metadata['create-rev'] ?? revision },
        ...{ finalizers: [], deleting: false },
      },
      ...parts,
    };
    const objects = this.#kinds.get(kind) ?? new Map<string, StoredObject>();
    this.#kinds.set(kind, objects);
    objects.set(name, object);
    this.#record({ kind, revision, removed: false, object });
    return object;
  }

  #drop(kind: string, existing: StoredObject): StoredObject {
    this.revision += 1;
    const { revision } = this;
    this.#kinds.get(kind)?.delete(existing.metadata.name);
    const object = { ...existing, metadata: { ...existing.metadata, revision } };
    this.#record({ kind, revision, removed: true, object });
    return object;
  }

  #record(change: Change): void {
    this.#history.push(change);
    for (const watch of [...this.#watches]) if (watch.kind === change.kind) watch.finish();
  }
}
