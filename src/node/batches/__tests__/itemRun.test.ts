import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { expect } from 'earl';
import { BatchItemSchema, BatchRecordSchema } from '../../../gen/hyssoppulley/v1/batch_pb.ts';
import { systemClock } from '../../../shared/clock.ts';
import type { RegisteredWorker } from '../../gateway/workerRegistry.ts';
import { BatchState } from '../batchState.ts';
import type { GenerationCalls } from '../generationCalls.ts';
import { ItemRun } from '../itemRun.ts';
import type { ItemState } from '../itemState.ts';
import type { ResultLog } from '../resultLog.ts';

const MAX_OUTPUT_TOKENS = 20;

// Guards against a worker that sends events without end: they would fill the memory, and the run would never end.
test('a run with more events than the item has output tokens is broken off', async () => {
  const item = create(BatchItemSchema, { id: 'i', maxOutputTokens: MAX_OUTPUT_TOKENS });
  const record = create(BatchRecordSchema, { id: 'b', itemCount: 1 });
  const batch = new BatchState(record, [item], { results: [] } as unknown as ResultLog);
  const state = batch.items.get('i') as ItemState;
  const calls: GenerationCalls = {
    generate: (_worker, _request, listener) => {
      listener.onResponseStart(1, undefined);
      for (let number = 1; number <= 10 * MAX_OUTPUT_TOKENS; number += 1) {
        listener.onEvent({ number, data: 'x', version: 1 });
      }
      return Promise.resolve({ kind: 'complete' });
    },
  };
  const run = new ItemRun({
    acquireBody: () => Promise.reject(new Error('the item has no large body')),
    ...{ clock: systemClock, observedTime: { nowMs: 0 }, calls, state },
    worker: { id: 'w' } as RegisteredWorker,
    onVersion: () => {},
    onGap: () => {},
  });
  const end = await run.execute();
  expect(end.kind).toEqual('broken');
  expect(state.text.events.length).toEqual(MAX_OUTPUT_TOKENS);
});
