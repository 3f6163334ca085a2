import { test } from 'node:test';
import { createClient, createRouterTransport } from '@connectrpc/connect';
import { create } from '@bufbuild/protobuf';
import { expect } from 'earl';
import {
  BatchItemSchema,
  BatchService,
  ReadStatus,
} from '../../../gen/hyssoppulley/v1/batch_pb.ts';
import type { Account } from '../../gateway/gatewayTables.ts';
import type { BatchSubmission } from '../batchAcceptor.ts';
import { createBatchHandlers } from '../batchService.ts';
import { BATCH_ROUTE, BatchNodeHarness, type BatchNodeOptions } from './batchNodeHarness.ts';
import { HeldPlatform } from './heldPlatform.ts';

const ACCOUNTS: readonly Account[] = [
  { name: 'owner', keys: ['k1', 'k2'], priority: 2 },
  { name: 'other', keys: ['k3'] },
];

const submissionOf = (account: string, id = 'b'): BatchSubmission => ({
  ...{ id, account, host: 'h', path: '/b/', model: 'm', step: 0, minVersion: 0, wantedGroups: 0 },
  items: [create(BatchItemSchema, { id: `${id}-item-of-${account}`, group: 'g' })],
});

const startNode = async (options: BatchNodeOptions = { accounts: ACCOUNTS }) => {
  const node = new BatchNodeHarness([BATCH_ROUTE], options);
  node.start();
  await node.clock.advanceAsync(2000);
  return node;
};

/** Runs a call of a node on its virtual clock. */
const run = async <T>(node: BatchNodeHarness, call: Promise<T>): Promise<T> => {
  await node.clock.advanceAsync(1000);
  return call;
};

// Guards against another account that reads, ends or replaces a batch whose id it knows.
test('only the account of a batch finds it at its dispatcher', async () => {
  await using node = await startNode();
  const { batches } = node;
  expect((await run(node, batches.submit(submissionOf('owner'), BATCH_ROUTE))).kind).toEqual(
    'accepted',
  );
  const item = 'b-item-of-owner';
  expect((await run(node, batches.read('b', 0, 0, 'other'))).kind).toEqual('no-such-batch');
  expect((await run(node, batches.read('b', 0, 0, ''))).kind).toEqual('no-such-batch');
  expect((await run(node, batches.readItem('b', item, 'other'))).kind).toEqual('no-such-item');
  expect(await run(node, batches.end('b', 'other'))).toEqual('no-such-batch');
  expect((await run(node, batches.read('b', 0, 0, 'owner'))).kind).toEqual('found');
  expect((await run(node, batches.readItem('b', item, 'owner'))).kind).toEqual('found');
  expect(await run(node, batches.end('b', 'owner'))).toEqual('ended');
});

// Guards against the same at a node that is not the dispatcher and reads the batch from the platform.
test('only the account of a batch finds it at a node that reads it from the platform', async () => {
  const platform = new HeldPlatform();
  await using accepting = await startNode({ platform, accounts: ACCOUNTS });
  await run(accepting, accepting.batches.submit(submissionOf('owner'), BATCH_ROUTE));
  await using node = new BatchNodeHarness([BATCH_ROUTE], { platform, accounts: ACCOUNTS });
  const { batches } = node;
  const item = 'b-item-of-owner';
  expect(await run(node, batches.read('b', 0, 0, 'other'))).toEqual({
    ...{ kind: 'no-such-batch', reason: 'other-account' },
  });
  expect((await run(node, batches.readItem('b', item, 'other'))).kind).toEqual('no-such-item');
  expect(await run(node, batches.end('b', 'other'))).toEqual('no-such-batch');
  expect((await run(node, batches.read('b', 0, 0, 'owner'))).kind).toEqual('found');
  expect((await run(node, batches.readItem('b', item, 'owner'))).kind).toEqual('found');
  expect(await run(node, batches.end('b', 'owner'))).toEqual('ended');
});

// Guards against a dispatcher that answers another node without regard to the account.
test('a dispatcher tells other nodes that a batch belongs to another account', async () => {
  await using node = await startNode();
  await run(node, node.batches.submit(submissionOf('owner'), BATCH_ROUTE));
  const transport = createRouterTransport(({ service }) => {
    service(
      BatchService,
      createBatchHandlers(
        () => node.batches.coordinators(),
        (batch) => node.batches.acceptForPeer(batch),
      ),
    );
  });
  const client = createClient(BatchService, transport);
  const read = (account?: string) => client.readResults({ batchId: 'b', account });
  expect((await read('other')).status).toEqual(ReadStatus.OTHER_ACCOUNT);
  expect((await read('')).status).toEqual(ReadStatus.OTHER_ACCOUNT);
  expect((await read('owner')).status).toEqual(ReadStatus.OK);
  expect((await read()).status).toEqual(ReadStatus.OK);
});

