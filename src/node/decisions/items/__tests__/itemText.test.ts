import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { ItemText } from '../itemText.ts';

const event = (number: number, version = 1) => ({ number, data: `d${number}`, version });

// Guards against missing, duplicate or misordered events, whatever the runs deliver.
test('a text contains each event once and in order', () => {
  fc.assert(
    fc.property(fc.array(fc.nat({ max: 12 }), { maxLength: 80 }), (numbers) => {
      const text = new ItemText({ minVersion: 0, singleVersion: false });
      for (const number of numbers) text.accept(event(number + 1));
      expect([...text.events]).toEqual(text.events.map((_, index) => `d${index + 1}`));
    }),
    { seed: 20261204, numRuns: 500 },
  );
});

// Guards against a run that continues after a gap as if the missing events had been delivered.
test('an event after a gap gives gap, and an event that the text contains gives repeated', () => {
  const text = new ItemText({ minVersion: 0, singleVersion: false });
  expect(text.accept(event(1))).toEqual('taken');
  expect(text.accept(event(3))).toEqual('gap');
  expect(text.accept(event(1))).toEqual('repeated');
  expect(text.accept(event(2))).toEqual('taken');
});

// Guards against a sample from an older weight version than its batch allows.
test('an event of a version below the minimum is refused', () => {
  const text = new ItemText({ minVersion: 3, singleVersion: false });
  expect(text.accept(event(1, 2))).toEqual('wrong-version');
  expect(text.accept(event(1, 4))).toEqual('taken');
  expect(text.accept(event(2, 3))).toEqual('taken');
  expect(text.versions).toEqual([3, 4]);
});

// Guards against two weight versions in a text that must come from a single one.
test('a single-version text refuses a second version until it is restarted', () => {
  const text = new ItemText({ minVersion: 1, singleVersion: true });
  text.accept(event(1, 2));
  expect(text.allows(3)).toEqual(false);
  expect(text.accept(event(2, 3))).toEqual('wrong-version');
  text.restart('1.1');
  expect(text.accept(event(1, 3))).toEqual('taken');
  expect(text.versions).toEqual([3]);
});

// Guards against continuing a text of an earlier step whose weight versions the current step does not allow.
test('an earlier text is restored only if all its versions are allowed and the text is empty', () => {
  const rules = { minVersion: 4, singleVersion: false };
  expect(new ItemText(rules).restore(['a', 'b'], [3, 4])).toEqual(false);
  const text = new ItemText(rules);
  expect(text.restore(['a', 'b'], [4, 5])).toEqual(true);
  expect(text.accept(event(3, 5))).toEqual('taken');
  expect(text.restore(['x'], [5])).toEqual(false);
  const single = new ItemText({ minVersion: 4, singleVersion: true });
  expect(single.restore(['a', 'b'], [4, 5])).toEqual(false);
});
