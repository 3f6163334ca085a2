import { test } from 'node:test';
import { expect } from 'earl';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import type { RegisteredWorker, WorkerRegistry } from '../../gateway/workerRegistry.ts';
import type { WeightLoads } from '../../weights/weightLoads.ts';
import { EngineWorkers } from '../engineWorkers.ts';
import type { ItemRun } from '../itemRun.ts';
import { leaveSlowWorkers } from '../runWatch.ts';

const workers = ['slow', 'usual', 'failing'].map((id) => ({ id, slots: 8 }) as RegisteredWorker);
const weights = { versionOf: () => 1 } as unknown as WeightLoads;

/** Three workers, one of them slow, and a run on it. */
const startRun = (elapsedMs: number) => {
  const clock = new VirtualClock();
  const known = new EngineWorkers({
    ...{ clock, pool: 'p', weights, engine: () => undefined },
    registry: { usable: () => workers } as unknown as WorkerRegistry,
  });
  for (let event = 0; event < 4; event += 1) {
    known.gap('slow', 200);
    known.gap('usual', 20);
    known.gap('failing', 20);
  }
  const stopped: string[] = [];
  const run = {
    ...{ elapsedMs, worker: workers[0] },
    state: { batch: { record: { model: 'm' } }, text: { allows: () => true } },
    stop: (reason: string) => stopped.push(reason),
  } as unknown as ItemRun;
  const watch = (running: ReadonlyMap<string, number>) =>
    leaveSlowWorkers([run], running, known, weights);
  return { clock, known, stopped, watch };
};

// Guards against runs that move from worker to worker and read their prompts each time.
test('a run leaves a slow worker, but not before it had time to read its prompt', () => {
  const { stopped, watch } = startRun(600);
  watch(new Map([['slow', 1]]));
  expect(stopped).toEqual(['slow-worker']);
  const young = startRun(100);
  young.watch(new Map([['slow', 1]]));
  expect(young.stopped).toEqual([]);
});

// Guards against runs that leave a slow worker for one that has crashed, come back and leave again (own day late-orders,
// tvf-quotes, seed 615697127538: 96 moves in a second).
test('a run stays on a slow worker while only failing workers have room', () => {
  const { clock, known, stopped, watch } = startRun(600);
  for (let failure = 0; failure < 3; failure += 1) known.record('failing', 'failed');
  // The worker may be tried again by now, but it is not trusted yet.
  clock.advance(900);
  watch(
    new Map([
      ['slow', 1],
      ['usual', 8],
    ]),
  );
  expect(stopped).toEqual([]);
});
