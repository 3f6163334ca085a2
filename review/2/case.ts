import { CannotRun, sleepMs, TROUBLE, waitUntil } from '../lib/calls.ts';
import { CONTACT_MS, type Deployment } from '../lib/deployment.ts';
import { makeBatch, makeConfig, makeItems } from '../lib/messages.ts';
import { playCase } from '../lib/playCase.ts';

/** Events of the items of the second step: short ones and a long one. */
const EVENTS = [20, 20, 20, 300];

const LONG_ITEM = 'b1i3';

const WORKERS = 6;

/** An item may be at no worker for this long of steady state, in ms. */
const MAX_UNPLACED_MS = 5000;

/** Time without a named version that the rule wants before that, in ms. */
const AFTER_VERSION_MS = 6000;

/** The entry of a worker that crashed is removed after three heartbeats of silence, in ms. */
const ENTRY_EXPIRY_MS = 3600;

/** The trainer gives the step up this long after the submission, in ms. */
const TRAINER_BUDGET_MS = 35_000;

const play = async (deployment: Deployment): Promise<string | undefined> => {
  const engines = await deployment.startEngines('draft', WORKERS);
  await deployment.startEngines('reward', 1, { slots: 6 });
  deployment.writeConfig(
    makeConfig({
      ...{ version: 1, rolloutService: 'draft', modelServices: ['draft'] },
      singleVersion: true,
    }),
  );
  const node = await deployment.startNodes(2, 'draft');

  // A trainer that requests its steps ahead.
  await deployment.submit(node, 'b0', makeBatch(makeItems('b0', [10, 10, 10, 10])));
  const endMs = Date.now() + TRAINER_BUDGET_MS;
  await deployment.submit(node, 'b1', makeBatch(makeItems('b1', EVENTS), 1));
  const first = await deployment.readAll(node, 'b0', 4, endMs);
  if (first.length < 4) throw new CannotRun('the first step was not complete in time');
  await deployment.endBatch(node, 'b0');
  deployment.nameVersion(2);
  const namedMs = Date.now();
  const events = deployment.engineEvents;
  const has = (name: string) => events.some(({ id, event }) => id === LONG_ITEM && event === name);
  const loads = () => events.filter(({ event }) => event === 'version').length;
  await waitUntil('loads by the idle workers', 10_000, () => loads() >= WORKERS - 1);
  const run = events.findLast(({ id, event }) => id === LONG_ITEM && event === 'run');
  const holder = engines.find(({ id }) => id === run?.engine);
  if (holder === undefined || has('finished')) throw new CannotRun('the item is at no worker');
  const lostMs = Date.now();
  if (TROUBLE) {
    deployment.log(`worker ${holder.id} is lost for good (SIGKILL)`);
    holder.child.kill('SIGKILL');
    await sleepMs(ENTRY_EXPIRY_MS);
    await deployment.unregister(holder.id);
  }
  const calmFromMs = Math.max(lostMs + ENTRY_EXPIRY_MS + CONTACT_MS, namedMs + AFTER_VERSION_MS);

  const results = await deployment.readAll(node, 'b1', EVENTS.length, endMs);
  if (results.length === EVENTS.length || has('finished')) return undefined;
  const reached = events.some(
    ({ id, event, atMs }) => id === LONG_ITEM && event === 'reached' && atMs > calmFromMs,
  );
  if (reached) return undefined;
  const steadyMs = endMs - calmFromMs;
  if (steadyMs < MAX_UNPLACED_MS) throw new CannotRun('too little steady state');
  return (
    `item ${LONG_ITEM} of an accepted batch, which no worker has finished, was at no worker ` +
    `for ${Math.round(steadyMs / 1000)} s of steady state with ${WORKERS - 1} idle workers`
  );
};

await playCase(import.meta.url, play);
