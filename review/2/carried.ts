import { CannotRun, sleepMs, TROUBLE, waitUntil } from '../lib/calls.ts';
import type { Deployment } from '../lib/deployment.ts';
import { makeBatch, makeConfig, makeItem, makeItems } from '../lib/messages.ts';
import { playCase } from '../lib/playCase.ts';

const WORKERS = 6;

/** The second group of the first step isn't complete when the trainer has what it waits for. */
const FIRST_STEP = [10, 10, 10, 10, 100, 100, 100, 100];

const CARRIED = [4, 5, 6, 7];

const FRESH = [20, 20, 20, 20];

/** An item may be at no worker for this long of steady state, in ms. */
const MAX_UNPLACED_MS = 5000;

/** Time without a named version that the rule wants before that, in ms. */
const AFTER_VERSION_MS = 6000;

/** The trainer gives the step up this long after the submission, in ms. */
const TRAINER_BUDGET_MS = 30_000;

const play = async (deployment: Deployment): Promise<string | undefined> => {
  await deployment.startEngines('draft', WORKERS);
  await deployment.startEngines('reward', 1, { slots: 6 });
  deployment.writeConfig(
    makeConfig({
      ...{ version: 1, rolloutService: 'draft', modelServices: ['draft'] },
      singleVersion: true,
    }),
  );
  const node = await deployment.startNodes(2, 'draft');

  const first = { ...makeBatch(makeItems('b0', FIRST_STEP)), desired: 1 };
  await deployment.submit(node, 'b0', first);
  const listed = await deployment.readAll(node, 'b0', 4, Date.now() + 10_000);
  if (listed.length < 4) throw new CannotRun('the first step was not complete in time');
  await deployment.endBatch(node, 'b0');
  deployment.nameVersion(2);
  const namedMs = Date.now();
  const events = deployment.engineEvents;
  const loads = () => events.filter(({ event }) => event === 'version').length;
  await waitUntil('loads by the idle workers', 10_000, () => loads() >= WORKERS);
  await sleepMs(500);

  // The group that wasn't complete comes first, with its old ids; without it, the same work comes under new ids.
  const prefix = TROUBLE ? 'b0' : 'b2';
  const carried = CARRIED.map((index) =>
    makeItem({ prefix, index, events: FIRST_STEP[index] ?? 0, scorePrefix: 'b1c' }),
  );
  const items = [...carried, ...makeItems('b1', FRESH)];
  await deployment.submit(node, 'b1', makeBatch(items, 1));
  const submittedMs = Date.now();
  const endMs = submittedMs + TRAINER_BUDGET_MS;
  const results = await deployment.readAll(node, 'b1', items.length, endMs);
  if (results.length === items.length) return undefined;
  const calmFromMs = Math.max(submittedMs, namedMs + AFTER_VERSION_MS);
  if (endMs - calmFromMs < MAX_UNPLACED_MS) throw new CannotRun('too little steady state');
  const unplaced = carried.filter(
    ({ id }) => !events.some((event) => event.id === id && event.atMs > submittedMs),
  );
  if (unplaced.length === 0) return undefined;
  return (
    `${unplaced.length} items that came again from the step before, which no worker has ` +
    `finished, were at no worker for ${Math.round((endMs - submittedMs) / 1000)} s with idle workers`
  );
};

await playCase(import.meta.url, play);
