import { test } from 'node:test';
import { expect } from 'earl';
import { TrialSlots } from '../trialSlots.ts';

const { signal } = new AbortController();

// Guards against several deadly requests at once on many workers, and against suspected requests that never get their turn.
test('no more trials run than there are slots, and each waiting one gets its turn', async () => {
  const slots = new TrialSlots();
  const started: number[] = [];
  const held: Disposable[] = [];
  const acquire = async (index: number) => {
    const slot = await slots.acquire('p', 2, signal);
    started.push(index);
    if (slot !== undefined) held.push(slot);
  };
  const all = [0, 1, 2, 3].map(acquire);
  await Promise.all(all.slice(0, 2));
  expect(started).toEqual([0, 1]);
  held.shift()?.[Symbol.dispose]();
  await all[2];
  expect(started).toEqual([0, 1, 2]);
  for (const slot of held) slot[Symbol.dispose]();
  await all[3];
  expect(started).toEqual([0, 1, 2, 3]);
});

// Guards against a slot that is lost to a request whose caller left while it waited.
test('a request that is aborted while it waits takes no slot', async () => {
  const slots = new TrialSlots();
  const first = await slots.acquire('p', 1, signal);
  const abort = new AbortController();
  const aborted = slots.acquire('p', 1, abort.signal);
  const last = slots.acquire('p', 1, signal);
  abort.abort();
  expect(await aborted).toEqual(undefined);
  first?.[Symbol.dispose]();
  expect((await last) === undefined).toEqual(false);
});
