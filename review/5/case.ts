import { CannotRun, TROUBLE } from '../lib/calls.ts';
import { CONTACT_MS, type Deployment } from '../lib/deployment.ts';
import { makeBatch, makeConfig, makeItems } from '../lib/messages.ts';
import { playCase } from '../lib/playCase.ts';

const BATCH = 'b1';

const ITEMS = 60;

/** The first worker garbles its answer to this item request, and no other. */
const GARBLED_REQUEST = 5;

/** An item may be at no worker for this long of steady state, in ms. */
const MAX_UNPLACED_MS = 5000;

/** The trainer gives the step up this long after the submission, in ms. */
const TRAINER_BUDGET_MS = 35_000;

const play = async (deployment: Deployment): Promise<string | undefined> => {
  await deployment.startEngines('draft', 6, {}, TROUBLE ? { garbledRequest: GARBLED_REQUEST } : {});
  await deployment.startEngines('reward', 1, { slots: 6 });
  deployment.writeConfig(
    makeConfig({ version: 1, rolloutService: 'draft', modelServices: ['draft'] }),
  );
  const node = await deployment.startNodes(2, 'draft');

  const endMs = Date.now() + TRAINER_BUDGET_MS;
  const items = makeItems(BATCH, new Array<number>(ITEMS).fill(20));
  await deployment.submit(node, BATCH, makeBatch(items));
  const results = await deployment.readAll(node, BATCH, ITEMS, endMs);
  if (results.length === ITEMS) return undefined;
  const garbled = deployment.engineEvents.find(({ event }) => event === 'garbled');
  if (garbled === undefined) throw new CannotRun('no answer was garbled');
  const events = deployment.engineEvents.filter(({ id }) => id === garbled.id);
  const calmFromMs = garbled.atMs + CONTACT_MS;
  const wasTried = events.some(
    ({ event, atMs }) => event === 'run' || (event === 'reached' && atMs > calmFromMs),
  );
  if (wasTried) return undefined;
  const steadyMs = endMs - calmFromMs;
  if (steadyMs < MAX_UNPLACED_MS) throw new CannotRun('too little steady state');
  return (
    `item ${garbled.id} of an accepted batch, which no worker has run, was at no worker ` +
    `for ${Math.round(steadyMs / 1000)} s of steady state with idle workers`
  );
};

await playCase(import.meta.url, play);
