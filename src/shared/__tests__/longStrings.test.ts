import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { LongStrings } from '../longStrings.ts';

const resolveAll = (value: unknown, strings: LongStrings): unknown => {
  if (typeof value === 'string') return strings.resolve(value);
  if (Array.isArray(value)) return value.map((inner) => resolveAll(inner, strings));
  if (typeof value !== 'object' || value === null) return value;
  return Object.fromEntries(
    Object.entries(value).map(([key, inner]) => [key, resolveAll(inner, strings)]),
  );
};

// Guards against texts that are decoded to other values than those that were sent.
test('a text with long strings has the values of the text', () => {
  const long = fc.oneof(
    fc.integer({ min: 900, max: 3000 }).map((length) => 'QUJD'.repeat(length / 4)),
    fc.integer({ min: 900, max: 3000 }).map((length) => '\\"ü\u0001'.repeat(length / 4)),
    fc.string({ unit: 'binary' }),
  );
  const item = fc.record({
    id: fc.oneof(long, fc.constant('"body":')),
    body: long,
    headers: fc.record({ body: long }),
    other: long,
  });
  fc.assert(
    fc.property(fc.array(item, { maxLength: 4 }), fc.nat({ max: 2 }), (items, indent) => {
      const value = { items };
      const strings = new LongStrings(Buffer.from(JSON.stringify(value, null, indent)), 'body');
      // What the text itself says, because lone surrogates have no UTF-8 form.
      const expected: unknown = JSON.parse(Buffer.from(JSON.stringify(value)).toString());
      expect(resolveAll(JSON.parse(strings.text), strings)).toEqual(expected);
    }),
    { seed: 20261206, numRuns: 300 },
  );
});

// Guards against copies of a large body on the heap, which ended entry processes together with others.
test('long strings are not part of the text', () => {
  const text = JSON.stringify({ items: [{ id: 'i', body: 'QUJD'.repeat(100_000) }] });
  const strings = new LongStrings(Buffer.from(text), 'body');
  expect(strings.text.length < 200).toEqual(true);
  expect(strings.longBytes).toEqual(400_000);
});
