import { CannotRun, sleepMs, TROUBLE } from '../lib/calls.ts';
import type { Deployment } from '../lib/deployment.ts';
import { makeBatch, makeConfig, makeItems } from '../lib/messages.ts';
import { playCase } from '../lib/playCase.ts';

const BATCH = 'b1';

const ITEMS = 60;

/** The client ends its batch this long after the 202, in ms. */
const END_AFTER_MS = 300;

/** `cancel-ms`. */
const CANCEL_MS = 3000;

/** `contact-ms` after the disruption, with a margin: from then on the machines are in touch. */
const TOUCH_MS = 3300;

/** How long the workers are watched after the end of the batch, in ms. */
const WATCH_MS = 15_000;

const play = async (deployment: Deployment): Promise<string | undefined> => {
  await deployment.startEngines('draft', 2);
  await deployment.startEngines('reward', 1, { slots: 6 });
  deployment.writeConfig(
    makeConfig({ version: 1, rolloutService: 'draft', modelServices: ['draft'] }),
  );
  await deployment.startNodes(2, 'draft');
  const dispatcher = deployment.dispatcherOf('draft');
  const other = deployment.nodes.find((node) => node !== dispatcher);
  if (dispatcher === undefined || other === undefined) throw new CannotRun('no dispatcher');
  deployment.log(`dispatcher: ${dispatcher.name}`);

  let disruptedMs: number | undefined;
  if (TROUBLE) {
    dispatcher.proxy.silenceChannelWith('GET /objects/batch-items/', (line) => {
      disruptedMs = Date.now();
      deployment.log(`proxy of ${dispatcher.name}: a channel to the store goes silent at ${line}`);
    });
  }
  const items = makeItems(BATCH, new Array<number>(ITEMS).fill(40));
  await deployment.submit(other, BATCH, makeBatch(items));
  await sleepMs(END_AFTER_MS);
  await deployment.endBatch(other, BATCH);
  const endedMs = Date.now();
  if (TROUBLE && disruptedMs === undefined) throw new CannotRun('no channel went silent');
  await sleepMs(WATCH_MS);

  const judgedFromMs = Math.max(endedMs + CANCEL_MS, (disruptedMs ?? 0) + TOUCH_MS);
  const late = deployment.engineEvents.filter(
    ({ event, id, atMs }) => event === 'run' && id.startsWith(`${BATCH}i`) && atMs > judgedFromMs,
  );
  deployment.log(`items that began to run later than that: ${late.length}`);
  const last = late.at(-1);
  if (last === undefined) return undefined;
  return (
    `${late.length} items of an ended batch ran later than ${CANCEL_MS} ms after the ` +
    `confirmation of its end, the last one after ${last.atMs - endedMs} ms`
  );
};

await playCase(import.meta.url, play);
