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

// Guards against an item at two positions: a result of the former dispatcher is adopted while the item runs here, and the
// end of the run must not open the item again (czujka-ops, scale-1, seed 585031733952: TWICE 8).
test('an item whose result was adopted during its run stays listed when the run ends', () => {
  const record = create(BatchRecordSchema, { id: 'b', itemCount: 1 });
  const item = create(BatchItemSchema, { id: 'i', group: 'g' });
  const batch = new BatchState(record, [item], { results: [] } as unknown as ResultLog);
  const state = batch.items.get('i');
  state?.begin();
  batch.listed([create(ItemResultSchema, { itemId: 'i' })]);
  state?.wait('worker');
  expect(state?.phase).toEqual('listed');
  state?.score();
  expect(state?.closed).toEqual(true);
});
