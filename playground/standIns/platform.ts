import type { ServerResponse } from 'node:http';
import { pathToFileURL } from 'node:url';
import { runStandInProcess, sendJson, startStandIn, type StandInHandler } from './standInServer.ts';

interface StoredObject {
  key: string;
  version: number;
  operationId: string;
  value: unknown;
}

interface Vm {
  name: string;
  address: string;
  label: string;
  availabilityZone: string;
  state: 'live' | 'leaving' | 'gone';
}

const MAX_VALUE_BYTES = 1_000_000;

/**
 * Stand-in of the platform's object API: versions, conditional updates, watches, the list of VMs, and call counts.
 * Further faults: `loseNextAnswers` (number of writes that take effect but are not answered), `maxCallsPerSecond`,
 * `outageAfterHeadWrites` (number of writes of `config/head` after which, unanswered, an outage begins).
 */
export const startPlatform = async (port = 0) => {
  const objects = new Map<string, StoredObject>();
  const watchers = new Map<ServerResponse, string>();
  const counts: Record<string, number> = {};
  let vms: Vm[] = [];
  let version = 0;
  let windowStartMs = 0;
  let callsInWindow = 0;

  const faults: Record<string, unknown> = {};
  const notify = (type: 'written' | 'removed', object: StoredObject) => {
    for (const [response, prefix] of watchers) {
      if (object.key.startsWith(prefix)) response.write(`${JSON.stringify({ type, object })}\n`);
    }
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
  const change = (
    method: string,
    key: string,
    ifMatch: string | undefined,
    operationId: string,
    body: Buffer,
  ): { statusCode: number; version: number } => {
    const current = objects.get(key);
    const currentVersion = current?.version ?? 0;
    if (ifMatch !== undefined && Number(ifMatch) !== currentVersion) {
      return { statusCode: 412, version: currentVersion };
    }
    if (body.length > MAX_VALUE_BYTES) return { statusCode: 413, version: currentVersion };
    version += 1;
    if (method === 'DELETE') {
      objects.delete(key);
      if (current) notify('removed', { ...current, version });
    } else {
      const object = { key, version, operationId, value: JSON.parse(body.toString()) as unknown };
      objects.set(key, object);
      notify('written', object);
    }
    return { statusCode: 200, version };
  };

  const handler: StandInHandler = (request, response) => {
    const { pathname, searchParams } = request.url;
    if (pathname === '/control/counts') {
      sendJson(response, 200, counts);
      return;
    }
    if (pathname === '/control/vms') {
      vms = JSON.parse(request.body.toString()) as Vm[];
      sendJson(response, 200, {});
      return;
    }
    if (overRate()) {
      sendJson(response, 429, { error: 'rate' });
      return;
    }
    const operation = pathname.startsWith('/objects/') ? request.method : pathname;
    counts[operation] = (counts[operation] ?? 0) + 1;
    if (pathname === '/vms') {
      sendJson(response, 200, { vms });
    } else if (pathname === '/watch') {
      const prefix = searchParams.get('prefix') ?? '';
      response.writeHead(200, { 'content-type': 'application/x-ndjson' });
      response.flushHeaders();
      watchers.set(response, prefix);
      response.on('close', () => watchers.delete(response));
    } else if (pathname === '/objects') {
      const prefix = searchParams.get('prefix') ?? '';
      const items = [...objects.values()].filter((object) => object.key.startsWith(prefix));
      sendJson(response, 200, { items, version });
    } else if (pathname.startsWith('/objects/')) {
      const key = pathname.slice('/objects/'.length);
      if (request.method === 'GET') {
        const object = objects.get(key);
        sendJson(response, object ? 200 : 404, object ?? {});
        return;
      }
      const result = change(
        request.method,
        key,
        request.headers['if-match'],
        String(request.headers['x-operation-id'] ?? ''),
        request.body,
      );
      if (key === 'config/head' && result.statusCode === 200) {
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
      sendJson(response, result.statusCode, { version: result.version });
    } else {
      sendJson(response, 404, {});
    }
  };
  return { ...(await startStandIn(handler, faults, port)), objects };
};

if (import.meta.url === pathToFileURL(process.argv[1] ?? '').href) {
  await runStandInProcess(startPlatform);
}
