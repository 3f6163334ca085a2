import { test } from 'node:test';
import { expect } from 'earl';
import { DispatcherHarness } from './dispatcherHarness.ts';

/** Time that the text of an item takes, in ms. */
const TEXT_MS = 5000;

/** Longest time for which the work on an item may be lost with its dispatcher, in ms. */
const MAX_LOST_MS = 1500;

/** Time from the submission of an item until its text is complete, if its dispatcher is killed in between, in ms. */
const completionMs = async (submittedAtMs: number, killedAfterMs: number): Promise<number> => {
  using harness = new DispatcherHarness({ workers: 1, eventGapMs: 25, eventsOf: () => 200 });
  await harness.clock.advanceAsync(submittedAtMs);
  await harness.addBatch('b', 1);
  await harness.clock.advanceAsync(killedAfterMs);
  await harness.takeOver(true);
  let elapsedMs = killedAfterMs;
  while (!harness.finished.has('b-0') && elapsedMs < 4 * TEXT_MS) {
    await harness.clock.advanceAsync(50);
    elapsedMs += 50;
  }
  return elapsedMs;
};

// Guards against steps that run late after the loss of all nodes because their long items start again: no checkpoint had been
// written 2 s after they had started (czujka-ops, days scale-1 and fresh-d2c2: the trainers came to one step less).
test('a dispatcher that is killed at any moment loses at most 1.5 s of the work on an item', async () => {
  for (let submittedAtMs = 0; submittedAtMs < 1500; submittedAtMs += 250) {
    for (let killedAfterMs = 1000; killedAfterMs < 4000; killedAfterMs += 200) {
      const lostMs = (await completionMs(submittedAtMs, killedAfterMs)) - TEXT_MS;
      expect({ submittedAtMs, killedAfterMs, isLate: lostMs > MAX_LOST_MS }).toEqual({
        ...{ submittedAtMs, killedAfterMs, isLate: false },
      });
    }
  }
});
