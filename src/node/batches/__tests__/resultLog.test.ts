import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { expect } from 'earl';
import fc from 'fast-check';
import { InMemoryPlatform } from '../../../../playground/inMemoryPlatform.ts';
import {
  type ItemResult,
  ItemResultSchema,
  ItemState,
} from '../../../gen/hyssoppulley/v1/batch_pb.ts';
import { seededRandom } from '../../../shared/random.ts';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import { silentLogger } from '../../observability/logger.ts';
import { LogTakenError, readLog, ResultLog } from '../resultLog.ts';

/** Maximum size of a stored object's value, in bytes. */
const MAX_VALUE_BYTES = 20_000;

const resultOf = (itemId: string): ItemResult => create(ItemResultSchema, { itemId });
const idsOf = (results: readonly ItemResult[]) => results.map(({ itemId }) => itemId);

/** Creates a platform on which several dispatchers can open the log of one batch. */
const createBatch = () => {
  const clock = new VirtualClock();
  const platform = new InMemoryPlatform();
  const open = (term: number, moves = 0) => {
    const adopted: string[] = [];
    const taken: number[] = [];
    const log = new ResultLog({
      ...{ platform, clock, random: seededRandom(term), logger: silentLogger, batchId: 'b' },
      rank: { moves, term },
      writer: `writer-${term}`,
      maxValueBytes: MAX_VALUE_BYTES,
      onAdopted: (results) => adopted.push(...idsOf(results)),
      onTakenOver: () => taken.push(term),
    });
    return { log, adopted, taken };
  };
  const stored = async () => {
    const entries = await readLog(platform, 'b');
    return entries.flatMap(({ results }) => idsOf(results));
  };
  return { clock, platform, open, stored };
};

// Guards against exposing a result to readers before it is stored, when other nodes could not return it yet.
test('a result appended during an outage becomes readable only after it is stored', async () => {
  const { clock, platform, open, stored } = createBatch();
  const { log } = open(1);
  platform.outage = true;
  log.append(resultOf('i'));
  await clock.advanceAsync(3000);
  expect(idsOf(log.results)).toEqual([]);
  platform.outage = false;
  await clock.advanceAsync(3000);
  expect(idsOf(log.results)).toEqual(['i']);
  expect(await stored()).toEqual(['i']);
});

// Guards against a result with two positions because the response to its write was lost and the write was repeated.
test('an entry whose write response is lost twice is stored once', async () => {
  const { clock, platform, open, stored } = createBatch();
  const { log } = open(1);
  platform.loseResponses = 2;
  log.append(resultOf('i'));
  await clock.advanceAsync(5000);
  expect(idsOf(log.results)).toEqual(['i']);
  expect(await stored()).toEqual(['i']);
});

// Guards against two dispatchers that both assign positions: the former one resumes after the log was taken over.
test('a former dispatcher that appends after a take-over stores nothing and closes its log', async () => {
  const { clock, open, stored } = createBatch();
  const former = open(1);
  former.log.append(resultOf('a'));
  await clock.advanceAsync(1000);
  const next = open(2);
  await next.log.takeOver();
  expect(idsOf(next.log.results)).toEqual(['a']);
  former.log.append(resultOf('late'));
  await clock.advanceAsync(2000);
  expect(former.taken).toEqual([1]);
  expect(former.log.closed).toEqual(true);
  next.log.append(resultOf('b'));
  await clock.advanceAsync(1000);
  expect(await stored()).toEqual(['a', 'b']);
});

// Guards against two dispatchers that both assign positions to a batch that was moved to a pool with a lower term, and against
// a dispatcher that gives up its own pool because one of its batches was moved away.
test('after a move the dispatcher of the former pool stores nothing, whatever its term', async () => {
  const { clock, open, stored } = createBatch();
  const former = open(7);
  former.log.append(resultOf('a'));
  await clock.advanceAsync(1000);
  const next = open(2, 1);
  await next.log.takeOver();
  former.log.append(resultOf('late'));
  next.log.append(resultOf('b'));
  await clock.advanceAsync(2000);
  expect(await stored()).toEqual(['a', 'b']);
  expect({ closed: former.log.closed, taken: former.taken }).toEqual({ closed: true, taken: [] });
  await expect(open(8).log.takeOver()).toBeRejectedWith(LogTakenError);
});

// Guards against results that are never listed: those that were pending at once did not fit into one object, and the refused
// write was repeated for good (seen in a trial of the review: 1 of 96 results listed).
test('results that do not fit into one object are stored in several', async () => {
  const { clock, open, platform } = createBatch();
  const { log } = open(1);
  const texts = Array.from({ length: 12 }, (_, index) => `i${index}`);
  for (const itemId of texts) {
    log.append(create(ItemResultSchema, { itemId, events: ['x'.repeat(3000)] }));
  }
  await clock.advanceAsync(2000);
  expect(idsOf(log.results)).toEqual(texts);
  for (const { value } of platform.objects.values()) {
    expect(JSON.stringify(value).length < MAX_VALUE_BYTES).toEqual(true);
  }
});

// Guards against one result that keeps all others of its batch from being listed.
test('a result that fits into no object is listed as dead, and the others are listed', async () => {
  const { clock, open } = createBatch();
  const { log } = open(1);
  log.append(create(ItemResultSchema, { itemId: 'large', events: ['x'.repeat(30_000)] }));
  log.append(resultOf('small'));
  await clock.advanceAsync(2000);
  expect(log.results.map(({ itemId, state }) => [itemId, state])).toEqual([
    ['large', ItemState.DEAD],
    ['small', ItemState.UNSPECIFIED],
  ]);
});

// Guards against positions that change, results that are stored twice, and stored results that a dispatcher does not
// see, in any order of writes, lost responses, outages and take-overs.
test('random take-overs, moves and faults neither change positions nor give an item two of them', async () => {
  const step = fc.oneof(
    fc.constant('append' as const),
    fc.constant('late-append' as const),
    fc.constant('take-over' as const),
    fc.constant('move' as const),
    fc.constant('lose-response' as const),
    fc.constant('outage' as const),
  );
  await fc.assert(
    fc.asyncProperty(fc.array(step, { maxLength: 24 }), async (steps) => {
      const { clock, platform, open, stored } = createBatch();
      let former = open(1);
      let current = former;
      let term = 1;
      let moves = 0;
      let seen: string[] = [];
      for (const [index, action] of steps.entries()) {
        if (action === 'append') current.log.append(resultOf(`i${index}`));
        else if (action === 'late-append') former.log.append(resultOf(`late${index}`));
        else if (action === 'lose-response') platform.loseResponses += 1;
        else if (action === 'outage') {
          platform.outage = true;
          await clock.advanceAsync(700);
          platform.outage = false;
        } else if (action === 'move') {
          former = current;
          moves += 1;
          term = 1;
          current = open(term, moves);
          await current.log.takeOver();
        } else {
          former = current;
          term += 1;
          current = open(term, moves);
          await current.log.takeOver();
        }
        await clock.advanceAsync(index % 3 === 0 ? 500 : 10);
        const now = await stored();
        expect(now.slice(0, seen.length)).toEqual(seen);
        expect(new Set(now).size).toEqual(now.length);
        seen = now;
      }
      await clock.advanceAsync(10_000);
      expect(idsOf(current.log.results)).toEqual(await stored());
    }),
    { seed: 20261204, numRuns: 200 },
  );
});
