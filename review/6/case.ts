import { call } from '../lib-2/calls.ts';
import { Deployment } from '../lib-2/deployment.ts';
import { type CaseContext, playCase } from '../lib-2/playCase.ts';
import { StandInStore } from '../lib-2/platform.ts';
import { sleepMs } from '../lib-2/servers.ts';
import { desiredState, ROUTE_HOST } from '../lib-2/tables.ts';
import { StandInWorker } from '../lib-2/worker.ts';

const NODES = 4;

const WORKERS = 6;

/** The disruption `srv_grey`: this part of the workers, here one of six, fails this part of its requests. */
const GREY_WORKERS = 1;
const FAILED_EVERY = 3;

/** With this status the worker answers a request that it ran, without `X-Not-Executed`. */
const FAILURE_STATUS = 503;

const REQUESTS = 240;

/** Statuses by which the system promises that a request has not run and never will. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

const play = async ({ record, isTrouble, onEnd }: CaseContext): Promise<readonly string[]> => {
  const store = new StandInStore();
  onEnd(() => store.close());
  store.put('config', 'main', desiredState(1));
  const ranAt = new Map<string, string[]>();
  for (let index = 1; index <= WORKERS; index += 1) {
    const isGrey = isTrouble && index <= GREY_WORKERS;
    let count = 0;
    const worker = new StandInWorker({
      ...{ id: `desk-${index}`, service: 'desk', store },
      onOrder: () => {},
      onArrival: ({ id, worker: name }) => ranAt.set(id, [...(ranAt.get(id) ?? []), name]),
      failureOf: ({ id }) => {
        count += 1;
        if (!isGrey || count % FAILED_EVERY !== 0) return undefined;
        record.add(`desk-${index} has run ${id} and answers ${FAILURE_STATUS}`);
        return FAILURE_STATUS;
      },
    });
    onEnd(() => worker.stop());
    await worker.start();
  }
  const deployment = new Deployment({ store, nodeCount: NODES });
  onEnd(() => deployment.stop());
  await deployment.start();
  await sleepMs(2000);
  const broken: string[] = [];
  for (let turn = 0; turn < REQUESTS; turn += 1) {
    const node = deployment.nodes[turn % NODES];
    const id = `booking-${turn}`;
    const answer = await call(node?.frontPort ?? 0, {
      ...{ method: 'POST', path: '/once/x', body: `booking ${turn}` },
      headers: { host: ROUTE_HOST, 'x-request-id': id, 'x-deadline-ms': 2000 },
    });
    const ran = ranAt.get(id) ?? [];
    const status = answer?.statusCode;
    record.add(
      `${node?.name} answers ${id} with ${status ?? 'nothing'}; it ran at ${ran.join(', ') || 'no worker'}`,
    );
    if (status !== undefined && PROMISES.has(status) && ran.length > 0) {
      const stamp = String(answer?.headers['x-server-stamp'] ?? 'none');
      broken.push(
        `REFUSED: ${id} was answered ${status} (stamp ${stamp}) and has run at ${ran.join(', ')}`,
      );
    }
    if (ran.length > 1) broken.push(`TWICE: ${id} ran at ${ran.join(', ')}`);
    await sleepMs(30);
  }
  return broken;
};

await playCase(import.meta.url, play);
