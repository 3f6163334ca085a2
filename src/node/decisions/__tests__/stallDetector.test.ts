import { test } from 'node:test';
import { expect } from 'earl';
import { sleep } from '../../../shared/clock.ts';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import { StallDetector } from '../stallDetector.ts';

const IDLE_MS = 5000;
const PROBE_MS = 1000;

const setUp = (isWorking: () => boolean) => {
  const clock = new VirtualClock();
  const startMs = clock.monotonicMs();
  let stalledAfterMs: number | undefined;
  const detector = new StallDetector({
    clock,
    idleMs: IDLE_MS,
    probe: async () => {
      await sleep(clock, PROBE_MS);
      return isWorking();
    },
    onStalled: () => {
      stalledAfterMs = clock.monotonicMs() - startMs;
    },
  });
  return { clock, detector, stalledAfterMs: () => stalledAfterMs };
};

// Guards against detecting a stalled connection later than the documented bound.
test('a stalled worker is detected after the idle time plus one probe', async () => {
  const { clock, detector, stalledAfterMs } = setUp(() => false);
  detector.startWaiting();
  await clock.advanceAsync(3000);
  detector.recordProgress();
  detector.startWaiting();
  await clock.advanceAsync(60_000);
  expect(stalledAfterMs()).toEqual(3000 + IDLE_MS + PROBE_MS);
});

// Guards against aborting slow streams of healthy workers, and streams whose caller reads slowly.
test('a slow worker with positive probes and a slow reader are not reported as stalled', async () => {
  const slow = setUp(() => true);
  slow.detector.startWaiting();
  await slow.clock.advanceAsync(600_000);
  expect(slow.stalledAfterMs()).toEqual(undefined);
  const reader = setUp(() => false);
  reader.detector.startWaiting();
  reader.detector.recordProgress();
  await reader.clock.advanceAsync(600_000);
  expect(reader.stalledAfterMs()).toEqual(undefined);
  expect(reader.clock.nextTimerInMs()).toEqual(undefined);
});

// Guards against a negative probe that aborts a stream although bytes arrived during the probe.
test('a negative probe is ignored if progress occurred during the probe', async () => {
  const { clock, detector, stalledAfterMs } = setUp(() => false);
  detector.startWaiting();
  await clock.advanceAsync(IDLE_MS + PROBE_MS / 2);
  detector.recordProgress();
  detector.startWaiting();
  await clock.advanceAsync(PROBE_MS);
  expect(stalledAfterMs()).toEqual(undefined);
  await clock.advanceAsync(IDLE_MS + PROBE_MS);
  expect(stalledAfterMs() !== undefined).toEqual(true);
});
