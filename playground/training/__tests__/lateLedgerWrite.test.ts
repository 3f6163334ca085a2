import { test } from 'node:test';
import { expect } from 'earl';
import { violationsOf } from '../model/scheduleArbitrary.ts';

// Guards against an owner that holds the lease but does no work. A write of the former owner took effect after the new
// owner had read the ledger, and the new owner took the conflict for a takeover by a later owner
// (seen with npm run soak -- --seed 4426356).
test('a late ledger write of the former owner does not stop the new owner', async () => {
  const faults = [
    { kind: 'slow-platform', atMs: 4221, durationMs: 488, node: 0 },
    { kind: 'publish', atMs: 2897, durationMs: 2821, node: 2 },
    { kind: 'pause', atMs: 920, durationMs: 2795, node: 0 },
    { kind: 'outage', atMs: 142, durationMs: 2934, node: 1 },
    { kind: 'engine-failures', atMs: 3218, durationMs: 920, node: 0 },
    { kind: 'crash', atMs: 3735, durationMs: 5864, node: 1 },
  ] as const;
  expect(await violationsOf({ seed: 2147483621, faults })).toEqual([]);
});
