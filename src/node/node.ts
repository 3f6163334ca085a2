import { create } from '@bufbuild/protobuf';
import { NodeIdentitySchema, PeerService } from '../gen/hyssoppulley/v1/peer_pb.ts';
import { GetJobsResponseSchema, OperatorService } from '../gen/hyssoppulley/v1/operator_pb.ts';
import { type Clock, systemClock } from '../shared/clock.ts';
import { DisposableStore } from '../shared/disposableStore.ts';
import { messageOf } from '../shared/errors.ts';
import { onInvariantViolation } from '../shared/invariants.ts';
import { newId, type Random, systemRandom } from '../shared/random.ts';
import { createDataPath, type DataPath } from './dataPath/dataPath.ts';
import { dispatchOnce } from './dataPath/dispatchOnce.ts';
import { ServingLease } from './decisions/servingLease.ts';
import { KeyedRequests } from './keyed/keyedRequests.ts';
import { createEntriesHandler } from './membership/entriesHandler.ts';
import { Membership } from './membership/membership.ts';
import { PeerClients } from './membership/peerClients.ts';
import { createStatusHandler, NodeServers } from './nodeServers.ts';
import { createLogger, type Logger } from './observability/logger.ts';
import { createMetrics } from './observability/metrics.ts';
import { createTracing } from './observability/tracing.ts';
import { Configuration } from './operator/configuration.ts';
import { fetchFromPeer } from './operator/configurationHandlers.ts';
import { createOperator } from './operator/createOperator.ts';
import { createOperatorViews } from './operatorViews.ts';
import { createPlatformClient } from './platform/createPlatformClient.ts';
import type { PlatformObjects } from './platform/platformClient.ts';
import { RequestTracker } from './requestTracker.ts';
import type { ResolvedSettings } from './settings/resolveSettings.ts';
import { Shutdown } from './shutdown.ts';
import { createWorkerStateReader } from './workerStateReader.ts';
import { assembleTraining } from './training/assembleTraining.ts';

/** External dependencies of a node. */
export interface NodeDependencies {
  /** Connects to the platform's object API. */
  readonly platform: (logger: Logger) => PlatformObjects;
  /** @default the system's clock */
  readonly clock?: Clock;
  /** @default the system's random source */
  readonly random?: Random;
  /** @default a logger that writes to standard output */
  readonly logger?: Logger;
  /** Called before the node listens and calls the platform, so that it can be stopped from then on. */
  readonly onStarting?: (shutdown: Shutdown, logger: Logger) => void;
}

/** A running node. Disposing of it closes everything immediately; `shutdown` stops it without aborting requests. */
export interface RunningNode extends AsyncDisposable {
  readonly incarnation: string;
  readonly callerPort: number;
  readonly peerPort: number;
  readonly shutdown: Shutdown;
  readonly logger: Logger;
  /** Applies changed settings; returns the fields that only take effect after a restart. */
  readonly applySettings: (next: ResolvedSettings, changed: readonly string[]) => readonly string[];
}

