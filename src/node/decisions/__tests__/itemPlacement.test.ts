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
  paceFactor: 1,
  versionOf: () => 5,
  holdsPrompt: () => false,
  ...parts,
});

// Guards against a worker that gets more than it can run, and items that wait beside free slots.
test('no worker gets more than its free slots and no slot stays empty while items wait', () => {
  fc.assert(
    fc.property(
      fc.nat({ max: 60 }),
      fc.array(fc.nat({ max: 8 }), { minLength: 1, maxLength: 8 }),
      (itemCount, rooms) => {
        const items = Array.from({ length: itemCount }, (_, index) => item(`i${index}`));
        const workers = rooms.map((freeSlots, index) => worker(`w${index}`, { freeSlots }));
        const placements = placeItems(items, workers);
        const room = rooms.reduce((sum, slots) => sum + slots, 0);
        expect(placements.length).toEqual(Math.min(itemCount, room));
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

// Guards against a long item that begins last and holds up its step.
test('the longest item of the earliest batch comes first', () => {
  const items = [
    item('late', { batchRank: 2, expectedTokens: 9000 }),
    item('short', { expectedTokens: 10 }),
    item('long', { expectedTokens: 5000 }),
  ];
  const placements = placeItems(items, [worker('w', { freeSlots: 2 })]);
  expect(placements.map((placement) => placement.item)).toEqual(['long', 'short']);
});

// Guards against a run under weights that its batch does not allow.
test('an item goes only to workers whose version it allows', () => {
  const old = item('a', { allows: (version) => version >= 6 });
  const workers = [
    worker('old'),
    worker('new', { versionOf: () => 6 }),
    worker('loading', { versionOf: () => undefined }),
  ];
  expect(placeItems([old], workers)).toEqual([{ item: 'a', worker: 'new' }]);
  expect(placeItems([old], [worker('old')])).toEqual([]);
});

// Guards against items that return to the worker that has just failed them.
test('an item avoids the worker that it has left unless there is no other', () => {
  const left = item('a', { avoid: 'w1' });
  expect(placeItems([left], [worker('w1'), worker('w2', { running: 7 })])[0]?.worker).toEqual('w2');
  expect(placeItems([left], [worker('w1')])[0]?.worker).toEqual('w1');
});

// Guards against long items on a slow worker while others have room.
test('a slow worker is used last', () => {
  const items = Array.from({ length: 8 }, (_, index) => item(`i${index}`));
  const placements = placeItems(items, [worker('slow', { paceFactor: 3 }), worker('usual')]);
  expect(placements.every((placement) => placement.worker === 'usual')).toEqual(true);
});
