import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { abandonedBatches, type OpenBatch } from '../abandonment.ts';

const HOUR_MS = 3_600_000;

const LIMITS = { maxUnreadMs: 6 * HOUR_MS, maxUnreadBytes: 1000, minUnreadMs: HOUR_MS / 2 };

const batchOf = (id: string, changes: Partial<OpenBatch> = {}): OpenBatch => ({
  ...{ id, bytes: 100, unreadMs: 0, knownMs: 24 * HOUR_MS, complete: false, itemTtlMs: HOUR_MS },
  ...changes,
});

const abandonedOf = (...batches: OpenBatch[]) => [...abandonedBatches(batches, LIMITS)];

// Guards against batches that are removed for their age while trainers read them.
test('a batch is abandoned after the longest time without a read, whatever its age', () => {
  const unreadMs = 6 * HOUR_MS;
  expect(abandonedOf(batchOf('read', { knownMs: 1000 * HOUR_MS }))).toEqual([]);
  expect(abandonedOf(batchOf('read before', { unreadMs: unreadMs - 1 }))).toEqual([]);
  expect(abandonedOf(batchOf('unread', { unreadMs }))).toEqual([['unread', 'unread']]);
});

// Guards against the removal of items that may still run or whose results may still be listed.
test('a batch whose items may still run is kept', () => {
  const unread = { unreadMs: 6 * HOUR_MS, itemTtlMs: 30 * HOUR_MS };
  expect(abandonedOf(batchOf('running', unread))).toEqual([]);
  expect(abandonedOf(batchOf('complete', { ...unread, complete: true }))).toEqual([
    ['complete', 'unread'],
  ]);
});

// Guards against a store that fills up with what crashed trainers leave behind.
test('of too many bytes without a reader the longest unread go first', () => {
  const batches = [1, 3, 2].map((hours) =>
    batchOf(`${hours} h`, { unreadMs: hours * HOUR_MS, bytes: 600 }),
  );
  const read = batchOf('read', { bytes: 5000 });
  const recent = batchOf('recent', { bytes: 5000, unreadMs: HOUR_MS / 2 - 1 });
  expect(abandonedOf(...batches, read, recent)).toEqual([
    ['3 h', 'bytes'],
    ['2 h', 'bytes'],
  ]);
});

// Guards against a batch that is removed although its trainer comes back in time, after pauses, take-overs and steps of the clock.
test('no batch is abandoned earlier than half an hour after a read', () => {
  const pause = fc.integer({ min: 0, max: LIMITS.minUnreadMs - 1 });
  fc.assert(
    fc.property(fc.array(fc.tuple(pause, fc.boolean()), { maxLength: 200 }), (pauses) => {
      let knownMs = 0;
      for (const [unreadMs, takeOver] of pauses) {
        // A new dispatcher has known the batch, and missed its trainer, for a shorter time.
        knownMs = takeOver ? 0 : knownMs + unreadMs;
        const batch = batchOf('b', { unreadMs, knownMs, bytes: 1e12 });
        expect(abandonedOf(batch)).toEqual([]);
      }
    }),
    { seed: 20261207, numRuns: 300 },
  );
});
