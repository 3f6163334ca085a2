import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { expect } from 'earl';
import { BatchRecordSchema } from '../../../../gen/hyssoppulley/v1/batch_pb.ts';
import { VirtualClock } from '../../../../shared/virtualClock.ts';
import { silentLogger } from '../../../observability/logger.ts';
import { ContentMemory } from '../contentMemory.ts';
import { LoadQueue } from '../loadQueue.ts';
import { estimatedItemsBytes } from '../storedPart.ts';

const MAX_VALUE_BYTES = 1000;

const recordOf = (id: string, submittedAtMs: number) =>
  create(BatchRecordSchema, {
    id,
    submittedAtMs: BigInt(submittedAtMs),
    itemCount: 10,
    partCount: 1,
  });

const BATCH_BYTES = estimatedItemsBytes({ itemCount: 10, partCount: 1 }, MAX_VALUE_BYTES);

/** A queue with room for so many batches. */
const start = (batches: number) => {
  const clock = new VirtualClock();
  const memory = new ContentMemory(() => batches * BATCH_BYTES);
  const state = { loadedCount: 0 };
  const queue = new LoadQueue({
    ...{ clock, memory, logger: silentLogger, maxValueBytes: MAX_VALUE_BYTES },
    loadedCount: () => state.loadedCount,
  });
  memory.add(queue);
  const entered = new Map<string, Disposable>();
  const enter = async (
    id: string,
    submittedAtMs: number,
    signal = new AbortController().signal,
  ) => {
    const turn = await queue.enter(recordOf(id, submittedAtMs), signal);
    if (turn !== undefined) entered.set(id, turn);
  };
  const leave = (id: string) => {
    entered.get(id)?.[Symbol.dispose]();
    entered.delete(id);
  };
  return { clock, memory, state, queue, entered, enter, leave };
};

// Guards against a dispatcher that loads the items of all open batches, however many there are.
test('batches wait until the items of others no longer need the memory', async () => {
  const { clock, queue, entered, enter, leave } = start(2);
  for (const [index, id] of ['a', 'b', 'd', 'c'].entries()) void enter(id, id === 'd' ? 9 : index);
  await clock.advanceAsync(500);
  expect([...entered.keys()]).toEqual(['a', 'b']);
  expect(queue.isFull).toEqual(true);
  leave('a');
  await clock.advanceAsync(500);
  expect([...entered.keys()]).toEqual(['b', 'c']);
  leave('b');
  leave('c');
  await clock.advanceAsync(500);
  expect([...entered.keys()]).toEqual(['d']);
  expect(queue.isFull).toEqual(false);
});

// Guards against an accepted batch that never runs because it is larger than the memory for contents.
test('one batch is loaded however large it is', async () => {
  const { clock, state, entered, enter, leave } = start(0.5);
  void enter('a', 0);
  void enter('b', 1);
  await clock.advanceAsync(500);
  expect([...entered.keys()]).toEqual(['a']);
  state.loadedCount = 1;
  leave('a');
  await clock.advanceAsync(500);
  expect([...entered.keys()]).toEqual([]);
  state.loadedCount = 0;
  await clock.advanceAsync(500);
  expect([...entered.keys()]).toEqual(['b']);
});

// Guards against a batch that has ended and keeps others from being loaded.
test('a batch that is no longer to be loaded leaves the queue', async () => {
  const { clock, queue, entered, enter, leave } = start(1);
  const abort = new AbortController();
  void enter('a', 0);
  void enter('b', 1, abort.signal);
  void enter('c', 2);
  await clock.advanceAsync(500);
  abort.abort();
  leave('a');
  await clock.advanceAsync(500);
  expect([...entered.keys()]).toEqual(['c']);
  expect(queue.isFull).toEqual(false);
});
