import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { createClient, createRouterTransport } from '@connectrpc/connect';
import { expect } from 'earl';
import { MemoryPlatform } from '../../../../playground/memoryPlatform.ts';
import { BatchItemSchema, BatchService } from '../../../gen/hyssoppulley/v1/batch_pb.ts';
import { systemClock } from '../../../shared/clock.ts';
import { seededRandom } from '../../../shared/random.ts';
import type { GatewayRoute } from '../../gateway/gatewayTables.ts';
import { RouteIndex } from '../../gateway/routeIndex.ts';
import type { BatchClient } from '../../membership/peerClients.ts';
import { silentLogger } from '../../observability/logger.ts';
import type { BatchSubmission } from '../batchAcceptor.ts';
import { createBatchHandlers } from '../batchService.ts';
import { BatchSubsystem, type BatchSubsystemOptions } from '../batchSubsystem.ts';

const route = {
  ...{ name: 'r', host: 'h', pathPrefix: '/b/', kind: 'batch', pools: [], maxAttempts: 3 },
  ...{ timeoutMs: 1000, priority: 0, targetLatencyMs: 100, resumable: false, batch: undefined },
} satisfies GatewayRoute;

const submission: BatchSubmission = {
  ...{ id: 'batch', host: 'h', path: '/b/x?y', model: 'm', step: 0, minVersion: 0 },
  wantedGroups: 0,
  items: [create(BatchItemSchema, { id: 'i', group: 'g' })],
};

/** A node's batches at a platform; `peers` are the clients of the other nodes. */
const startNode = (platform: MemoryPlatform, lost: boolean, peers: readonly BatchClient[] = []) => {
  const batches = new BatchSubsystem({
    ...{ platform, clock: systemClock, random: seededRandom(1), logger: silentLogger },
    ...{ health: { lost }, maxValueBytes: 100_000, tables: { routes: new RouteIndex([route]) } },
    peerClients: { batch: ({ host }: { host: string }) => peers[Number(host)] },
    view: {
      self: { incarnation: 'self' },
      peers: () => peers.map((_peer, index) => ({ identity: { name: 'peer', host: `${index}` } })),
    },
  } as unknown as BatchSubsystemOptions);
  const transport = createRouterTransport(({ service }) => {
    service(
      BatchService,
      createBatchHandlers(
        () => [],
        (batch) => batches.acceptForPeer(batch),
      ),
    );
  });
  return { batches, client: createClient(BatchService, transport) };
};

// Guards against steps that are lost because a trainer meets nodes that the platform turns away while it serves the others
// (czujka-ops, trouble-1, seed 427522589161: 18 groups refused).
test('a node that the platform does not answer lets another node accept a batch', async () => {
  const away = new MemoryPlatform();
  away.outage = true;
  const reached = new MemoryPlatform();
  const able = startNode(reached, false);
  for (const lost of [true, false]) {
    const { batches } = startNode(away, lost, [able.client]);
    const result = await batches.submit({ ...submission, id: `batch-${lost}` }, route);
    expect(result.kind).toEqual('accepted');
    expect(reached.objects.has(`batches/batch-${lost}`)).toEqual(true);
  }
});

// Guards against nodes that hand a submission round, and against a promise that does not hold.
test('a refusal of the other node is a refusal, and its silence is none', async () => {
  const away = new MemoryPlatform();
  away.outage = true;
  const refusing = startNode(away, false);
  const refused = await startNode(away, true, [refusing.client]).batches.submit(submission, route);
  expect(refused.kind).toEqual('refused');
  const silent = { acceptBatch: () => Promise.reject(new Error('timeout')) };
  const { batches } = startNode(away, true, [silent as unknown as BatchClient]);
  expect((await batches.submit(submission, route)).kind).toEqual('unknown');
});
