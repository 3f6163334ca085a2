import { randomBytes } from 'node:crypto';

/** Returns a number in [0, 1). Injected so that seeded runs are reproducible. */
export type Random = () => number;

/** The random source of the running process. */
export const systemRandom: Random = () => Math.random();

/** A deterministic generator (mulberry32) for tests and models. */
export const seededRandom = (seed: number): Random => {
  let state = seed % 2 ** 32;
  /* eslint-disable no-bitwise */
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
  /* eslint-enable no-bitwise */
};

/** Unguessable identifier of 16 hexadecimal digits, for incarnations and operations. */
export const newId = (): string => randomBytes(8).toString('hex');
