import type { ServerResponse } from 'node:http';
import { pathToFileURL } from 'node:url';
import {
  runStandInProcess,
  sendJson,
  splitObjectPath,
  startStandIn,
  type StandInHandler,
} from './standInServer.ts';

/** An object in the platform's wire format. */
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

interface PendingWatch {
  readonly kind: string;
  readonly since: number;
  readonly response: ServerResponse;
  readonly timer: NodeJS.Timeout;
}

const MAX_VALUE_BYTES = 1_048_576;

/** Maximum number of objects in one page of a list. */
const PAGE_SIZE = 500;

/** Maximum number of changes kept for watches; older ones are discarded. */
const MAX_HISTORY = 10_000;

/**
 * Stand-in for the platform's object API, implementing its published protocol: objects by kind and name, revisions,
 * conditional writes, paged lists, and long-polling watches over a bounded history. `GET /control/counts` returns the
 * number of calls per operation.
 * Further faults: `loseNextAnswers` (number of writes that take effect but get no response), `maxCallsPerSecond`,
 * `outageAfterHeadWrites` (an outage begins after this number of writes of `config/head`; the last one takes effect but
 * gets no response), `historyGone` (watches get status 410).
 */
export const startPlatform = async (port = 0) => {
  const kinds = new Map<string, Map<string, StoredObject>>();
  const history: Change[] = [];
  const pendingWatches = new Set<PendingWatch>();
  const counts: Record<string, number> = {};
  let revision = 1;
  let windowStartMs = 0;
  let callsInWindow = 0;

  const faults: Record<string, unknown> = {};
  const objectsOf = (kind: string) => {
    const objects = kinds.get(kind) ?? new Map<string, StoredObject>();
    kinds.set(kind, objects);
    return objects;
  };
  const changesSince = (kind: string, since: number) =>
    history.filter((change) => change.kind === kind && change.revision > since);
  const completeWatch = ({ kind, since, response, timer }: PendingWatch) => {
    clearTimeout(timer);
    const events = changesSince(kind, since).map(({ removed, object }) => ({ removed, object }));
    sendJson(response, 200, { events, 'as-of': revision });
  };
  const recordChange = (kind: string, object: StoredObject, removed: boolean) => {
    history.push({ kind, revision, removed, object });
    if (history.length > MAX_HISTORY) history.shift();
    for (const watch of pendingWatches) {
      if (watch.kind !== kind) continue;
      pendingWatches.delete(watch);
      completeWatch(watch);
    }
  };
  const storeObject = (
    kind: string,
    name: string,
    parts: Pick<StoredObject, 'spec' | 'status'>,
  ) => {
    const existing = objectsOf(kind).get(name);
    revision += 1;
    const object: StoredObject = {
      metadata: {
        name,
        revision,
        'create-rev': existing?.metadata['create-rev'] ?? revision,
        finalizers: [],
        deleting: false,
      },
      ...parts,
    };
    objectsOf(kind).set(name, object);
    recordChange(kind, object, false);
    return object;
  };
  const exceedsRateLimit = (): boolean => {
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

  const handleList = (kind: string, after: string, response: ServerResponse) => {
    const matching = [...objectsOf(kind).values()]
      .filter(({ metadata }) => metadata.name > after)
      .sort((left, right) => (left.metadata.name < right.metadata.name ? -1 : 1));
    const items = matching.slice(0, PAGE_SIZE);
    sendJson(response, 200, { items, truncated: matching.length > PAGE_SIZE, 'as-of': revision });
  };
  const handleWatch = (kind: string, since: number, waitMs: number, response: ServerResponse) => {
    if (faults.historyGone || (history[0]?.revision ?? 0) > since + 1) {
      sendJson(response, 410, {});
      return;
    }
    const pendingWatch: PendingWatch = {
      ...{ kind, since, response },
      timer: setTimeout(() => {
        pendingWatches.delete(pendingWatch);
        completeWatch(pendingWatch);
      }, waitMs),
    };
    if (changesSince(kind, since).length > 0) completeWatch(pendingWatch);
    else pendingWatches.add(pendingWatch);
    response.once('close', () => {
      clearTimeout(pendingWatch.timer);
      pendingWatches.delete(pendingWatch);
    });
  };
  const applyChange = (
    method: string,
    { kind, name, part }: ReturnType<typeof splitObjectPath>,
    expectedRevision: number | undefined,
    body: Partial<StoredObject>,
  ): { statusCode: number; object: StoredObject | undefined } => {
    const objectName = method === 'POST' ? (body.metadata?.name ?? '') : name;
    const existing = objectsOf(kind).get(objectName);
    if (method === 'POST' && existing !== undefined) return { statusCode: 409, object: existing };
    if (method !== 'POST' && existing === undefined) return { statusCode: 404, object: undefined };
    if (
      expectedRevision !== undefined &&
      existing !== undefined &&
      expectedRevision !== existing.metadata.revision
    ) {
      return { statusCode: 409, object: existing };
    }
    if (method === 'DELETE' && existing !== undefined) {
      revision += 1;
      objectsOf(kind).delete(objectName);
      const removed = { ...existing, metadata: { ...existing.metadata, revision } };
      recordChange(kind, removed, true);
      return { statusCode: 200, object: removed };
    }
    const parts =
      part === 'status'
        ? { spec: existing?.spec, status: body.status }
        : { spec: body.spec, status: existing?.status ?? null };
    return { statusCode: 200, object: storeObject(kind, objectName, parts) };
  };

  const handler: StandInHandler = (request, response) => {
    const { pathname, searchParams } = request.url;
    if (pathname === '/control/counts') {
      sendJson(response, 200, counts);
      return;
    }
    const parts = splitObjectPath(pathname);
    if (exceedsRateLimit()) {
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
      handleWatch(parts.kind, Number(since), Number(searchParams.get('wait-ms') ?? 0), response);
      return;
    }
    if (request.method === 'GET' && parts.name === '') {
      handleList(parts.kind, searchParams.get('after') ?? '', response);
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
    const queryRevision = searchParams.get('revision');
    const expectedRevision =
      queryRevision === null ? body.metadata?.revision : Number(queryRevision);
    const { statusCode, object } = applyChange(request.method, parts, expectedRevision, body);
    if (parts.kind === 'config' && statusCode === 200 && object?.metadata.name === 'head') {
      const remaining = Number(faults.outageAfterHeadWrites ?? 0);
      if (remaining > 0) faults.outageAfterHeadWrites = remaining - 1;
      if (remaining === 1) {
        faults.outage = true;
        response.destroy();
        return;
      }
    }
    const responsesToLose = Number(faults.loseNextAnswers ?? 0);
    if (responsesToLose > 0) {
      faults.loseNextAnswers = responsesToLose - 1;
      response.destroy();
      return;
    }
    sendJson(response, statusCode, object ?? {});
  };
  const standIn = await startStandIn(handler, faults, port);
  return {
    ...standIn,
    counts,
    /** Writes an object as its owner does, without the envelope that this program adds to its own objects. */
    put: (kind: string, name: string, spec: unknown) =>
      storeObject(kind, name, { spec, status: objectsOf(kind).get(name)?.status ?? null }),
    get: (kind: string, name: string) => objectsOf(kind).get(name),
    list: (kind: string) => [...objectsOf(kind).values()],
  };
};

if (import.meta.url === pathToFileURL(process.argv[1] ?? '').href) {
  await runStandInProcess(startPlatform);
}
