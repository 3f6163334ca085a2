import type { ServerResponse } from 'node:http';
import { pathToFileURL } from 'node:url';
import {
  runStandInProcess,
  sendJson,
  standInRequestParts,
  startStandIn,
  type StandInHandler,
} from './standInServer.ts';

/** An object as the platform sends it. */
export interface StoredObject {
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

interface Waiting {
  readonly kind: string;
  readonly since: number;
  readonly response: ServerResponse;
  readonly timer: NodeJS.Timeout;
}

const MAX_VALUE_BYTES = 1_048_576;

/** Objects in one page of a list. */
const PAGE_SIZE = 500;

/** Changes that can be watched from; older ones are gone. */
const MAX_HISTORY = 10_000;

/**
 * Stand-in of the platform's object API by its published protocol: objects by kind and name, revisions, conditional
 * changes, pages, waiting watches with a bounded history. `GET /control/counts` counts the calls.
 * Further faults: `loseNextAnswers` (number of writes that take effect but are not answered), `maxCallsPerSecond`,
 * `outageAfterHeadWrites` (number of writes of `config/head` after which, unanswered, an outage begins),
 * `historyGone` (watches are answered 410).
 */
export const startPlatform = async (port = 0) => {
  const kinds = new Map<string, Map<string, StoredObject>>();
  const history: Change[] = [];
  const waiting = new Set<Waiting>();
  const counts: Record<string, number> = {};
  let revision = 1;
  let windowStartMs = 0;
  let callsInWindow = 0;

  const faults: Record<string, unknown> = {};
  const objectsOf = (kind: string) => {
    const known = kinds.get(kind) ?? new Map<string, StoredObject>();
    kinds.set(kind, known);
    return known;
  };
  const changesSince = (kind: string, since: number) =>
    history.filter((change) => change.kind === kind && change.revision > since);
  const answerWatch = ({ kind, since, response, timer }: Waiting) => {
    clearTimeout(timer);
    const events = changesSince(kind, since).map(({ removed, object }) => ({ removed, object }));
    sendJson(response, 200, { events, 'as-of': revision });
  };
  const record = (kind: string, object: StoredObject, removed: boolean) => {
    history.push({ kind, revision, removed, object });
    if (history.length > MAX_HISTORY) history.shift();
    for (const watch of waiting) {
      if (watch.kind !== kind) continue;
      waiting.delete(watch);
      answerWatch(watch);
    }
  };
  const store = (kind: string, name: string, parts: Pick<StoredObject, 'spec' | 'status'>) => {
    const known = objectsOf(kind).get(name);
    revision += 1;
    const object: StoredObject = {
      metadata: {
        name,
        revision,
        'create-rev': known?.metadata['create-rev'] ?? revision,
        finalizers: [],
        deleting: false,
      },
      ...parts,
    };
    objectsOf(kind).set(name, object);
    record(kind, object, false);
    return object;
  };
  const overRate = (): boolean => {
    const limit = faults.maxCallsPerSecond as number | undefined;
    if (limit === undefined) return false;
    const nowMs = Date.now();
    if (nowMs - windowStartMs >= 1000) {
      windowStartMs = nowMs;
      callsInWindow = 0;
    }
    callsInWindow += 1;
    return callsInWindow > limit;
  };

  const list = (kind: string, after: string, response: ServerResponse) => {
    const named = [...objectsOf(kind).values()]
      .filter(({ metadata }) => metadata.name > after)
      .sort((left, right) => (left.metadata.name < right.metadata.name ? -1 : 1));
    const items = named.slice(0, PAGE_SIZE);
    sendJson(response, 200, { items, truncated: named.length > PAGE_SIZE, 'as-of': revision });
  };
  const watch = (kind: string, since: number, waitMs: number, response: ServerResponse) => {
    if (faults.historyGone || (history[0]?.revision ?? 0) > since + 1) {
      sendJson(response, 410, {});
      return;
    }
    const entry: Waiting = {
      ...{ kind, since, response },
      timer: setTimeout(() => {
        waiting.delete(entry);
        answerWatch(entry);
      }, waitMs),
    };
    if (changesSince(kind, since).length > 0) answerWatch(entry);
    else waiting.add(entry);
    response.once('close', () => {
      clearTimeout(entry.timer);
      waiting.delete(entry);
    });
  };
  const change = (
    method: string,
    { kind, name, part }: ReturnType<typeof standInRequestParts>,
    expected: number | undefined,
    body: Partial<StoredObject>,
  ): { statusCode: number; object: StoredObject | undefined } => {
    const objectName = method === 'POST' ? (body.metadata?.name ?? '') : name;
    const known = objectsOf(kind).get(objectName);
    if (method === 'POST' && known !== undefined) return { statusCode: 409, object: known };
    if (method !== 'POST' && known === undefined) return { statusCode: 404, object: undefined };
    if (expected !== undefined && known !== undefined && expected !== known.metadata.revision) {
      return { statusCode: 409, object: known };
    }
    if (method === 'DELETE' && known !== undefined) {
      revision += 1;
      objectsOf(kind).delete(objectName);
      const removed = { ...known, metadata: { ...known.metadata, revision } };
      record(kind, removed, true);
      return { statusCode: 200, object: removed };
    }
    const parts =
      part === 'status'
        ? { spec: known?.spec, status: body.status }
        : { spec: body.spec, status: known?.status ?? null };
    return { statusCode: 200, object: store(kind, objectName, parts) };
  };

  const handler: StandInHandler = (request, response) => {
    const { pathname, searchParams } = request.url;
    if (pathname === '/control/counts') {
      sendJson(response, 200, counts);
      return;
    }
    const parts = standInRequestParts(pathname);
    if (overRate()) {
      sendJson(response, 429, { error: 'rate' });
      return;
    }
    if (parts.root !== 'objects' || parts.kind === '') {
      sendJson(response, 404, {});
      return;
    }
    const since = searchParams.get('watch');
    const operation = since === null ? request.method : 'WATCH';
    counts[operation] = (counts[operation] ?? 0) + 1;
    if (request.method === 'GET' && since !== null) {
      watch(parts.kind, Number(since), Number(searchParams.get('wait-ms') ?? 0), response);
      return;
    }
    if (request.method === 'GET' && parts.name === '') {
      list(parts.kind, searchParams.get('after') ?? '', response);
      return;
    }
    if (request.method === 'GET') {
      const object = objectsOf(parts.kind).get(parts.name);
      sendJson(response, object ? 200 : 404, object ?? {});
      return;
    }
    if (request.body.length > MAX_VALUE_BYTES) {
      sendJson(response, 413, {});
      return;
    }
    const body = (
      request.body.length > 0 ? JSON.parse(request.body.toString()) : {}
    ) as Partial<StoredObject>;
    const inQuery = searchParams.get('revision');
    const expected = inQuery === null ? body.metadata?.revision : Number(inQuery);
    const { statusCode, object } = change(request.method, parts, expected, body);
    if (parts.kind === 'config' && statusCode === 200 && object?.metadata.name === 'head') {
      const left = Number(faults.outageAfterHeadWrites ?? 0);
      if (left > 0) faults.outageAfterHeadWrites = left - 1;
      if (left === 1) {
        faults.outage = true;
        response.destroy();
        return;
      }
    }
    const toLose = Number(faults.loseNextAnswers ?? 0);
    if (toLose > 0) {
      faults.loseNextAnswers = toLose - 1;
      response.destroy();
      return;
    }
    sendJson(response, statusCode, object ?? {});
  };
  const standIn = await startStandIn(handler, faults, port);
  return {
    ...standIn,
    counts,
    /** Writes an object as its owner does, without the envelope of this program. */
    put: (kind: string, name: string, spec: unknown) =>
      store(kind, name, { spec, status: objectsOf(kind).get(name)?.status ?? null }),
    get: (kind: string, name: string) => objectsOf(kind).get(name),
    list: (kind: string) => [...objectsOf(kind).values()],
  };
};

if (import.meta.url === pathToFileURL(process.argv[1] ?? '').href) {
  await runStandInProcess(startPlatform);
}
