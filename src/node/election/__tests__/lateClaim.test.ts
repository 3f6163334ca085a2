import { test } from 'node:test';
import { expect } from 'earl';
import { LateWritesPlatform, startElections } from './twoElections.ts';

// Guards against a pool without a dispatcher for a minute: the claim of a node that has given up is carried out late, so the
// record names a node that does not know of it, and the holder that finds the record gives the pool up.
test('a claim that is carried out after it was given up leaves no pool without a holder', async () => {
  const platform = new LateWritesPlatform();
  const { clock, seen, holders, elections } = startElections(platform);
  await clock.advanceAsync(3000);
  const [holder = ''] = holders();
  seen.set(holder, { suspected: true });
  platform.withholdWrites = true;
  await clock.advanceAsync(1500);
  seen.set(holder, { suspected: false });
  await clock.advanceAsync(1500);
  platform.withholdWrites = false;
  expect(holders()).toEqual([holder]);
  await platform.carryOut();
  await clock.advanceAsync(6000);
  expect(holders().length).toEqual(1);
  for (const election of elections) election[Symbol.dispose]();
});

// Guards against orders of two holders in quick succession: a node whose own late claim is the record takes itself for its
// predecessor, and neither asks the holder before it to stop nor waits for its last orders.
test('a node that finds its own late claim names the holder before it as its predecessor', async () => {
  const platform = new LateWritesPlatform();
  const { clock, seen, holders, events, elections } = startElections(platform);
  await clock.advanceAsync(3000);
  const [holder = ''] = holders();
  const other = holder === 'a' ? 'b' : 'a';
  seen.set(holder, { suspected: true });
  platform.withholdWrites = true;
  await clock.advanceAsync(1500);
  seen.set(holder, { suspected: false });
  await clock.advanceAsync(1500);
  platform.withholdWrites = false;
  await platform.carryOut();
  await clock.advanceAsync(6000);
  expect(events).toEqual([
    `${holder} elected 1 after undefined`,
    `${other} elected 3 after ${holder}`,
  ]);
  for (const election of elections) election[Symbol.dispose]();
});