// Guards against a repeated submission by another account that is confirmed or changes what the batch runs.
test('a batch id that another account has taken is refused, and its own repetition accepted', async () => {
  await using node = await startNode();
  const { batches } = node;
  const first = batches.submit(submissionOf('owner'), BATCH_ROUTE);
  const meanwhile = batches.submit(submissionOf('other'), BATCH_ROUTE);
  expect((await run(node, first)).kind).toEqual('accepted');
  expect((await run(node, meanwhile)).kind).toEqual('other-account');
  const stored = node.platform.objects.get('batches/b')?.value;
  expect((await run(node, batches.submit(submissionOf('other'), BATCH_ROUTE))).kind).toEqual(
    'other-account',
  );
  expect((await run(node, batches.submit(submissionOf(''), BATCH_ROUTE))).kind).toEqual(
    'other-account',
  );
  expect((await run(node, batches.submit(submissionOf('owner'), BATCH_ROUTE))).kind).toEqual(
    'accepted',
  );
  expect(node.platform.objects.get('batches/b')?.value).toEqual(stored);
  expect(node.started).toEqual(['b-item-of-owner']);
});

// Guards against items that another account stored under the same id before the record that decides the owner.
test('items that another account stored before under the same id do not become part of a batch', async () => {
  await using node = await startNode();
  const { platform, batches } = node;
  const other = new BatchNodeHarness([BATCH_ROUTE], { platform, accounts: ACCOUNTS });
  await run(other, other.batches.submit(submissionOf('other'), BATCH_ROUTE));
  await platform.remove('batches/b');
  await run(node, batches.submit(submissionOf('owner'), BATCH_ROUTE));
  expect(node.started.includes('b-item-of-owner')).toEqual(true);
  await other[Symbol.asyncDispose]();
  await using next = await startNode({ platform, accounts: ACCOUNTS });
  expect(next.started).toEqual(['b-item-of-owner']);
});

// Guards against a batch of the time before accounts that nobody can read any more.
test('a batch without an owner is found by every account', async () => {
  await using node = await startNode();
  await node.addBatch('b');
  await node.clock.advanceAsync(500);
  for (const account of ['owner', 'other', '']) {
    expect((await run(node, node.batches.read('b', 0, 0, account))).kind).toEqual('found');
    expect((await run(node, node.batches.readItem('b', 'b-item', account))).kind).toEqual('found');
  }
  expect(node.accountsSent.get('b-item')).toEqual('');
});

// Guards against items that run without their account's name once another node dispatches them.
test('items run with the name of their account, also under the next dispatcher', async () => {
  const platform = new HeldPlatform();
  const first = await startNode({ platform, accounts: ACCOUNTS });
  await run(first, first.batches.submit(submissionOf('owner'), BATCH_ROUTE));
  expect(first.accountsSent.get('b-item-of-owner')).toEqual('owner');
  await first[Symbol.asyncDispose]();
  // The account has lost all its keys meanwhile, which ends none of its batches.
  await using next = await startNode({ platform, accounts: [{ name: 'other', keys: ['k3'] }] });
  expect(next.accountsSent.get('b-item-of-owner')).toEqual('owner');
});

// Guards against an account priority that is lost where its batches wait.
test('the priority of the account takes precedence over that of the batch route', async () => {
  await using node = await startNode();
  await run(node, node.batches.submit(submissionOf('owner', 'b1'), BATCH_ROUTE));
  await run(node, node.batches.submit(submissionOf('other', 'b2'), BATCH_ROUTE));
  const priorityOf = (id: string) =>
    (node.platform.objects.get(`batches/${id}`)?.value as { priority?: number }).priority ?? 0;
  expect(priorityOf('b1')).toEqual(2);
  expect(priorityOf('b2')).toEqual(BATCH_ROUTE.priority);
});

// Guards against a change for deployments without accounts: everybody finds everything, and trainers set the header.
test('without accounts every caller finds every batch', async () => {
  await using node = await startNode({});
  await run(node, node.batches.submit(submissionOf(''), BATCH_ROUTE));
  expect((await run(node, node.batches.read('b', 0, 0, undefined))).kind).toEqual('found');
  expect(node.accountsSent).toEqual(new Map([['b-item-of-', undefined]]));
  expect((await run(node, node.batches.submit(submissionOf(''), BATCH_ROUTE))).kind).toEqual(
    'accepted',
  );
});
