import { readFile } from 'node:fs/promises';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { Deployment, type Machine } from '../lib-3/deployment.ts';
import { desiredState, end, MODEL, newItems, POOL, readOn, submit } from '../lib-3/trainer.ts';
import { EngineStandIn, type Run, TOKENS_PER_EVENT } from '../lib-3/worker.ts';

const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** Steps of 48 items: 25.6 MB each, below `max-body-bytes` (33.5 MB), or 100 KB as on the sheet. */
const ITEMS = 48;
const BODY_BYTES = HAS_TROUBLE ? 400_000 : 600;

/** Four trainers that ask for a step each 4 s at most. */
const TRAINERS = 4;
const STEP_INTERVAL_MS = 4000;

/** Time that a trainer gives a step, in ms. */
const STEP_MS = 12_000;

/** How long the trainers work, in ms. */
const DAY_MS = 70_000;

const WORKERS = 6;
const SLOTS = 8;
const EVENTS = 25;
const EVENT_MS = 20;

/** `memory-mb` of the sheet. A process that uses more is killed. */
const MEMORY_MB = 350;
const MEMORY_CHECK_MS = 100;

/** RULES.md, Fault: on two machines at least, processes end by themselves three times. */
const MIN_ENDS = 3;
const MIN_MACHINES = 2;

const deployment = new Deployment(fileURLToPath(new URL('.', import.meta.url)));
const runs: Run[] = [];
const ends = new Map<string, number>();
const peaks = new Map<string, number>();

/** Memory of its own that a process uses, without the pages of files, in MB. */
const usedMb = async ({ child }: Machine): Promise<number> => {
  if (child?.pid === undefined || child.exitCode !== null || child.signalCode !== null) return 0;
  try {
    const status = await readFile(`/proc/${child.pid}/status`, 'utf8');
    return Number(/RssAnon:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1024;
  } catch {
    return 0;
  }
};

/** Kills processes that use more than the memory of their machine, as the platform does. */
const watchMemory = async (): Promise<void> => {
  for (const machine of deployment.machines) {
    const { name, child } = machine;
    const mb = await usedMb(machine);
    peaks.set(name, Math.max(peaks.get(name) ?? 0, mb));
    if (mb > MEMORY_MB && child?.killed === false) {
      deployment.record(`${name}: uses ${Math.round(mb)} MB of ${MEMORY_MB} MB and is killed`);
      ends.set(name, (ends.get(name) ?? 0) + 1);
      child.kill('SIGKILL');
    }
  }
};

/** Submits steps one after the other, reads their results and ends them. */
const train = async (trainer: number, untilMs: number): Promise<void> => {
  const { machines } = deployment;
  for (let step = 0; deployment.nowMs < untilMs; step += 1) {
    const startedMs = deployment.nowMs;
    const first = (trainer + step) % machines.length;
    const order = [...machines.slice(first), ...machines.slice(0, first)];
    const lot = await submit(deployment, order, {
      items: newItems(ITEMS, BODY_BYTES),
      maxTokens: TOKENS_PER_EVENT * EVENTS,
    });
    for (let tries = 0; lot.results.length < ITEMS; tries += 1) {
      const machine = machines[(first + tries) % machines.length];
      if (machine !== undefined) await readOn(deployment, machine, lot);
      if (deployment.nowMs - startedMs > STEP_MS) break;
      await sleep(500);
    }
    const status = await end(deployment, order, lot);
    deployment.record(`lot ${lot.id}: ${lot.results.length} results read, ended: ${status}`);
    await sleep(Math.max(0, startedMs + STEP_INTERVAL_MS - deployment.nowMs));
  }
};

const play = async (): Promise<boolean> => {
  deployment.platform.put('config', 'main', desiredState(SLOTS));
  const engine = {
    ...{ service: POOL, zone: 'worcester', models: [MODEL], slots: SLOTS },
    eventMs: EVENT_MS,
  };
  const workers = Array.from(
    { length: WORKERS },
    () => new EngineStandIn(engine, deployment.platform, runs),
  );
  for (const worker of workers) await worker.start(deployment.host(201));
  await deployment.start(4);
  await sleep(3000);
  const memory = setInterval(() => void watchMemory(), MEMORY_CHECK_MS);
  const untilMs = deployment.nowMs + DAY_MS;
  await Promise.all(Array.from({ length: TRAINERS }, (_, trainer) => train(trainer, untilMs)));
  clearInterval(memory);
  for (const worker of workers) worker.close();
  for (const { name } of deployment.machines) {
    const peakMb = Math.round(peaks.get(name) ?? 0);
    deployment.record(`${name}: ${peakMb} MB at most, ended ${ends.get(name) ?? 0} times`);
  }
  const isBroken = [...ends.values()].filter((count) => count >= MIN_ENDS).length >= MIN_MACHINES;
  deployment.record(isBroken ? 'Fault: the day counts 0' : 'no Fault');
  return !isBroken;
};

try {
  process.exitCode = (await play()) ? 0 : 1;
} catch (error) {
  deployment.record(`the case could not run: ${String(error)}`);
  process.exitCode = 2;
} finally {
  await deployment[Symbol.asyncDispose]();
}
