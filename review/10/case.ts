import http from 'node:http';
import { Deployment, type EntryNode } from '../lib-2/deployment.ts';
import { type CaseContext, playCase } from '../lib-2/playCase.ts';
import { StandInStore } from '../lib-2/platform.ts';
import { HOST, sleepMs } from '../lib-2/servers.ts';
import { desiredState, ROUTE_HOST } from '../lib-2/tables.ts';
import { StandInWorker } from '../lib-2/worker.ts';

const NODES = 4;

/** The bound `grace-s` of this deployment; the sheets say 8. */
const GRACE_S = 5;

/** A request that was sent no later than this after the SIGTERM may be cut in the last sixth of the grace time. */
const LATE_AFTER_MS = 3000;

const ANSWER_MS = 300;

const SEND_EVERY_MS = 60;

/** How long the clients of the sheet keep an answer of the directory: `ttl-s`, and some three times as long. */
const MAX_KEPT_FACTOR = 3;

const ROLLS = 1;

interface Sent {
  readonly id: string;
  readonly node: string;
  readonly atMs: number;
  readonly end: Promise<string>;
}

/** Sends a request whose body is complete at once; its end is the status, or why there is no complete answer. */
const send = (node: EntryNode, id: string): Sent => {
  const body = 'body';
  const end = new Promise<string>((resolve) => {
    let isConnected = false;
    const request = http.request({
      ...{ host: HOST, port: node.frontPort, method: 'POST', path: '/again/x', agent: false },
      headers: {
        ...{ host: ROUTE_HOST, 'x-request-id': id, 'x-deadline-ms': 2000 },
        'content-length': body.length,
      },
    });
    request.once('socket', (socket) =>
      socket.once('connect', () => {
        isConnected = true;
      }),
    );
    request.on('error', () => {});
    request.once('close', () => resolve(isConnected ? 'channel ended' : 'not connected'));
    request.once('response', (response) => {
      response.on('error', () => {});
      response.once('end', () => resolve(response.complete ? String(response.statusCode) : 'cut'));
      response.resume();
    });
    request.end(body);
  });
  return { id, node: node.name, atMs: Date.now(), end };
};

const play = async ({ record, isTrouble, onEnd }: CaseContext): Promise<readonly string[]> => {
  const store = new StandInStore();
  onEnd(() => store.close());
  store.put('config', 'main', desiredState(1));
  const began = new Set<string>();
  for (let index = 1; index <= 3; index += 1) {
    const worker = new StandInWorker({
      ...{ id: `desk-${index}`, service: 'desk', store, answerMs: ANSWER_MS },
      onOrder: () => {},
      onArrival: ({ id }) => began.add(id),
    });
    onEnd(() => worker.stop());
    await worker.start();
  }
  const deployment = new Deployment({ store, nodeCount: NODES, bounds: { 'grace-s': GRACE_S } });
  onEnd(() => deployment.stop());
  await deployment.start();
  await sleepMs(4000);
  const broken: string[] = [];
  for (let roll = 0; roll < ROLLS; roll += 1) {
    const node = deployment.nodes[roll];
    if (node === undefined) throw new Error('there is no such node');
    const sent: Sent[] = [];
    // Answers of the directory from before the stop; the last of them name the node for three times `ttl-s`.
    const keptMs = MAX_KEPT_FACTOR * 2000;
    const termMs = Date.now();
    record.add(isTrouble ? `SIGTERM to ${node.name}` : `no signal to ${node.name}`);
    if (isTrouble) deployment.terminate(node);
    const killed = sleepMs(GRACE_S * 1000).then(async () => {
      if (!isTrouble) return;
      record.add(`${node.name} ${node.child === undefined ? 'has ended' : 'gets SIGKILL'}`);
      await deployment.kill(node);
    });
    while (Date.now() - termMs < Math.min(keptMs, GRACE_S * 1000)) {
      sent.push(send(node, `request-${roll}-${sent.length}`));
      await sleepMs(SEND_EVERY_MS);
    }
    await killed;
    for (const { id, node: name, atMs, end } of sent) {
      const result = await end;
      const sinceTermMs = atMs - termMs;
      record.add(`${id} to ${name}, ${sinceTermMs} ms after the signal: ${result}`, atMs);
      const isCut = result === 'channel ended' || result === 'cut';
      if (isCut && began.has(id) && sinceTermMs > LATE_AFTER_MS) {
        broken.push(
          `LOST: ${id}, sent ${sinceTermMs} ms after the SIGTERM, was passed on and has no answer`,
        );
      }
    }
    if (isTrouble) await deployment.startNode(node);
    await sleepMs(3000);
  }
  return broken;
};

await playCase(import.meta.url, play);
