import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { base64Length, decodeBase64, writeBase64 } from '../base64.ts';

const SEED = { seed: 20261207, numRuns: 200 };

/** Sizes around the boundary of the chunks in which long texts are converted. */
const size = fc.oneof(
  fc.nat({ max: 100 }),
  fc.integer({ min: 36_860, max: 36_870 }),
  fc.nat({ max: 90_000 }),
);

// Guards against bodies that are stored or sent with other bytes than those that were submitted.
test('bytes are the same after they were encoded and decoded', () => {
  fc.assert(
    fc.property(size, fc.nat({ max: 255 }), (length, first) => {
      const bytes = Uint8Array.from({ length }, (_, index) => (first + index * 7) % 256);
      const target = Buffer.alloc(base64Length(length) + 2);
      expect(writeBase64(bytes, target, 1)).toEqual(base64Length(length));
      const text = target.subarray(1, target.length - 1);
      expect(text.toString()).toEqual(Buffer.from(bytes).toString('base64'));
      expect(Buffer.from(decodeBase64(text)).equals(bytes)).toEqual(true);
    }),
    SEED,
  );
});

// Guards against texts of other writers, with line breaks or of the URL alphabet, that lose bytes at the boundary of a chunk.
test('any text is decoded as a whole string would be', () => {
  const character = fc.constantFrom('A', 'z', '9', '+', '/', '-', '_', '=', '\n', '!');
  fc.assert(
    fc.property(size, fc.array(character, { maxLength: 9 }), fc.nat(), (length, inserted, at) => {
      const valid = Buffer.alloc(length, 5).toString('base64');
      const position = at % (valid.length + 1);
      const text = valid.slice(0, position) + inserted.join('') + valid.slice(position);
      const expected = Buffer.from(text, 'base64');
      expect(Buffer.from(decodeBase64(Buffer.from(text))).equals(expected)).toEqual(true);
    }),
    SEED,
  );
});

// Guards against decoded bodies whose memory cannot be returned, because it is part of a larger buffer.
test('decoded bytes own their memory', () => {
  for (const length of [1, 2, 3, 1000, 36_865]) {
    const { buffer } = decodeBase64(Buffer.from(Buffer.alloc(length).toString('base64')));
    expect(buffer.byteLength).toEqual(length);
  }
});
