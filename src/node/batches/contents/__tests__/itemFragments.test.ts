import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { expect } from 'earl';
import fc from 'fast-check';
import { InMemoryPlatform } from '../../../../../playground/inMemoryPlatform.ts';
import {
  type BatchItem,
  BatchItemSchema,
  BatchRecordSchema,
} from '../../../../gen/hyssoppulley/v1/batch_pb.ts';
import { VirtualClock } from '../../../../shared/virtualClock.ts';
import { encodeItems, itemsKey } from '../../batchObjects.ts';
import { ContentMemory } from '../contentMemory.ts';
import { ItemBodies } from '../itemBodies.ts';
import { splitItems } from '../itemFragments.ts';
import { PartCache } from '../partCache.ts';

const MAX_VALUE_BYTES = 40_000;

const bytesOf = (length: number, first: number): Uint8Array =>
  Uint8Array.from({ length }, (_, index) => (first + 7 * index) % 256);

const itemOf = (index: number, bodyBytes: number, scoringBytes: number): BatchItem =>
  create(BatchItemSchema, {
    ...{ id: `i${index}`, path: `/x/${index}`, body: bytesOf(bodyBytes, index) },
    headers: [{ name: 'x-model', value: 'm' }],
    scoring: { id: `s${index}`, host: 'h', path: '/s', body: bytesOf(scoringBytes, 100 + index) },
  });

/** Stores items as a submission and loads them as a dispatcher. */
const storeAndLoad = async (items: readonly BatchItem[]) => {
  const platform = new InMemoryPlatform();
  const parts = splitItems(items, MAX_VALUE_BYTES) ?? [];
  const record = create(BatchRecordSchema, { id: 'b', partCount: parts.length });
  for (const [part, ofPart] of parts.entries()) {
    const text = encodeItems(ofPart);
    expect(text.bytes.length <= MAX_VALUE_BYTES).toEqual(true);
    await platform.write(itemsKey(record, part), text);
  }
  const memory = new ContentMemory(() => Infinity);
  const cache = new PartCache(platform, memory);
  const bodies = new ItemBodies({ clock: new VirtualClock(), memory, parts: cache });
  const loaded: BatchItem[] = [];
  for (const part of parts.keys()) {
    const stored = await cache.take(record, part, { kind: 'normal' });
    bodies.add(record, part, stored);
    loaded.push(...stored.items);
  }
  return { loaded, bodies, memory };
};

// Guards against submissions that are refused for good because the body of one item does not fit into an object, and against bodies
// whose fragments are lost or mixed up.
test('items of any size are the same after they were stored and loaded', async () => {
  const size = fc.oneof(fc.nat({ max: 2000 }), fc.nat({ max: 120_000 }));
  await fc.assert(
    fc.asyncProperty(
      fc.array(fc.tuple(size, size), { minLength: 1, maxLength: 6 }),
      async (sizes) => {
        const items = sizes.map(([body, scoring], index) => itemOf(index, body, scoring));
        const copies = items.map(({ id, body, scoring }) => ({ id, body, scoring: scoring?.body }));
        const { loaded, bodies, memory } = await storeAndLoad(items);
        expect(loaded.map(({ id }) => id)).toEqual(items.map(({ id }) => id));
        for (const [index, { id, body, scoring }] of copies.entries()) {
          const item = loaded[index];
          if (bodies.digestOf('b', id) === undefined) {
            expect(item?.body).toEqual(body);
            expect(item?.scoring?.body).toEqual(scoring);
          } else {
            using held = await bodies.acquire('b', id);
            expect(held.request.bytes.equals(body)).toEqual(true);
            expect(held.scoring.bytes.equals(scoring ?? new Uint8Array())).toEqual(true);
          }
          bodies.drop('b', id);
        }
        expect(memory.neededBytes + memory.cachedBytes).toEqual(0);
      },
    ),
    { seed: 20261207, numRuns: 40 },
  );
});

// Guards against items whose other fields do not fit into an object and whose submission is refused only after each attempt to store it.
test('an item whose fields are too large for an object is recognised', () => {
  const long = 'é'.repeat(MAX_VALUE_BYTES / 2);
  const tooLarge = [
    create(BatchItemSchema, { id: 'a', path: long }),
    create(BatchItemSchema, { id: 'a', headers: [{ name: 'x', value: long }] }),
    create(BatchItemSchema, {
      id: 'a',
      promptParts: Array.from({ length: 2000 }, (_, index) => ({ id: `${index}`, tokens: 1 })),
    }),
  ];
  for (const item of tooLarge) expect(splitItems([item], MAX_VALUE_BYTES)).toEqual(undefined);
});
