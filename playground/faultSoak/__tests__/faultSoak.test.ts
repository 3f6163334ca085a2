import { test } from 'node:test';
import { expect } from 'earl';
import { runSeed } from '../faultSoak.ts';

// Guards against a request that runs twice or is refused falsely, an accepted batch that is lost or changes, and tables
// that revert, under signals, cut paths and faults of the platform that overlap, on real processes.
test('nodes keep their promises under faults from outside', { timeout: 120_000 }, async () => {
  const { violations, logs } = await runSeed(1, 6000);
  if (violations.length > 0) console.log(logs.join('\n'));
  expect(violations).toEqual([]);
});
