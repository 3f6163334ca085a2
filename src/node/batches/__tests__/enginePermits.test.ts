import { test } from 'node:test';
import { expect } from 'earl';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import type { RegisteredWorker } from '../../gateway/workerRegistry.ts';
import { EnginePermits } from '../enginePermits.ts';

const WORKERS = ['w1', 'w2'].map((id) => ({ id }) as RegisteredWorker);

/** Permits of a dispatcher for two workers with a limit; each request for permits is granted at once. */
const startPermits = () => {
  const clock = new VirtualClock();
  const asked: number[] = [];
  const permits = new EnginePermits({
    ...{ pool: 'p', clock, limits: { of: () => 5 } },
    permits: {
      obtain: ({ count = 1 }) => {
        asked.push(count);
        const granted = Array.from({ length: count }, (_each, index) => ({
          ...{ worker: 'w1', delayMs: index * 100 },
        }));
        return Promise.resolve({ permits: granted, retryAfterMs: 0, issuer: 'n' });
      },
    },
  });
  return { clock, asked, permits };
};

test('permits that were not used in time do not let a worker get a burst later', async () => {
  const { clock, permits } = startPermits();
  await permits.ask([{ workers: WORKERS, count: 3 }], () => {});
  clock.advance(250);
  expect(permits.available('w1')).toEqual(3);
  clock.advance(5000);
  expect(permits.available('w1')).toEqual(0);
});

test('a permit starts one item, once its delay is over, on its own worker', async () => {
  const { clock, permits } = startPermits();
  await permits.ask([{ workers: WORKERS, count: 2 }], () => {});
  expect([permits.available('w1'), permits.available('w2')]).toEqual([1, 0]);
  permits.use('w1');
  expect(permits.available('w1')).toEqual(0);
  clock.advance(100);
  expect(permits.available('w1')).toEqual(1);
});

test('no permits are asked for while enough are held', async () => {
  const { clock, asked, permits } = startPermits();
  await permits.ask([{ workers: WORKERS, count: 2 }], () => {});
  clock.advance(10);
  await permits.ask([{ workers: WORKERS, count: 2 }], () => {});
  await permits.ask([{ workers: WORKERS, count: 3 }], () => {});
  expect(asked).toEqual([2, 1]);
});

// Guards against items that wait for as long as the permits of workers that cannot run them are used up.
test('a demand that was denied does not hold up one for other workers', async () => {
  const clock = new VirtualClock();
  const asked: string[][] = [];
  const permits = new EnginePermits({
    ...{ pool: 'p', clock, limits: { of: () => 5 } },
    permits: {
      obtain: ({ workers }) => {
        asked.push(workers.map(({ id }) => id));
        return Promise.resolve({ permits: [], retryAfterMs: 3000, issuer: 'n' });
      },
    },
  });
  const demands = WORKERS.map((worker) => ({ workers: [worker], count: 1 }));
  for (let times = 0; times < 3; times += 1) await permits.ask(demands, () => {});
  clock.advance(3000);
  await permits.ask(demands, () => {});
  expect(asked).toEqual([['w1'], ['w2'], ['w1']]);
});
