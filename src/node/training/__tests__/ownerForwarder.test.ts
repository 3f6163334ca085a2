import { test } from 'node:test';
import { expect } from 'earl';
import { createHttpServer, listen } from '../../dataPath/httpServer.ts';
import { sendProblem } from '../../dataPath/problem.ts';
import { OwnerForwarder } from '../ownerForwarder.ts';

// Guards against a trainer that cannot distinguish a refusal by the owner from a failure of forwarding.
test('the outcome header of the owner reaches the trainer through another entry', async (context) => {
  using forwarder = new OwnerForwarder();
  const owner = createHttpServer(
    [
      (_request, response) => {
        sendProblem(response, 'other owner', {
          outcome: 'not-run',
          statusCode: 409,
          code: 'moved',
        });
        return true;
      },
    ],
    () => {},
  );
  const ownerPort = await listen(owner, '127.0.0.1', 0);
  const entry = createHttpServer(
    [
      async (request, response) => {
        await forwarder.forward(`127.0.0.1:${ownerPort}`, request, response);
        return true;
      },
    ],
    () => {},
  );
  const entryPort = await listen(entry, '127.0.0.1', 0);
  context.after(() => {
    for (const server of [entry, owner]) {
      server.close();
      server.closeAllConnections();
    }
  });
  const result = await fetch(`http://127.0.0.1:${entryPort}/v1/jobs/draft/pull`, {
    method: 'POST',
    body: '{}',
    headers: { connection: 'close' },
  });
  expect(result.status).toEqual(409);
  expect(result.headers.get('x-hyssoppulley-outcome')).toEqual('not-run');
  await result.text();
});
