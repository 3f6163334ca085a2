import { call, CannotRun, sleepMs, TROUBLE, waitUntil } from '../lib/calls.ts';
import { CONTACT_MS, type Deployment, type Node } from '../lib/deployment.ts';
import { makeBatch, makeConfig, makeItems } from '../lib/messages.ts';
import { playCase } from '../lib/playCase.ts';

const BATCH = 'b1';

const ITEMS = 60;

/** Pause between the stops of two machines, in ms: `gap_s` of the site's `roll_term`. */
const STOP_GAP_MS = 1300;

/** `grace-s`: the platform kills a stopped process this long after SIGTERM, in ms. */
const GRACE_MS = 8000;

/** An item may be at no worker for this long of steady state, in ms. */
const MAX_UNPLACED_MS = 5000;

/** The trainer gives the step up this long after the submission, in ms. */
const TRAINER_BUDGET_MS = 45_000;

/** SIGTERM, SIGKILL after the grace time, and a new start with the settings of then. */
const restart = async (deployment: Deployment, node: Node): Promise<void> => {
  const { child } = node;
  if (child === undefined) throw new CannotRun(`${node.name} does not run`);
  deployment.log(`platform: SIGTERM to ${node.name}`);
  child.kill('SIGTERM');
  const killer = setTimeout(() => child.kill('SIGKILL'), GRACE_MS);
  const hasEnded = () => child.exitCode !== null || child.signalCode !== null;
  await waitUntil(`end of ${node.name}`, GRACE_MS + 1000, hasEnded);
  clearTimeout(killer);
  deployment.log(`platform: ${node.name} ended with ${child.exitCode ?? child.signalCode}`);
  await deployment.startNode(node);
};

const play = async (deployment: Deployment): Promise<string | undefined> => {
  const modelServices = ['draft-a', 'draft-b'];
  for (const service of modelServices) await deployment.startEngines(service, 2);
  await deployment.startEngines('reward', 1, { slots: 6 });
  const config = { version: 1, rolloutService: 'draft-a', modelServices };
  deployment.writeConfig(makeConfig(config));
  const first = await deployment.startNodes(2, 'draft-a');

  const submittedMs = Date.now();
  const items = makeItems(BATCH, new Array<number>(ITEMS).fill(40));
  await deployment.submit(first, BATCH, makeBatch(items));
  await sleepMs(3000);
  deployment.writeConfig(makeConfig({ ...config, version: 3, rolloutService: 'draft-b' }));
  await sleepMs(CONTACT_MS);
  if (TROUBLE) {
    const restarts: Promise<void>[] = [];
    for (const node of deployment.nodes) {
      restarts.push(restart(deployment, node));
      await sleepMs(STOP_GAP_MS);
    }
    await Promise.all(restarts);
  }
  const calmFromMs = Date.now() + CONTACT_MS;

  const endMs = submittedMs + TRAINER_BUDGET_MS;
  const results = await deployment.readAll(first, BATCH, ITEMS, endMs);
  if (results.length === ITEMS) return undefined;
  const seen = deployment.engineEvents;
  const done = new Set(seen.filter(({ event }) => event === 'finished').map(({ id }) => id));
  const unplaced = items.filter(
    ({ id }) => !done.has(id) && !seen.some((event) => event.id === id && event.atMs > calmFromMs),
  );
  if (unplaced.length === 0) return undefined;
  const body = await call(first.front, { url: `/items/${BATCH}?id=${unplaced[0]?.id}` });
  deployment.log(`client: body of ${unplaced[0]?.id} at ${first.name}: ${body?.statusCode}`);
  const steadyMs = endMs - calmFromMs;
  if (steadyMs < MAX_UNPLACED_MS || done.size === 0) {
    throw new CannotRun('too little steady state, or no item of the step had begun');
  }
  return (
    `${unplaced.length} of ${ITEMS} items of an accepted batch, which no worker has finished, ` +
    `were at no worker for ${Math.round(steadyMs / 1000)} s of steady state with idle workers`
  );
};

await playCase(import.meta.url, play);
