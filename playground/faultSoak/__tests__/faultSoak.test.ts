import { test } from 'node:test';
import { expect } from 'earl';
import { runSeed } from '../faultSoak.ts';

// Guards against a non-idempotent request that runs twice, a request that runs although it was refused, an accepted
// batch that is lost or changes, and tables that return to an older revision, under overlapping signals, connection
// faults and platform faults on real processes.
test(
  'real nodes under the injected faults of seed 1 violate no guarantee',
  { timeout: 120_000 },
  async () => {
    const { violations, logs } = await runSeed(1, 6000);
    if (violations.length > 0) console.log(logs.join('\n'));
    expect(violations).toEqual([]);
  },
);
