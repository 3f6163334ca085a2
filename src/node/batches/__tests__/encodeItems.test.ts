import { test } from 'node:test';
import { create, toJson } from '@bufbuild/protobuf';
import { expect } from 'earl';
import { BatchItemSchema, BatchItemsSchema } from '../../../gen/hyssoppulley/v1/batch_pb.ts';
import { LongStrings } from '../../../shared/longStrings.ts';
import { BODY_FIELD, decodeItems, encodeItems } from '../batchObjects.ts';

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
  const value = encodeItems(items).toJSON();
  expect(value).toEqual(toJson(BatchItemsSchema, create(BatchItemsSchema, { items })));
  expect(decodeItems({ value })).toEqual(items);
  expect(encodeItems([]).toJSON()).toEqual(toJson(BatchItemsSchema, create(BatchItemsSchema)));
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
  expect(json.bytes.length > items.length * BODY_BYTES).toEqual(true);
});

// Guards against items whose long bodies, which are left out of the parsed text, are lost or mixed up.
test('items are the same after their long bodies were left out of the parsed text', () => {
  const items = Array.from({ length: 4 }, (_, index) =>
    create(BatchItemSchema, {
      ...{ id: `i${index}`, body: new Uint8Array(1000 * index).fill(index) },
      scoring: { id: 's', body: new Uint8Array(900 * index).fill(100 + index) },
    }),
  );
  const strings = new LongStrings(Buffer.from(encodeItems(items).bytes), BODY_FIELD);
  expect(strings.longBytes > 0).toEqual(true);
  expect(decodeItems({ value: JSON.parse(strings.text), strings })).toEqual(items);
});
