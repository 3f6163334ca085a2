import { test } from 'node:test';
import { expect } from 'earl';
import { SharedBytes } from '../sharedBytes.ts';

const BYTES = 10_000;

// Guards against a request or response whose bytes are returned while they are being sent.
test('dropped bytes stay valid for those who hold them', () => {
  const source = new Uint8Array(BYTES).fill(7);
  const shared = new SharedBytes(source);
  const [first, second] = [shared.hold(), shared.hold()];
  shared.drop();
  first[Symbol.dispose]();
  first[Symbol.dispose]();
  expect(second.bytes.every((byte) => byte === 7)).toEqual(true);
  second[Symbol.dispose]();
  expect(source.byteLength).toEqual(0);
});

// Guards against bytes of a received message that are returned together with the rest of it.
test('bytes that are part of a larger buffer are copied', () => {
  const message = new Uint8Array(2 * BYTES).fill(7);
  const shared = new SharedBytes(message.subarray(BYTES));
  const held = shared.hold();
  message.fill(1);
  expect(held.bytes.every((byte) => byte === 7)).toEqual(true);
  held[Symbol.dispose]();
  shared.drop();
  expect(message.byteLength).toEqual(2 * BYTES);
});
