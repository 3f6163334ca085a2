import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { expect } from 'earl';
import { BatchItemSchema } from '../../../../gen/hyssoppulley/v1/batch_pb.ts';
import { PlatformError } from '../../../platform/platformClient.ts';
import { StoredParts } from '../storedParts.ts';

// Guards against a batch that is read from the start again and again because one of its parts fails each time.
test('parts that were read are not read again after another one failed', async () => {
  const reads: number[] = [];
  const parts = new StoredParts(5, (part) => {
    reads.push(part);
    const isFirst = reads.filter((other) => other === part).length === 1;
    if (part === 3 && isFirst) return Promise.reject(new PlatformError('no response'));
    return Promise.resolve([create(BatchItemSchema, { id: `i${part}` })]);
  });
  await expect(parts.read()).toBeRejectedWith('no response');
  expect(parts.readCount).toEqual(4);
  const items = await parts.read();
  expect(items.map(({ id }) => id)).toEqual(['i0', 'i1', 'i2', 'i3', 'i4']);
  expect(reads).toEqual([0, 1, 2, 3, 4, 3]);
});
