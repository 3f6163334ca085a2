import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { type PositionedTokens, ResumptionError, StreamResumption } from '../streamResumption.ts';

const tokenAt = (position: number): number => (position * 7919) % 1000;

const chunk = (position: number, count: number): PositionedTokens => ({
  position,
  tokenIds: Array.from({ length: count }, (_, index) => tokenAt(position + index)),
});

/** Generates attempts: where each starts relative to the delivered tokens, and the chunks it sends before crashing. */
const attempts = fc.array(
  fc.record({ back: fc.nat(3), skip: fc.nat(9), sizes: fc.array(fc.integer({ min: 1, max: 4 })) }),
  { maxLength: 12 },
);

type Accept = (joined: StreamResumption, next: PositionedTokens, out: number[]) => void;

/** Runs attempts that start too early, skip tokens or crash, and checks the tokens that a caller would receive. */
const runAttempts = (accept: Accept) => {
  fc.assert(
    fc.property(attempts, (plans) => {
      const joined = new StreamResumption(60);
      const out: number[] = [];
      for (const { back, skip, sizes } of plans) {
        let position = Math.max(0, joined.delivered.length - back) + (skip === 9 ? 1 : 0);
        try {
          for (const size of sizes) {
            accept(joined, chunk(position, size), out);
            position += size;
          }
        } catch (error) {
          if (!(error instanceof ResumptionError)) throw error;
        }
      }
      expect(out).toEqual(out.map((_, position) => tokenAt(position)));
      expect(out.length <= 60).toEqual(true);
    }),
    { seed: 20_260_103, numRuns: 500 },
  );
};

// Guards against lost and duplicated tokens when attempts crash, start over or skip tokens.
test('a stream joined from random attempts contains every token once and in order', () => {
  runAttempts((joined, next, out) => {
    if (joined.accept(next)) out.push(...next.tokenIds);
  });
});

// Shows that the property above can fail: passing on every chunk, as a naive resumption does, repeats or loses tokens.
test('passing chunks on without checking their position violates the property', () => {
  expect(() =>
    runAttempts((joined, next, out) => {
      out.push(...next.tokenIds);
      joined.accept(next);
    }),
  ).toThrow();
});

// Guards against joining parts of two different texts into one response.
test('a repeated token that differs from the delivered one throws and leaves the delivered tokens unchanged', () => {
  const joined = new StreamResumption(10);
  joined.accept({ position: 0, tokenIds: [1, 2] });
  expect(() => joined.accept({ position: 1, tokenIds: [9] })).toThrow(ResumptionError);
  expect(joined.delivered).toEqual([1, 2]);
});
