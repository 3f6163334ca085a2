import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { expect } from 'earl';
import { BatchItemSchema, BatchRecordSchema } from '../../../../gen/hyssoppulley/v1/batch_pb.ts';
import { PlatformError } from '../../../platform/platformClient.ts';
import { encodeItems, itemsKey } from '../../batchObjects.ts';
import { StoredParts } from '../storedParts.ts';

const PARTS = 5;

const record = create(BatchRecordSchema, { id: 'b', partCount: PARTS });

const partOf = (key: string): number => Number(key.split('.').at(-1));

/** Parts of one item each, of which some reads fail. */
const startReading = (failsAt: (part: number, attempt: number) => boolean) => {
  const reads: number[] = [];
  const read = (key: string) => {
    const part = partOf(key);
    reads.push(part);
    if (failsAt(part, reads.filter((other) => other === part).length)) {
      return Promise.reject(new PlatformError('no response'));
    }
    const value = encodeItems([create(BatchItemSchema, { id: `i${part}` })]);
    return Promise.resolve({ key, version: 1, operationId: '', value });
  };
  return { reads, parts: new StoredParts({ read }, record) };
};

// Guards against a batch that is read from the start again and again because one of its parts fails each time.
test('parts that were read are not read again after another one failed', async () => {
  const { reads, parts } = startReading((part, attempt) => part === 3 && attempt === 1);
  await expect(parts.read({ kind: 'normal' })).toBeRejectedWith('no response');
  expect(parts.readCount).toEqual(PARTS - 1);
  const items = await parts.read({ kind: 'normal' });
  expect(items.map(({ id }) => id)).toEqual(['i0', 'i1', 'i2', 'i3', 'i4']);
  expect(reads).toEqual([0, 1, 2, 3, 4, 3]);
});

// Guards against a reading for each of several callers that ask for the same batch.
test('callers that read at the same time share the reads', async () => {
  const { reads, parts } = startReading(() => false);
  await Promise.all([parts.read({ kind: 'normal' }), parts.read({ kind: 'normal' })]);
  expect(reads.length).toEqual(PARTS);
  expect(partOf(itemsKey(record, 4))).toEqual(4);
});
