import { pathToFileURL } from 'node:url';
import { runStandInProcess, sendJson, startStandIn, type StandInHandler } from './standInServer.ts';

/**
 * Stand-in for the weight store: `GET /weights/{pool}/{version}` returns 1024 zero bytes. Further fault:
 * `maxLoadsPerSecond`; loads above it get status 429. `GET /control/counts` returns the numbers of served and refused
 * loads.
 */
export const startWeightStore = async (port = 0) => {
  const faults: Record<string, unknown> = {};
  const counts = { served: 0, refused: 0 };
  let windowStartMs = 0;
  let loadsInWindow = 0;
  const exceedsRateLimit = (): boolean => {
    const nowMs = performance.now();
    if (nowMs - windowStartMs >= 1000) {
      windowStartMs = nowMs;
      loadsInWindow = 0;
    }
    loadsInWindow += 1;
    return loadsInWindow > Number(faults.maxLoadsPerSecond ?? Infinity);
  };
  const handler: StandInHandler = (request, response) => {
    const { pathname } = request.url;
    if (pathname === '/control/counts') {
      sendJson(response, 200, counts);
    } else if (!/^\/weights\/[^/]+\/\d+$/.test(pathname)) {
      sendJson(response, 404, {});
    } else if (exceedsRateLimit()) {
      counts.refused += 1;
      sendJson(response, 429, { error: 'rate' });
    } else {
      counts.served += 1;
      response.end(Buffer.alloc(1024));
    }
  };
  return startStandIn(handler, faults, port);
};

if (import.meta.url === pathToFileURL(process.argv[1] ?? '').href) {
  await runStandInProcess(startWeightStore);
}
