import { test } from 'node:test';
import { expect } from 'earl';
import { sleep } from '../../../shared/clock.ts';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import { ProgressGuard } from '../progressGuard.ts';

const IDLE_MS = 5000;
const PROBE_MS = 1000;

const setUp = (isWorking: () => boolean) => {
  const clock = new VirtualClock();
  const startMs = clock.monotonicMs();
  let silentAfterMs: number | undefined;
  const guard = new ProgressGuard({
    clock,
    idleMs: IDLE_MS,
    probe: async () => {
      await sleep(clock, PROBE_MS);
      return isWorking();
    },
    onSilent: () => {
      silentAfterMs = clock.monotonicMs() - startMs;
    },
  });
  return { clock, guard, silentAfterMs: () => silentAfterMs };
};

// Guards against silent connections that are found later than the stated bound of idle time plus probe.
test('a silent worker is found within idle time plus probe', async () => {
  const { clock, guard, silentAfterMs } = setUp(() => false);
  guard.wait();
  await clock.advanceAsync(3000);
  guard.progress();
  guard.wait();
  await clock.advanceAsync(60_000);
  expect(silentAfterMs()).toEqual(3000 + IDLE_MS + PROBE_MS);
});

// Guards against cutting slow streams of healthy workers, and streams whose caller reads slowly.
test('slow workers and slow readers are not cut', async () => {
  const slow = setUp(() => true);
  slow.guard.wait();
  await slow.clock.advanceAsync(600_000);
  expect(slow.silentAfterMs()).toEqual(undefined);
  const reader = setUp(() => false);
  reader.guard.wait();
  reader.guard.progress();
  await reader.clock.advanceAsync(600_000);
  expect(reader.silentAfterMs()).toEqual(undefined);
  expect(reader.clock.nextTimerInMs()).toEqual(undefined);
});

// Guards against a negative probe that ends a stream whose bytes arrived while the probe was under way.
test('progress overtakes a negative probe', async () => {
  const { clock, guard, silentAfterMs } = setUp(() => false);
  guard.wait();
  await clock.advanceAsync(IDLE_MS + PROBE_MS / 2);
  guard.progress();
  guard.wait();
  await clock.advanceAsync(PROBE_MS);
  expect(silentAfterMs()).toEqual(undefined);
  await clock.advanceAsync(IDLE_MS + PROBE_MS);
  expect(silentAfterMs() !== undefined).toEqual(true);
});
