import { call } from '../lib-2/calls.ts';
import { Deployment } from '../lib-2/deployment.ts';
import { type CaseContext, playCase } from '../lib-2/playCase.ts';
import { StandInStore } from '../lib-2/platform.ts';
import { sleepMs } from '../lib-2/servers.ts';
import { desiredState, ROUTE_HOST } from '../lib-2/tables.ts';
import { StandInWorker } from '../lib-2/worker.ts';

const NODES = 4;

const MODEL = 'model';

const SLOTS = 8;

const LOT = 'lot-10';

/** More items than the worker has slots, so that some wait for it. */
const ITEM_COUNT = 24;

const EVENTS = 100;

const EVENT_MS = 30;

const MOVE_AFTER_MS = 1500;

const LEAVE_AFTER_MS = 4000;

/** Time from its `draining` until the worker exits: `drain-ms` and a little longer. */
const DRAIN_MS = 2500;

const CONTACT_MS = 3000;

/** The rule's time at no worker, in steady state. */
const MAX_IDLE_MS = 5000;

/** The trainer's time budget, from the 202. */
const STEP_MS = 30_000;

/** The desired state, with the rollout route at `service`. */
const stateWith = (version: number, service: string) => {
  const state = desiredState(version);
  const [, engine] = state.services;
  return {
    ...state,
    routes: state.routes.map((route) =>
      route['path-prefix'] === '/lot/' ? { ...route, service } : route,
    ),
    services: [...state.services, { ...engine, name: 'engine-b' }],
  };
};

const play = async ({ record, isTrouble, onEnd }: CaseContext): Promise<readonly string[]> => {
  const store = new StandInStore();
  onEnd(() => store.close());
  store.put('config', 'main', stateWith(1, 'engine'));
  const begun = new Map<string, number>();
  const start = async (id: string, service: string): Promise<StandInWorker> => {
    const worker = new StandInWorker({
      ...{ id, service, model: MODEL, store, eventMs: EVENT_MS, slots: SLOTS },
      onOrder: () => {},
      onArrival: ({ id: item, worker: name, lastEventId }) => {
        begun.set(item, Date.now());
        record.add(`${name} begins to run ${item} after event ${lastEventId}`);
      },
    });
    onEnd(() => worker.stop());
    await worker.start();
    return worker;
  };
  const old = await start('a-1', 'engine');
  const others = [await start('b-1', 'engine-b'), await start('b-2', 'engine-b')];
  const deployment = new Deployment({ store, nodeCount: NODES });
  onEnd(() => deployment.stop());
  await deployment.start();
  await sleepMs(2000);
  const portOf = (turn: number) => deployment.nodes[turn % NODES]?.frontPort ?? 0;
  const headers = { host: ROUTE_HOST };
  const items = Array.from({ length: ITEM_COUNT }, (_, index) => ({
    ...{ id: `item-${index}`, path: '/lot/10/item', group: `group-${index}` },
    headers: { 'X-Model': MODEL, 'X-Token-Counts': `16,${EVENTS}` },
    ...{ body: Buffer.from(`body ${index}`).toString('base64'), tokens: 16 + EVENTS },
  }));
  const accepted = await call(portOf(0), {
    ...{ method: 'POST', path: '/lot/10' },
    body: JSON.stringify({ step: 0, model: MODEL, 'min-version': 1, desired: ITEM_COUNT, items }),
    headers: { ...headers, 'x-request-id': LOT, 'content-type': 'application/json' },
  });
  record.add(`the batch submission is answered ${accepted?.statusCode ?? 'nothing'}`);
  if (accepted?.statusCode !== 202) throw new Error('the batch submission was not accepted');
  const acceptedMs = Date.now();
  await sleepMs(MOVE_AFTER_MS);
  store.put('config', 'main', stateWith(2, 'engine-b'));
  record.add('the desired state moves the rollout route to engine-b');
  await sleepMs(LEAVE_AFTER_MS - MOVE_AFTER_MS);
  if (isTrouble) {
    old.drain();
    record.add('a-1, the last worker of engine, reports that it is draining');
    await sleepMs(DRAIN_MS);
    old.leave();
    record.add('a-1 has left');
  }
  const steadyMs = Date.now() + CONTACT_MS;
  const finished = new Set<string>();
  for (let turn = 1; Date.now() - acceptedMs < STEP_MS && finished.size < ITEM_COUNT; turn += 1) {
    await sleepMs(500);
    const lot = await call(portOf(turn), { path: `/lots/${LOT}?after=0`, headers });
    if (lot?.statusCode !== 200) continue;
    const { results = [] } = JSON.parse(lot.body) as { results?: { id: string }[] };
    for (const { id } of results) finished.add(id);
    const running = others.map(({ id, running: count }) => `${id} runs ${count}`).join(', ');
    record.add(`${results.length} of ${ITEM_COUNT} results; ${running}`);
  }
  const end = await call(portOf(0), { method: 'DELETE', path: `/lots/${LOT}`, headers });
  record.add(`the trainer ends the step: ${end?.statusCode ?? 'nothing'}`);
  if (finished.size === ITEM_COUNT) return [];
  const idleMs = Date.now() - steadyMs;
  const unfinished = items.filter(({ id }) => !finished.has(id));
  const late = unfinished.filter(({ id }) => (begun.get(id) ?? 0) < steadyMs);
  if (idleMs < MAX_IDLE_MS || late.length === 0) return [];
  return [
    `LOST: the step ran out of time; ${late.length} of its items were at no worker for ${idleMs} ms of steady state`,
  ];
};

await playCase(import.meta.url, play);
