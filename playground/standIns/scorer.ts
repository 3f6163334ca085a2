import { pathToFileURL } from 'node:url';
import { runStandInProcess, sendJson, startStandIn, type StandInHandler } from './standInServer.ts';

/** Stand-in for a scorer: the score of a text is its length. `GET /control/count` returns the number of calls. */
export const startScorer = async (port = 0) => {
  let count = 0;
  const handler: StandInHandler = (request, response) => {
    const { pathname } = request.url;
    if (pathname === '/score') {
      count += 1;
      const { text } = JSON.parse(request.body.toString()) as { text: string };
      sendJson(response, 200, { scores: { length: text.length } });
    } else if (pathname === '/control/count') {
      sendJson(response, 200, { count });
    } else {
      sendJson(response, 404, {});
    }
  };
  return startStandIn(handler, {}, port);
};

if (import.meta.url === pathToFileURL(process.argv[1] ?? '').href) {
  await runStandInProcess(startScorer);
}
