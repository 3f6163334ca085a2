import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import {
  fingerprintOf,
  formatKeyPrefix,
  hasValidSignature,
  hasOtherFormatVersion,
  KeyFormatError,
  MAX_KEY_LENGTH,
  MAX_UNIQUE_PART_LENGTH,
  parseIdempotencyKey,
} from '../idempotencyKey.ts';

const FIELDS = {
  homeIncarnation: 'a1b2c3d4e5f60718',
  witnessIncarnation: '18f6071a2b3c4d5e',
  expiresAtMs: 1_800_000_000_000,
};
const prefix = formatKeyPrefix(FIELDS, 'secret');

// Guards against a prefix that is parsed differently from how it was formatted, so that a repeat goes to another home.
test('a key parses to the fields it was issued with, with and without quotes', () => {
  for (const text of [`${prefix}order-7`, `"${prefix}order-7"`]) {
    const key = parseIdempotencyKey(text);
    expect(key).toLooseEqual({ ...key, ...FIELDS, text: `${prefix}order-7` });
    expect(hasValidSignature(key, 'secret')).toEqual(true);
    expect(hasValidSignature(key, 'other')).toEqual(false);
  }
  expect(
    parseIdempotencyKey(`${formatKeyPrefix({ ...FIELDS, witnessIncarnation: undefined }, 's')}x`)
      .witnessIncarnation,
  ).toEqual(undefined);
  expect(`${prefix}${'x'.repeat(MAX_UNIQUE_PART_LENGTH)}`.length <= MAX_KEY_LENGTH).toEqual(true);
});

// Guards against a caller that edits the prefix to extend a key's lifetime or to change its home or witness.
test('an edited prefix does not match its signature', () => {
  const parts = prefix.split('.');
  for (const [index, value] of [
    [1, 'ffffffffffffffff'],
    [2, '-'],
    [3, (FIELDS.expiresAtMs + 1).toString(36)],
  ] as const) {
    const edited = parts.with(index, value).join('.');
    expect(hasValidSignature(parseIdempotencyKey(`${edited}x`), 'secret')).toEqual(false);
  }
});

test('malformed keys are rejected with a message that says what is wrong', () => {
  const cases: [string, RegExp][] = [
    ['order-7', /not issued by this system; take the prefix/],
    [prefix, /1 to 64 characters/],
    [`${prefix}a b`, /1 to 64 characters/],
    [`${prefix}a.b`, /without dots/],
    [`${prefix}${'x'.repeat(MAX_UNIQUE_PART_LENGTH + 1)}`, /1 to 64 characters/],
    ['x'.repeat(10_000), /longer than/],
    [`${prefix.replace('a1b2', 'A1B2')}x`, /home in the prefix is damaged/],
    [`${prefix.split('.').with(3, '00a').join('.')}x`, /expiry in the prefix is damaged/],
  ];
  for (const [text, message] of cases) expect(() => parseIdempotencyKey(text)).toThrow(message);
});

// Guards against returning `not-run` for a key that a node of a later version has issued and run.
test('keys of another format version are distinguished from current and foreign keys', () => {
  const other = prefix.replace('hk1.', 'hk2.');
  expect(
    [other, `"${other}x"`, `${prefix}x`, `"${prefix}x"`, 'order-7'].map(hasOtherFormatVersion),
  ).toEqual([true, true, false, false, false]);
});

// Guards against headers that crash the process and against keys with more than one accepted form.
test('any text is either rejected as malformed or parses to a key with the same text', () => {
  fc.assert(
    fc.property(fc.string({ maxLength: 200 }), (text) => {
      try {
        expect(parseIdempotencyKey(text).text).toEqual(text);
      } catch (error) {
        expect(error).toBeA(KeyFormatError);
      }
    }),
    { seed: 1, numRuns: 2000 },
  );
});

test('the fingerprint depends on method, path and body', () => {
  const body = Buffer.from('a');
  const prints = [
    fingerprintOf('POST', '/x', body),
    fingerprintOf('PUT', '/x', body),
    fingerprintOf('POST', '/y', body),
    fingerprintOf('POST', '/x', Buffer.from('b')),
  ];
  expect(new Set(prints).size).toEqual(4);
  expect(fingerprintOf('POST', '/x', Buffer.from('a'))).toEqual(prints[0] ?? '');
});
