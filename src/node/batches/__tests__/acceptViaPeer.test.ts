import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { createClient, createRouterTransport } from '@connectrpc/connect';
import { expect } from 'earl';
import { InMemoryPlatform } from '../../../../playground/inMemoryPlatform.ts';
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
  account: '',
  wantedGroups: 0,
  items: [create(BatchItemSchema, { id: 'i', group: 'g' })],
};

/** Starts the batch subsystem of a node. `peers` are its clients for the other nodes. */
const startNode = (
  platform: InMemoryPlatform,
  lost: boolean,
  peers: readonly BatchClient[] = [],
) => {
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

// Guards against lost training steps: the platform rejects some nodes while it serves others, and a trainer whose
// submission reaches a rejected node is refused (seen on czujka-ops, day trouble-1, seed 427522589161: 18 groups
// refused).
test('a batch submitted to a node without platform access is accepted through another node', async () => {
  const unreachable = new InMemoryPlatform();
  unreachable.outage = true;
  const reachable = new InMemoryPlatform();
  const connectedPeer = startNode(reachable, false);
  for (const lost of [true, false]) {
    const { batches } = startNode(unreachable, lost, [connectedPeer.client]);
    const result = await batches.submit({ ...submission, id: `batch-${lost}` }, route);
    expect(result.kind).toEqual('accepted');
    expect(reachable.objects.has(`batches/batch-${lost}`)).toEqual(true);
  }
});

// Guards against nodes that forward a submission to each other in a loop, and against reporting a refusal when the
// other node may have accepted the batch.
test('a submission via a peer is refused if the peer refuses it, and unknown if the call fails', async () => {
  const unreachable = new InMemoryPlatform();
  unreachable.outage = true;
  const refusingPeer = startNode(unreachable, false);
  const refused = await startNode(unreachable, true, [refusingPeer.client]).batches.submit(
    submission,
    route,
  );
  expect(refused.kind).toEqual('refused');
  const failingClient = { acceptBatch: () => Promise.reject(new Error('timeout')) };
  const { batches } = startNode(unreachable, true, [failingClient as unknown as BatchClient]);
  expect((await batches.submit(submission, route)).kind).toEqual('unknown');
});
