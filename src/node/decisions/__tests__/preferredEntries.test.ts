import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { preferredEntries } from '../preferredEntries.ts';

const nodes = (count: number, capacityMillicores: number) =>
  Array.from({ length: count }, (_, index) => ({
    name: `${capacityMillicores}-${index}`,
    capacityMillicores,
  }));

// Guards against callers that are sent to the smallest nodes of a fleet: 18 nodes of 1.35 cores beside 147 of 0.324.
test('a fleet of unequal nodes lists its large nodes', () => {
  const large = nodes(18, 1350);
  expect(preferredEntries([...nodes(147, 324), ...large])).toEqual(large);
});

// Guards against a few large nodes that get the requests of the whole fleet.
test('few or weak large nodes are listed with all others', () => {
  const few = [...nodes(5, 1350), ...nodes(10, 324)];
  expect(preferredEntries(few)).toEqual(few);
  const weak = [...nodes(6, 1350), ...nodes(200, 324)];
  expect(preferredEntries(weak)).toEqual(weak);
});

// Guards against an empty list, and against nodes left out where all are alike.
test('equal nodes are all listed, and none is listed twice', () => {
  fc.assert(
    fc.property(fc.array(fc.constantFrom(324, 675, 1350), { maxLength: 60 }), (capacities) => {
      const all = capacities.map((capacityMillicores, name) => ({ name, capacityMillicores }));
      const listed = preferredEntries(all);
      expect(listed.length === 0).toEqual(all.length === 0);
      expect(new Set(listed).size).toEqual(listed.length);
      if (new Set(capacities).size <= 1) expect(listed).toEqual(all);
    }),
    { seed: 20261204 },
  );
});
