import type { Random } from '../../src/shared/random.ts';
import { sleepMs } from '../standIns/standInServer.ts';
import type { SoakWorker } from './soakWorker.ts';

/** A time in which every worker names the same request limit. */
export interface SoakLimit {
  readonly startMs: number;
  readonly durationMs: number;
  readonly perSecond: number;
}

/** Time for the nodes to learn of a limit, and length of the windows in which requests are counted, in ms. */
const LEARN_MS = 1000;
const WINDOW_MS = 4000;

export const drawLimit = (random: Random, durationMs: number): SoakLimit => ({
  startMs: random() * 500,
  durationMs: durationMs - 500,
  perSecond: 4 + Math.floor(random() * 6),
});

/** Lets every worker name the limit for its time. Returns what a worker got beyond it. */
export const runLimit = async (
  workers: readonly SoakWorker[],
  { startMs, durationMs, perSecond }: SoakLimit,
): Promise<string[]> => {
  await sleepMs(startMs);
  for (const worker of workers) worker.limitPerSecond = perSecond;
  const countedFromMs = performance.now() + LEARN_MS;
  await sleepMs(durationMs);
  for (const worker of workers) worker.limitPerSecond = undefined;
  const endMs = performance.now();
  const allowed = 1.5 * perSecond * (WINDOW_MS / 1000) + 5;
  return workers.flatMap(({ id, arrivalsMs }) => {
    const counted = arrivalsMs.filter((ms) => ms >= countedFromMs && ms <= endMs);
    const windows = counted.map(
      (fromMs) => counted.filter((ms) => ms >= fromMs && ms < fromMs + WINDOW_MS).length,
    );
    const most = Math.max(0, ...windows);
    return most > allowed
      ? [`${id} got ${most} requests in 4 s with a limit of ${perSecond} a second`]
      : [];
  });
};
