import { test } from 'node:test';
import { create, toJson } from '@bufbuild/protobuf';
import { expect } from 'earl';
import { BatchItemSchema, BatchItemsSchema } from '../../../gen/hyssoppulley/v1/batch_pb.ts';
import { decodeItems, encodeItems } from '../batchObjects.ts';

const BODY_BYTES = 300_000;

// Guards against stored items that other versions or nodes cannot read.
test('items are stored in the JSON form of their schema', () => {
  const items = [
    create(BatchItemSchema, { id: 'empty' }),
    create(BatchItemSchema, {
      ...{ id: 'full', path: '/p', group: 'g', body: new Uint8Array([0, 255, 62, 63]) },
      scoring: { id: 's', host: 'h', path: '/s', body: new Uint8Array([1, 2, 3]) },
    }),
    create(BatchItemSchema, { id: 'scored', scoring: { id: 's' } }),
  ];
  const json = encodeItems(items);
  expect(json).toEqual(toJson(BatchItemsSchema, create(BatchItemsSchema, { items })));
  expect(decodeItems(json)).toEqual(items);
  expect(encodeItems([])).toEqual(toJson(BatchItemsSchema, create(BatchItemsSchema)));
});

// Guards against a legal batch of 20 items of 300 KB that ended an entry process (heap limit of 220 MB).
test('encoding large bodies takes a small multiple of their bytes', () => {
  const items = Array.from({ length: 20 }, (_, index) =>
    create(BatchItemSchema, { id: `i${index}`, body: new Uint8Array(BODY_BYTES).fill(index) }),
  );
  const before = process.memoryUsage();
  const json = encodeItems(items);
  const after = process.memoryUsage();
  const grownBytes = after.heapUsed + after.external - before.heapUsed - before.external;
  expect(grownBytes < 10 * items.length * BODY_BYTES).toEqual(true);
  expect(JSON.stringify(json).length > items.length * BODY_BYTES).toEqual(true);
});
