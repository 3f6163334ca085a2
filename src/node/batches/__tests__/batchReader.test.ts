import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { expect } from 'earl';
import {
  type DispatcherRecord,
  DispatcherRecordSchema,
  ReadResultsResponseSchema,
  ReadStatus,
} from '../../../gen/hyssoppulley/v1/batch_pb.ts';
import { sleep } from '../../../shared/clock.ts';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import type { BatchClient } from '../../membership/peerClients.ts';
import { silentLogger } from '../../observability/logger.ts';
import { PlatformError } from '../../platform/platformClient.ts';
import type { BatchCoordinator } from '../batchCoordinator.ts';
import { BatchReader, type BatchReaderOptions } from '../batchReader.ts';
import { BatchNodeHarness, POOL } from './batchNodeHarness.ts';

/** Time after which a read of the platform fails, in ms. */
const PLATFORM_TIMEOUT_MS = 2400;

const holderOf = (node: string): DispatcherRecord =>
  create(DispatcherRecordSchema, { node, incarnation: `${node}-1` });

/** A node that was the dispatcher, has lost the platform, and knows of no other dispatcher yet. */
const startFormerDispatcher = () => {
  const clock = new VirtualClock();
  const election = { holder: holderOf('former') };
  const successor = { hasLoaded: false, calls: 0 };
  const fail = async (): Promise<never> => {
    await sleep(clock, PLATFORM_TIMEOUT_MS);
    throw new PlatformError('no response');
  };
  const reader = new BatchReader({
    ...{ clock, logger: silentLogger, incarnation: 'former-1' },
    platform: { read: fail, list: fail } as unknown as BatchReaderOptions['platform'],
    parts: { read: fail },
    coordinators: () => [{ dispatcher: undefined, election } as unknown as BatchCoordinator],
    client: () =>
      ({
        readResults: () => {
          successor.calls += 1;
          const status = successor.hasLoaded ? ReadStatus.OK : ReadStatus.NOT_DISPATCHER;
          return Promise.resolve(create(ReadResultsResponseSchema, { status, total: 5 }));
        },
      }) as unknown as BatchClient,
  });
  const reads: string[] = [];
  const read = () => void reader.read('b', 0, 1000, undefined).then(({ kind }) => reads.push(kind));
  return { clock, election, successor, reads, read };
};

// Guards against results that a trainer cannot read for 2.4 s: the node that it asks was replaced as the dispatcher because it
// had lost the platform, and reads from the platform although its successor could answer (czujka-ops, day trouble-3).
test('a former dispatcher without the platform reads from its successor as soon as that knows the batch', async () => {
  const { clock, election, successor, reads, read } = startFormerDispatcher();
  read();
  await clock.advanceAsync(300);
  election.holder = holderOf('successor');
  await clock.advanceAsync(300);
  expect(reads).toEqual([]);
  successor.hasLoaded = true;
  await clock.advanceAsync(250);
  expect(reads).toEqual(['found']);
});

// Guards against calls to the dispatcher that go on after the read has ended.
test('a read that nothing could answer ends when the platform read fails', async () => {
  const { clock, election, successor, reads, read } = startFormerDispatcher();
  election.holder = holderOf('successor');
  read();
  await clock.advanceAsync(PLATFORM_TIMEOUT_MS + 10);
  expect(reads).toEqual(['unavailable']);
  const { calls } = successor;
  await clock.advanceAsync(2000);
  expect(successor.calls).toEqual(calls);
});

const CALLS_PER_SECOND = 60;

/** More parts than the calls that a node can make or let wait at once. */
const PARTS = 150;

// Guards against bodies that can never be read: the reads of all parts exceed the call budget, and each attempt starts anew.
test('the body of an item of a batch of many parts is read within the call budget', async () => {
  await using harness = new BatchNodeHarness(undefined, { callsPerSecond: CALLS_PER_SECOND });
  await harness.addBatch('b', POOL, PARTS, PARTS);
  const read = harness.batches.readItem('b', `b-item${PARTS - 1}`, undefined);
  await harness.clock.advanceAsync((2 * PARTS * 1000) / CALLS_PER_SECOND);
  expect((await read).kind).toEqual('found');
});
