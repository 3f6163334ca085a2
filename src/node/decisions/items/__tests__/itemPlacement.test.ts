import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { type PlacementWorker, placeItems, type WaitingItem } from '../itemPlacement.ts';

const item = (key: string, parts: Partial<WaitingItem> = {}): WaitingItem => ({
  key,
  batchRank: 1,
  expectedTokens: 100,
  prompt: key,
  model: 'm',
  allows: () => true,
  ...parts,
});

const worker = (id: string, parts: Partial<PlacementWorker> = {}): PlacementWorker => ({
  id,
  freeSlots: 8,
  running: 0,
  slowdown: 1,
  versionOf: () => 5,
  hasProcessedPrompt: () => false,
  ...parts,
});

// Guards against overloaded workers and against items that wait although slots are free.
test('no worker gets more items than free slots, and no slot stays free while items wait', () => {
  fc.assert(
    fc.property(
      fc.nat({ max: 60 }),
      fc.array(fc.nat({ max: 8 }), { minLength: 1, maxLength: 8 }),
      (itemCount, slotCounts) => {
        const items = Array.from({ length: itemCount }, (_, index) => item(`i${index}`));
        const workers = slotCounts.map((freeSlots, index) => worker(`w${index}`, { freeSlots }));
        const placements = placeItems(items, workers);
        const totalSlots = slotCounts.reduce((sum, slots) => sum + slots, 0);
        expect(placements.length).toEqual(Math.min(itemCount, totalSlots));
        for (const { id, freeSlots } of workers) {
          const given = placements.filter((placement) => placement.worker === id).length;
          expect(given <= freeSlots).toEqual(true);
        }
        expect(new Set(placements.map((placement) => placement.item)).size).toEqual(
          placements.length,
        );
      },
    ),
    { seed: 20261204, numRuns: 300 },
  );
});

// Guards against a long item that starts last and delays the end of its step.
test('items of the earliest batch are placed first, longest first', () => {
  const items = [
    item('late', { batchRank: 2, expectedTokens: 9000 }),
    item('short', { expectedTokens: 10 }),
    item('long', { expectedTokens: 5000 }),
  ];
  const placements = placeItems(items, [worker('w', { freeSlots: 2 })]);
  expect(placements.map((placement) => placement.item)).toEqual(['long', 'short']);
});

// Guards against a run with a weight version that the item's batch does not allow.
test('an item is placed only on a worker whose weight version it allows', () => {
  const restricted = item('a', { allows: (version) => version >= 6 });
  const workers = [
    worker('old'),
    worker('new', { versionOf: () => 6 }),
    worker('loading', { versionOf: () => undefined }),
  ];
  expect(placeItems([restricted], workers)).toEqual([{ item: 'a', worker: 'new' }]);
  expect(placeItems([restricted], [worker('old')])).toEqual([]);
});

// Guards against items that return to the worker on which they have just failed.
test('an item returns to its avoided worker only if there is no other', () => {
  const failed = item('a', { avoidedWorker: 'w1' });
  expect(placeItems([failed], [worker('w1'), worker('w2', { running: 7 })])[0]?.worker).toEqual(
    'w2',
  );
  expect(placeItems([failed], [worker('w1')])[0]?.worker).toEqual('w1');
});

// Guards against items on a slow worker while others have free slots.
test('a slow worker gets no items while a worker of the usual speed has free slots', () => {
  const items = Array.from({ length: 8 }, (_, index) => item(`i${index}`));
  const placements = placeItems(items, [worker('slow', { slowdown: 3 }), worker('usual')]);
  expect(placements.every((placement) => placement.worker === 'usual')).toEqual(true);
});

// Guards against several items that may end their worker on the same one: an innocent one would be held to be deadly.
test('suspected items start on different workers, and not where another one has just started', () => {
  const items = ['a', 'b', 'c'].map((key) => item(key, { suspicion: 'weak' }));
  const workers = [
    worker('w1', { trialRoom: 1 }),
    worker('w2', { trialRoom: 1 }),
    worker('w3', { trialRoom: 0, hasYoungTrial: true }),
  ];
  const placements = placeItems([...items, item('other')], workers);
  const suspected = placements.filter((placement) => placement.item !== 'other');
  expect(suspected.map((placement) => placement.worker).sort()).toEqual(['w1', 'w2']);
  expect(placements.length).toEqual(3);
});

// Guards against a deadly item that takes other suspected ones with it a second time.
test('a strong suspect starts only where no other trial is young, and nothing suspected beside it', () => {
  const workers = [
    worker('w1', { trialRoom: 4, hasYoungTrial: true }),
    worker('w2', { trialRoom: 4 }),
  ];
  const strong = item('strong', { suspicion: 'strong', expectedTokens: 200 });
  const weak = ['a', 'b'].map((key) => item(key, { suspicion: 'weak' }));
  expect(placeItems([strong, ...weak], workers)).toEqual([
    { item: 'strong', worker: 'w2' },
    { item: 'a', worker: 'w1' },
    { item: 'b', worker: 'w1' },
  ]);
});
