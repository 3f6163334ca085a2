import { pathToFileURL } from 'node:url';
import {
  type Faults,
  runStandInProcess,
  sendJson,
  sleepMs,
  startStandIn,
  type StandInHandler,
} from './standInServer.ts';

/**
 * Stand-in for a plain service. Counts requests by their `x-run-id` header, so that a test can detect a request that
 * ran twice. `GET /control/runs` returns the counts. Further fault: `answerLatencyMs`, a delay between counting the run
 * of a request with that header and responding to it.
 */
export const startService = async (port = 0) => {
  const runs: Record<string, number> = {};
  const faults: Faults = {};
  const handler: StandInHandler = async (request, response) => {
    const { pathname } = request.url;
    if (pathname === '/control/runs') {
      sendJson(response, 200, runs);
      return;
    }
    if (pathname === '/load') {
      sendJson(response, 200, { running: 0 });
      return;
    }
    const runId = String(request.headers['x-run-id'] ?? '');
    if (runId) runs[runId] = (runs[runId] ?? 0) + 1;
    if (runId && faults.answerLatencyMs) await sleepMs(Number(faults.answerLatencyMs));
    sendJson(response, 200, { runId, path: pathname, bytes: request.body.length });
  };
  return startStandIn(handler, faults, port);
};

if (import.meta.url === pathToFileURL(process.argv[1] ?? '').href) {
  await runStandInProcess(startService);
}
