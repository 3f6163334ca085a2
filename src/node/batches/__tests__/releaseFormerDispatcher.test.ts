import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { expect } from 'earl';
import {
  DispatcherRecordSchema,
  ItemProgressSchema,
  ReleasePoolResponseSchema,
} from '../../../gen/hyssoppulley/v1/batch_pb.ts';
import { sleep } from '../../../shared/clock.ts';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import type { BatchClient } from '../../membership/peerClients.ts';
import { silentLogger } from '../../observability/logger.ts';
import { releaseFormerDispatcher } from '../batchService.ts';

/** Items that a former dispatcher hands over if it takes `tookMs` to do so. */
const handedOver = async (tookMs: number): Promise<number | undefined> => {
  const clock = new VirtualClock();
  const client = {
    releasePool: async (_request: unknown, { timeoutMs = 0 }: { timeoutMs?: number } = {}) => {
      await sleep(clock, Math.min(tookMs, timeoutMs));
      if (tookMs > timeoutMs) throw new Error('deadline exceeded');
      const items = [create(ItemProgressSchema, { itemId: 'i' })];
      return create(ReleasePoolResponseSchema, { items });
    },
  } as unknown as BatchClient;
  const former = create(DispatcherRecordSchema, { node: 'former' });
  let count: number | undefined;
  void releaseFormerDispatcher(() => client, former, { pool: 'p', term: 2 }, silentLogger).then(
    ({ length }) => {
      count = length;
    },
  );
  await clock.advanceAsync(1500);
  return count;
};

// Guards against items that start again although their dispatcher was leaving in order: on a busy small VM its response took
// longer than it was waited for (czujka-ops, two of three take-overs of a rolling restart passed on no item).
test('a former dispatcher that takes 0.8 s to hand over its progress is waited for', async () => {
  expect(await handedOver(800)).toEqual(1);
});

// Guards against a pool that waits for a former dispatcher that does not respond.
test('a former dispatcher that does not respond is given up after at most 1.5 s', async () => {
  expect(await handedOver(60_000)).toEqual(0);
});
