import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { MemoryShares, type MemoryUse } from '../memoryShares.ts';

const USES: readonly MemoryUse[] = ['uploads', 'decoding', 'responses', 'batches'];

const RESERVED_BYTES = 10;
const LIMIT_BYTES = 100;

const start = () => {
  const used: Record<MemoryUse, number> = { uploads: 0, decoding: 0, responses: 0, batches: 0 };
  const shareOf = (use: MemoryUse) => ({
    usedBytes: () => used[use],
    reservedBytes: () => RESERVED_BYTES,
  });
  const shares = new MemoryShares(() => LIMIT_BYTES, {
    ...{ uploads: shareOf('uploads'), decoding: shareOf('decoding') },
    ...{ responses: shareOf('responses'), batches: shareOf('batches') },
  });
  return { used, shares };
};

// Guards against uses that are each within their own limit and exceed the memory of the VM together (review/14).
test('uses that grow only into their room never exceed the limit together', () => {
  const step = fc.tuple(fc.constantFrom(...USES), fc.nat({ max: 2 * LIMIT_BYTES }));
  fc.assert(
    fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
      const { used, shares } = start();
      for (const [use, wantedBytes] of steps) {
        used[use] = Math.min(wantedBytes, shares.roomFor(use));
        const total = Object.values(used).reduce((sum, bytes) => sum + bytes, 0);
        expect(total <= LIMIT_BYTES).toEqual(true);
      }
    }),
    { seed: 20261207, numRuns: 500 },
  );
});

// Guards against a use that shuts out another one for good.
test('each use has what is reserved for it however much the others use', () => {
  const { used, shares } = start();
  Object.assign(used, { batches: 70, decoding: 60 });
  expect(shares.roomFor('uploads')).toEqual(RESERVED_BYTES);
  Object.assign(used, { batches: 0, decoding: 0 });
  expect(shares.roomFor('uploads')).toEqual(LIMIT_BYTES - 3 * RESERVED_BYTES);
});
