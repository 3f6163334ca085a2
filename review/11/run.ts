import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { Deployment } from '../lib-3/deployment.ts';
import { desiredState, type Lot, MODEL, newItems, POOL, readOn, submit } from '../lib-3/trainer.ts';
import { EngineStandIn, type Run, TOKENS_PER_EVENT } from '../lib-3/worker.ts';

const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** Steps of 48 items, as on the sheet of tvf-quotes; 25 workers of 6 slots, as on that of tvf-quotes-grown. */
const WORKERS = 25;
const SLOTS = 6;
const ITEMS = 48;

/** Time that a trainer gives a step, in ms: longer than on the sheet, as its items are longer. */
const STEP_MS = 45_000;
const RESULT_DEADLINE_MS = 40_000;

/** Time from one submission to the next, in ms. */
const SUBMISSION_INTERVAL_MS = 2000;
const CONTACT_MS = 3000;

/** Steps that are open at the same time: two trainers, each with one step ahead. */
const LOTS = 4;

/** A submission of 48 items has 25.9 MB, below `max-body-bytes` (33.5 MB). */
const BODY_BYTES = 400_000;

/** An item takes 8 s. All steps have begun before the first item is finished. */
const EVENTS = 80;
const EVENT_MS = 100;

/** Time that an item may be at no worker, in ms, in steady state (rule LOST). */
const AT_NO_WORKER_MS = 5000;

/** How long the deployment is watched after the last step's time, in ms. */
const WATCH_MS = 15_000;

const deployment = new Deployment(fileURLToPath(new URL('.', import.meta.url)));
const runs: Run[] = [];

const dispatcherOf = () => {
  const name = deployment.platform.valueOf('dispatchers', POOL)?.node;
  return deployment.machines.find((machine) => machine.name === name);
};

/** Number of items of a lot that no worker has finished. */
const unfinishedOf = ({ items }: Lot) => {
  const finished = new Set(runs.filter(({ isComplete }) => isComplete).map(({ item }) => item));
  return items.filter(({ id }) => !finished.has(id));
};

/** How long an item has been at no worker, in ms; 0 while it runs. */
const idleMs = (id: string, sinceMs: number): number => {
  const ofItem = runs.filter(({ item }) => item === id);
  if (ofItem.some(({ endedMs }) => endedMs === undefined)) return 0;
  return performance.now() - Math.max(sinceMs, ...ofItem.map(({ endedMs = 0 }) => endedMs));
};

/** Whether LOST is broken for a step whose time is up. */
const isLost = (lot: Lot, steadySinceMs: number): boolean => {
  const unfinished = unfinishedOf(lot);
  const left = unfinished.filter(({ id }) => idleMs(id, steadySinceMs) >= AT_NO_WORKER_MS);
  const begun = new Set(runs.map(({ item }) => item));
  const begunCount = lot.items.filter(({ id }) => begun.has(id)).length;
  const running = runs.filter(({ endedMs }) => endedMs === undefined).length;
  deployment.record(
    `lot ${lot.id}: its time is up; ${lot.results.length} results read, ${unfinished.length} items finished by no worker, ` +
      `${left.length} of them at no worker for 5 s of steady state, ${begunCount} items had begun, ${running} of ${WORKERS * SLOTS} places taken`,
  );
  return left.length > 0 && begunCount > 0 && running < (WORKERS * SLOTS) / 2;
};

const play = async (): Promise<boolean> => {
  deployment.platform.put('config', 'main', desiredState(SLOTS, RESULT_DEADLINE_MS));
  const workers = Array.from(
    { length: WORKERS },
    () =>
      new EngineStandIn(
        {
          ...{ service: POOL, zone: 'worcester', models: [MODEL], slots: SLOTS },
          eventMs: EVENT_MS,
        },
        deployment.platform,
        runs,
      ),
  );
  for (const worker of workers) await worker.start(deployment.host(201));
  await deployment.start(4);
  await sleep(CONTACT_MS);
  const { machines } = deployment;
  const dispatcher = dispatcherOf();
  if (dispatcher === undefined) throw new Error('no machine dispatches');
  const lots: Lot[] = [];
  for (let number = 0; number < LOTS; number += 1) {
    const startedMs = deployment.nowMs;
    lots.push(
      await submit(deployment, [dispatcher], {
        items: newItems(ITEMS, BODY_BYTES),
        maxTokens: TOKENS_PER_EVENT * EVENTS,
      }),
    );
    await sleep(Math.max(0, startedMs + SUBMISSION_INTERVAL_MS - deployment.nowMs));
  }
  deployment.record(
    `all submissions are accepted; ${dispatcher.name} dispatches; ${runs.length} runs so far`,
  );
  let steadySinceMs = performance.now();
  if (HAS_TROUBLE) {
    deployment.record(`${dispatcher.name}: SIGKILL`);
    dispatcher.child?.kill('SIGKILL');
    await sleep(1000);
    await deployment.untilReady(dispatcher);
    deployment.record(`${dispatcher.name} is ready again`);
    steadySinceMs = performance.now() + CONTACT_MS;
  }
  const open = new Set(lots);
  const read = async () => {
    for (const [index, lot] of lots.entries()) {
      const machine = machines[(index + Math.floor(deployment.nowMs / 500)) % machines.length];
      if (machine !== undefined) await readOn(deployment, machine, lot);
    }
    await sleep(500);
  };
  let lost = 0;
  while (open.size > 0) {
    await read();
    for (const lot of open) {
      const isDone = lot.results.length === lot.items.length;
      if (isDone) deployment.record(`lot ${lot.id}: all ${lot.results.length} results are read`);
      const isOver = deployment.nowMs - lot.submittedMs >= STEP_MS;
      if (isDone || isOver) open.delete(lot);
      if (!isDone && isOver && isLost(lot, steadySinceMs)) lost += 1;
    }
  }
  if (lost > 0) {
    const before = runs.length;
    const untilMs = deployment.nowMs + WATCH_MS;
    while (deployment.nowMs < untilMs) await read();
    deployment.record(
      `${WATCH_MS / 1000} s later: ${dispatcherOf()?.name} dispatches, ${runs.length - before} further runs, results of the lots: ${lots.map(({ results }) => results.length).join(', ')}`,
    );
  }
  for (const worker of workers) worker.close();
  deployment.record(lost > 0 ? `LOST is broken for ${lost} steps` : 'LOST held');
  return lost === 0;
};

try {
  process.exitCode = (await play()) ? 0 : 1;
} catch (error) {
  deployment.record(`the case could not run: ${String(error)}`);
  process.exitCode = 2;
} finally {
  await deployment[Symbol.asyncDispose]();
}
