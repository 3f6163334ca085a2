import fc from 'fast-check';
import { createExpiryClock } from '../../decisions/keyExpiry.ts';
import { KeyHome } from '../../decisions/keyHome.ts';
import { KeyWitness, outcomeAfterSeal } from '../../decisions/keyWitness.ts';
import type { Design, Step } from './keyedModel.ts';

/** The design used in production. */
export const PRODUCTION_DESIGN: Design = {
  createHome: (options) => new KeyHome(options),
  createWitness: (options) => new KeyWitness(options),
  createNow: createExpiryClock,
  outcomeAfterSeal,
  witnesses: true,
};

const atMs = fc.integer({ min: 0, max: 4000 });
const node = fc.integer({ min: 0, max: 2 });
const send = fc.record({
  kind: fc.constant('send' as const),
  atMs,
  key: fc.integer({ min: 0, max: 8 }),
  entry: node,
  body: fc.integer({ min: 0, max: 19 }).map((value) => (value === 0 ? 1 : 0)),
});
const fault: fc.Arbitrary<Step> = fc.oneof(
  fc.record({
    kind: fc.constant('pause' as const),
    atMs,
    node,
    forMs: fc.integer({ min: 50, max: 3000 }),
  }),
  fc.record({ kind: fc.constant('crash' as const), atMs, node }),
  fc.record({
    kind: fc.constant('jump' as const),
    atMs,
    node,
    byMs: fc.integer({ min: -4000, max: 4000 }),
    // A clock adjustment may be reverted later.
    backAfterMs: fc.option(fc.integer({ min: 100, max: 1000 })),
  }),
);
/** Generates requests and faults of homes, witnesses and clocks. */
export const keyedSchedule = fc.record({
  seed: fc.nat(),
  sends: fc.array(send, { minLength: 4, maxLength: 30 }),
  faults: fc.array(fault, { maxLength: 6 }),
});