/** Starts a node: opens both ports, joins the other nodes, and serves the accepted tables. */
export const startNode = async (
  settings: ResolvedSettings,
  dependencies: NodeDependencies,
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

  const platform = createPlatformClient(settings.platform, {
    platform: dependencies.platform(logger),
    ...{ clock, random, metrics },
  });
  const servingLease = new ServingLease(timing.isolationMs);
  const configuration = new Configuration({
    platform,
    clock,
    logger,
    nodeName: settings.name,
    servingLease,
    onRevision: (revision) => metrics.revision.set(revision),
  });
  const peerClients = store.add(new PeerClients(timing.peerTimeoutMs));
  const requests = new RequestTracker();
  /** Functions that return the names of the leases held by this node. */
  const leaseSources: (() => readonly string[])[] = [];
  /** Functions that hand over leases during a graceful shutdown. */
  const handOvers: (() => Promise<void>)[] = [];

  const self = create(NodeIdentitySchema, {
    name: settings.name,
    incarnation: newId(),
    host: settings.host,
    region: settings.region,
    deployment: settings.deployment,
    availabilityZone: settings.availabilityZone,
  });
  const membership = new Membership({
    self,
    timing,
    seedPeers: settings.seedPeers,
    platform,
    tables: configuration,
    send: (target, request) => peerClients.peer(target).heartbeat(request),
    servingLease,
    clock,
    random,
    logger,
    heldLeases: () => leaseSources.flatMap((heldNames) => heldNames()),
    preparedRevision: () => configuration.revisions().preparedRevision,
    renewsLease: ({ responder, preparedRevision }) =>
      configuration.peerRenewsLease({
        acceptedRevision: Number(responder?.acceptedRevision ?? 0),
        preparedRevision,
      }),
    onPeerAhead: ({ identity }) => {
      fetchFromPeer(peerClients, configuration, identity).catch((error: unknown) =>
        logger.warn('tables-fetch-failed', { peer: identity.name, message: messageOf(error) }),
      );
    },
  });
  const tracing = store.add(await createTracing({ serviceName: settings.name, ...settings.trace }));
  const dataPath: DataPath = store.add(
    createDataPath({
      ...{ clock, random, logger, metrics, tracing, membership, tables: configuration },
      maxConcurrent: settings.limits.maxConcurrent,
      streamIdleMs: timing.streamIdleMs,
      workerReports: membership,
      // eslint-disable-next-line @typescript-eslint/no-use-before-define
      handleNonIdempotent: (...request) => keyed.handle(...request),
    }),
  );
  membership.setWorkerStateReader(createWorkerStateReader(dataPath));
  const keyed = store.add(
    new KeyedRequests({
      ...{ settings, clock, random, logger, membership, tracing, clients: peerClients },
      tables: configuration,
      admission: dataPath.admission,
      registry: metrics.registry,
      dispatch: dispatchOnce,
      onRefused: ({ address }) => dataPath.loads.recordRefusedConnection(address),
      onPeerCall: (method, result) => metrics.peerCalls.inc({ method, result }),
    }),
  );
  handOvers.push(() => keyed.drained());

  const training = store.add(
    assembleTraining({
      ...{ settings, clock, random, logger, metrics, platform, membership, tracing },
      tables: configuration,
      engine: dataPath.engines,
    }),
  );
  leaseSources.push(() => training.heldLeases());
  handOvers.push(() => training.releaseLeases(timing.leaseTtlMs));
  const operator = createOperator({
    platform,
    clock,
    random,
    logger,
    self,
    configuration,
    membership,
    clients: peerClients,
    timing,
    ...createOperatorViews({ membership, configuration }),
    getJobs: () => create(GetJobsResponseSchema, { jobs: training.jobs() }),
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
          issueKeyPrefix: () => (membership.leaving ? undefined : keyed.issueKeyPrefix()),
        }),
        training.callerHandler,
        dataPath.router.handler,
      ],
      forwardHandlers: [keyed.forwardHandler, training.peerHandler],
      routes: (connect) => {
        connect.service(PeerService, {
          ...operator.peerHandlers,
          ...keyed.peerHandlers,
          heartbeat: (request) => membership.heartbeat(request),
        });
        connect.service(OperatorService, operator.operatorHandlers);
      },
    }),
  );
  const shutdown = new Shutdown({
    clock,
    logger,
    requests,
    // Peers may list this node in the responses of `/v1/entries` until the announcement has reached them, which takes
    // one call and two heartbeat periods.
    keepServingMs: timing.entriesTtlMs + timing.peerTimeoutMs + 2 * timing.heartbeatIntervalMs,
    deadlineMs: timing.drainDeadlineMs,
    announce: () => membership.announceLeaving(),
    closeListener: () => servers.closeCallerListener(),
    handOvers,
    deregister: () => membership.deregister(),
    dispose: () => store[Symbol.asyncDispose](),
  });

  dependencies.onStarting?.(shutdown, logger);
  const { callerPort, peerPort } = await servers.listen(settings);
  Object.assign(self, { callerPort, peerPort });
  // Registers before the first read of the head, so that this node is either asked to confirm a current proposal or
  // sees it in that read.
  await membership.start();
  store.add(membership);
  await store.add(operator.follower).start();
  dataPath.loads.start();
  training.start();
  const { incarnation } = self;
  logger.info('node-started', { incarnation, callerPort, peerPort });
  return {
    incarnation,
    callerPort,
    peerPort,
    shutdown,
    logger,
    applySettings: (_next, changed) => changed,
    [Symbol.asyncDispose]: () => store[Symbol.asyncDispose](),
  };
};
