import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { expect } from 'earl';
import {
  BatchItemSchema,
  BatchRecordSchema,
  ItemResultSchema,
} from '../../../gen/hyssoppulley/v1/batch_pb.ts';
import { BatchState } from '../batchState.ts';
import type { ResultLog } from '../resultLog.ts';

// Guards against an item with two positions in the result log: a result of the former dispatcher is adopted while the
// item runs here, and the end of the run requeues the item (seen on czujka-ops, day scale-1, seed 585031733952: 8
// items with two positions).
test('an item whose result was adopted during its run stays listed when the run ends', () => {
  const record = create(BatchRecordSchema, { id: 'b', itemCount: 1 });
  const item = create(BatchItemSchema, { id: 'i', group: 'g' });
  const batch = new BatchState(record, [item], { results: [] } as unknown as ResultLog);
  const state = batch.items.get('i');
  state?.start();
  batch.markStored([create(ItemResultSchema, { itemId: 'i' })]);
  state?.requeue('worker');
  expect(state?.phase).toEqual('listed');
  state?.startScoring();
  expect(state?.closed).toEqual(true);
});
