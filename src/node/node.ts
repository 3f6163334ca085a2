import { create } from '@bufbuild/protobuf';
import { NodeIdentitySchema, PeerService } from '../gen/hyssoppulley/v1/peer_pb.ts';
import { ApplyResult, OperatorService } from '../gen/hyssoppulley/v1/operator_pb.ts';
import { type Clock, systemClock } from '../shared/clock.ts';
import { DisposableStore } from '../shared/disposableStore.ts';
import { messageOf } from '../shared/errors.ts';
import { onInvariantViolation } from '../shared/invariants.ts';
import { newId, type Random, systemRandom } from '../shared/random.ts';
import { repeatEvery } from '../shared/repeat.ts';
import { RequestRouter } from './dataPath/requestRouter.ts';
import { RightToServe, startOfCall } from './decisions/rightToServe.ts';
import { selectLeastLoadedOfTwo } from './decisions/workerSelection.ts';
import { createEntriesHandler } from './membership/entriesHandler.ts';
import { Membership } from './membership/membership.ts';
import { PeerClients } from './membership/peerClients.ts';
import { createStatusHandler, NodeServers } from './nodeServers.ts';
import { createLogger, type Logger } from './observability/logger.ts';
import { createMetrics } from './observability/metrics.ts';
import { Configuration } from './operator/configuration.ts';
import { HttpPlatformClient } from './platform/httpPlatformClient.ts';
import { RequestTracker } from './requestTracker.ts';
import type { ResolvedSettings } from './settings/resolveSettings.ts';
import { Shutdown } from './shutdown.ts';

/** What a node takes from its surroundings. */
export interface NodeDependencies {
  /** @default the system's clock */
  readonly clock?: Clock;
  /** @default the system's random source */
  readonly random?: Random;
  /** @default lines on standard error */
  readonly logger?: Logger;
}

/** A node that serves. Disposing of it closes everything at once; `shutdown` stops it without cutting requests off. */
export interface RunningNode extends AsyncDisposable {
  readonly incarnation: string;
  readonly callerPort: number;
  readonly peerPort: number;
  readonly shutdown: Shutdown;
}

/** Starts a node: opens both ports, joins, and begins to serve the accepted tables. */
export const startNode = async (
  settings: ResolvedSettings,
  dependencies: NodeDependencies = {},
): Promise<RunningNode> => {
  const { clock = systemClock, random = systemRandom } = dependencies;
  const { timing } = settings;
  const logger = dependencies.logger ?? createLogger(settings.log.level, { node: settings.name });
  const store = new DisposableStore();
  const metrics = createMetrics();
  onInvariantViolation((name, details) => {
    metrics.invariantViolations.inc({ name });
    logger.error('invariant-violated', { name, details: JSON.stringify(details) });
  });

  const platform = new HttpPlatformClient({
    ...settings.platform,
    onCall: (operation) => metrics.platformCalls.inc({ operation }),
  });
  const configuration = new Configuration(platform, logger);
  const rightToServe = new RightToServe(timing.isolationMs);
  const peerClients = store.add(new PeerClients(timing.peerTimeoutMs));
  const requests = new RequestTracker();
  /** Functions that name the leases this node holds. */
  const heldLeases: (() => readonly string[])[] = [];
  /** Functions that hand leases over at a planned stop. */
  const handOvers: (() => Promise<void>)[] = [];

  const self = create(NodeIdentitySchema, {
    name: settings.name,
    incarnation: newId(),
    host: settings.host,
    region: settings.region,
    availabilityZone: settings.availabilityZone,
  });
  const refreshHead = async () => {
    try {
      const sentAt = startOfCall(clock);
      await configuration.refresh();
      rightToServe.heardFromPlatform(sentAt);
    } catch (error) {
      logger.warn('head-read-failed', { message: messageOf(error) });
    }
  };
  const membership = new Membership({
    self,
    timing,
    seedPeers: settings.seedPeers,
    platform,
    tables: configuration,
    send: (target, request) => peerClients.get(target).heartbeat(request),
    rightToServe,
    clock,
    random,
    logger,
    heldLeases: () => heldLeases.flatMap((held) => held()),
    preparedRevision: () => 0,
    onHigherRevision: () => void refreshHead(),
  });
  const router = new RequestRouter({
    tables: configuration,
    membership,
    selectWorker: selectLeastLoadedOfTwo,
    random,
    metrics,
  });

  const servers = store.add(
    new NodeServers({
      logger,
      requests,
      callerHandlers: [
        createStatusHandler({ tables: configuration, membership, metrics }),
        createEntriesHandler({
          entries: () => membership.entries(),
          ttlMs: timing.entriesTtlMs,
          issueKeyPrefix: () => undefined,
        }),
        router.handler,
      ],
      forwardHandlers: [],
      routes: (connect) => {
        connect.service(PeerService, {
          heartbeat: (request) => membership.heartbeat(request),
        });
        connect.service(OperatorService, {
          applyTables: async (request) => {
            if (!request.tables) return { result: ApplyResult.REFUSED, reason: 'no tables' };
            const revision = await configuration.accept(request.tables, request.operationId);
            return { result: ApplyResult.IN_FORCE, revision, nodesInForce: 1, nodesTotal: 1 };
          },
        });
      },
    }),
  );
  const shutdown = new Shutdown({
    clock,
    logger,
    requests,
    // Peers may name this node until the announcement has reached them: one call and two periods of spreading.
    keepServingMs: timing.entriesTtlMs + timing.peerTimeoutMs + 2 * timing.heartbeatIntervalMs,
    deadlineMs: timing.drainDeadlineMs,
    announce: () => membership.announceLeaving(),
    closeListener: () => servers.closeCallerListener(),
    handOvers,
    deregister: () => membership.deregister(),
    dispose: () => store[Symbol.asyncDispose](),
  });

  const { callerPort, peerPort } = await servers.listen(settings);
  Object.assign(self, { callerPort, peerPort });
  await refreshHead();
  await membership.start();
  store.add(membership);
  store.add(repeatEvery(clock, timing.headPollIntervalMs, refreshHead));
  const { incarnation } = self;
  logger.info('node-started', { incarnation, callerPort, peerPort });
  return {
    incarnation,
    callerPort,
    peerPort,
    shutdown,
    [Symbol.asyncDispose]: () => store[Symbol.asyncDispose](),
  };
};
