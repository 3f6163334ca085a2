import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { ResponseMemory } from '../responseMemory.ts';

// Guards against small responses that fail because a response without end occupies the memory.
test('the largest response is evicted when the memory is used up', () => {
  const memory = new ResponseMemory(100);
  const evicted: string[] = [];
  const add = (name: string) => memory.add(() => evicted.push(name));
  const large = add('large');
  const small = add('small');
  large.grow(90);
  small.grow(20);
  expect(evicted).toEqual(['large']);
  large.grow(500);
  expect(memory.usedBytes).toEqual(20);
});

// Guards against memory that is counted twice or never released, and against a limit that is exceeded.
test('the used memory is the size of the responses that are being read, and within the limit', () => {
  fc.assert(
    fc.property(
      fc.array(fc.tuple(fc.nat({ max: 4 }), fc.integer({ min: 0, max: 60 })), { maxLength: 60 }),
      (steps) => {
        const memory = new ResponseMemory(100);
        const sizes = [0, 0, 0, 0, 0];
        const open = sizes.map(() => true);
        const responses = sizes.map((_, index) =>
          memory.add(() => {
            expect(sizes[index]).toEqual(Math.max(...sizes));
            sizes[index] = 0;
            open[index] = false;
          }),
        );
        for (const [index, bytes] of steps) {
          if (bytes === 0) {
            responses[index]?.[Symbol.dispose]();
            sizes[index] = 0;
            open[index] = false;
          } else {
            if (open[index]) sizes[index] = (sizes[index] ?? 0) + bytes;
            responses[index]?.grow(bytes);
          }
          expect(memory.usedBytes).toEqual(sizes.reduce((sum, size) => sum + size, 0));
          expect(memory.usedBytes <= 100).toEqual(true);
        }
      },
    ),
    { seed: 20261205, numRuns: 300 },
  );
});
