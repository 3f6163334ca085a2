import { newId, type Random } from '../../src/shared/random.ts';
import { sleepMs } from '../standIns/standInServer.ts';
import type { SoakDeployment } from './soakDeployment.ts';
import type { SoakWorker } from './soakWorker.ts';

/**
 * How a worker comes back: as a new process under the same or another ID, or as the same process, to which a network
 * device refused connections.
 */
const COME_BACKS = ['new-start', 'new-id', 'same-start'] as const;

/** The end of a worker's process: its connections are reset, and its address refuses others for `downMs`. */
export interface WorkerEnd {
  readonly worker: number;
  readonly startMs: number;
  readonly downMs: number;
  readonly comeBack: (typeof COME_BACKS)[number];
}

/** Time between the ends of a worker in a series, in ms. */
const SERIES_INTERVAL_MS = 1200;

const ALL_WORKERS = [0, 1, 2, 3];

/** Draws ends of one worker, of all one after the other, of all at once, or of each of them several times. */
export const drawWorkerEnds = (random: Random, durationMs: number): WorkerEnd[] => {
  const ends: WorkerEnd[] = [];
  for (let startMs = 500; startMs < durationMs; startMs += 1000 + random() * 3000) {
    const pattern = Math.floor(random() * 4);
    const workers = pattern === 0 ? [Math.floor(random() * ALL_WORKERS.length)] : ALL_WORKERS;
    const gapMs = pattern === 2 ? 0 : random() * 400;
    const rounds = pattern === 3 ? 2 + Math.floor(random() * 3) : 1;
    const downMs = 100 + random() * (pattern === 3 ? SERIES_INTERVAL_MS / 2 : 2000);
    const comeBack = COME_BACKS[Math.floor(random() * COME_BACKS.length)] ?? 'new-start';
    for (let round = 0; round < rounds; round += 1) {
      workers.forEach((worker, position) => {
        const atMs = startMs + round * SERIES_INTERVAL_MS + position * gapMs;
        if (atMs < durationMs) ends.push({ worker, startMs: atMs, downMs, comeBack });
      });
    }
  }
  return ends;
};

/** Workers that have ended and are not registered again yet. */
const endedWorkers = new WeakSet<SoakWorker>();

/** Ends the process of a worker and starts it again. The platform's registrations follow. */
export const endWorker = async (
  deployment: SoakDeployment,
  { worker: index, downMs, comeBack }: WorkerEnd,
): Promise<void> => {
  const worker = deployment.workers[index];
  const proxy = deployment.workerProxies[index];
  if (worker === undefined || proxy === undefined || endedWorkers.has(worker)) return;
  endedWorkers.add(worker);
  proxy.refuse();
  await sleepMs(downMs);
  if (comeBack === 'new-id') {
    await deployment.register(index, 'DELETE');
    worker.id = newId();
  }
  if (comeBack !== 'same-start') worker.startedAtMs = Date.now();
  await proxy.listen(deployment.workerPorts[index]);
  if (comeBack !== 'same-start') {
    await deployment.register(index, comeBack === 'new-id' ? 'POST' : 'PUT');
  }
  endedWorkers.delete(worker);
};
