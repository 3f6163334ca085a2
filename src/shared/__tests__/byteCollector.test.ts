import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { ByteCollector, freeChunk } from '../byteCollector.ts';

const MAX_BYTES = 1024 * 1024;

// Guards against lost, repeated or reordered bytes where the buffer grows.
test('the joined bytes are those of the chunks', () => {
  const chunk = fc.oneof(
    fc.uint8Array({ maxLength: 50 }),
    fc.integer({ min: 0, max: 100_000 }).map((length) => new Uint8Array(length).fill(length % 251)),
  );
  fc.assert(
    fc.property(fc.array(chunk, { maxLength: 10 }), (chunks) => {
      const collector = new ByteCollector(MAX_BYTES);
      for (const bytes of chunks) {
        const capacity = collector.capacityFor(collector.sizeBytes + bytes.length);
        expect(capacity >= collector.sizeBytes + bytes.length).toEqual(true);
        collector.append(bytes);
      }
      expect(collector.bytes().equals(Buffer.concat(chunks))).toEqual(true);
    }),
    { seed: 20261206, numRuns: 200 },
  );
});

// Guards against tiny chunks that cost many times their bytes, which ended entry processes.
test('chunks of one byte take the memory of their bytes', () => {
  const collector = new ByteCollector(MAX_BYTES);
  const byte = Buffer.from('x');
  for (let count = 0; count < 500_000; count += 1) collector.append(byte);
  expect(collector.capacityFor(500_000) <= 512 * 1024).toEqual(true);
  expect(collector.bytes().length).toEqual(500_000);
  collector.discard();
  expect(collector.capacityFor(0)).toEqual(0);
});

// Guards against bytes that are lost because a chunk shares its memory with others.
test('a chunk is freed only where it has its memory for itself', () => {
  const own = Buffer.from(new ArrayBuffer(8192));
  const shared = Buffer.from(new ArrayBuffer(16_384), 0, 8192);
  const resizable = Buffer.from(new ArrayBuffer(8192, { maxByteLength: 8192 }));
  for (const chunk of [own, shared, resizable]) freeChunk(chunk);
  expect([own, shared, resizable].map(({ length }) => length)).toEqual([0, 8192, 8192]);
});
