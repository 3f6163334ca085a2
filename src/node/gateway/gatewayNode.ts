import { create } from '@bufbuild/protobuf';
import { NEVER } from 'rxjs';
import { BatchService } from '../../gen/hyssoppulley/v1/batch_pb.ts';
import { NodeIdentitySchema, PeerService } from '../../gen/hyssoppulley/v1/peer_pb.ts';
import { DemandService } from '../../gen/hyssoppulley/v1/demand_pb.ts';
import { PermitService } from '../../gen/hyssoppulley/v1/permit_pb.ts';
import { GatewayOperatorService } from '../../gen/hyssoppulley/v1/gateway_operator_pb.ts';
import { PoisonService } from '../../gen/hyssoppulley/v1/poison_pb.ts';
import { RelayService } from '../../gen/hyssoppulley/v1/relay_pb.ts';
import { TablesSchema } from '../../gen/hyssoppulley/v1/tables_pb.ts';
import { UsageService } from '../../gen/hyssoppulley/v1/usage_pb.ts';
import { type Clock, Stopwatch, systemClock } from '../../shared/clock.ts';
import { DisposableStore } from '../../shared/disposableStore.ts';
import { messageOf } from '../../shared/errors.ts';
import { onInvariantViolation } from '../../shared/invariants.ts';
import { newId, type Random, systemRandom } from '../../shared/random.ts';
import { repeatEvery } from '../../shared/repeat.ts';
import { AccountServices, longestTablesWaitMs } from '../accounts/accountServices.ts';
import { createBatchHandlers } from '../batches/batchService.ts';
import { ContentMemory } from '../batches/contents/contentMemory.ts';
import { BatchSubsystem } from '../batches/batchSubsystem.ts';
import { DutySubsystem } from '../duties/dutySubsystem.ts';
import { RequestLimits } from '../decisions/requestLimits.ts';
import { ServingLease } from '../decisions/servingLease.ts';
import {
  HeartbeatDatagrams,
  type HeartbeatDatagramsOptions,
} from '../membership/heartbeatDatagrams.ts';
import { Membership } from '../membership/membership.ts';
import type { Peer, TablesView } from '../membership/membershipView.ts';
import { PeerClients } from '../membership/peerClients.ts';
import { splitAddress } from '../membership/splitAddress.ts';
import { createLogger, type Logger } from '../observability/logger.ts';
import { createMetrics } from '../observability/metrics.ts';
import { MetricsServer } from './metricsServer.ts';
import { createPlatformClient } from '../platform/createPlatformClient.ts';
import type { PlatformObjects } from '../platform/platformClient.ts';
import { PlatformHealth } from '../platform/platformHealth.ts';
import { WorkerOrders } from '../workerOrders/workerOrders.ts';
import { RequestMemory } from '../requestMemory/requestMemory.ts';
import { RequestTracker } from '../requestTracker.ts';
import { createUsage } from '../usage/createUsage.ts';
import type { ResolvedGateway, ResolvedSettings } from '../settings/resolveSettings.ts';
import { Shutdown } from '../shutdown.ts';
import type { GatewayAdapter } from './adapter.ts';
import { CHANGE_PROPAGATION_GRACE_MS } from './constants.ts';
import { entryAddresses, isPreferredEntry } from './entryAddresses.ts';
import { createGatewayOperatorHandlers, type GatewayOperatorViews } from './gatewayOperator.ts';
import type { GatewayServices } from './gatewayServices.ts';
import { instrumentServices } from './instrumentedServices.ts';
import { PeerServer } from './peerServer.ts';
import { createRequestPath } from './requestPath.ts';
import { PlatformFollowers } from './platformFollowers.ts';
import { startPlatformProbe } from './platformProbe.ts';
import { TablesFollower } from './tablesFollower.ts';
import { TablesCatchUp } from './tablesCatchUp.ts';
import { createNoticeListener, type NoticeListener } from './workerNotices.ts';
import { WorkerRegistry } from './workerRegistry.ts';

/** Long-poll wait of a dispatcher's calls for changes, in ms; also bounds how long a dead connection goes unnoticed. */
const DISPATCHER_LONG_POLL_MS = 2500;

/** Interval between checks whether other nodes have become the relays, in ms. */
const RELAY_CHECK_INTERVAL_MS = 250;

/** Interval between removals of state kept for unregistered workers, in ms. */
const SWEEP_INTERVAL_MS = 10_000;

/** A graceful shutdown must be complete this long before the platform kills the process, in ms. */
const STOP_MARGIN_MS = 500;

/** Time in which a stopping node completes requests in progress after it stops accepting new ones, in ms. */
const REQUEST_COMPLETION_MS = 1500;

export interface GatewayDependencies {
  readonly settings: ResolvedSettings & { readonly gateway: ResolvedGateway };
  readonly platform: (logger: Logger) => PlatformObjects;
  readonly createAdapter: (logger: Logger, onNotice: NoticeListener) => GatewayAdapter;
  /** @default the system clock */
  readonly clock?: Clock;
  /** @default the system's random source */
  readonly random?: Random;
  /** @default a logger that writes to standard output */
  readonly logger?: Logger;
  /** Called before the node listens and calls the platform, so that it can be stopped from then on. */
  readonly onStarting?: ((shutdown: Shutdown, logger: Logger) => void) | undefined;
}

/** Handle of a started gateway. */
export interface RunningGateway extends AsyncDisposable {
  readonly shutdown: Shutdown;
  readonly logger: Logger;
  /** Applies changed settings; returns the fields that only take effect after a restart. */
  readonly applySettings: (next: ResolvedSettings, changed: readonly string[]) => readonly string[];
}

/** Starts a gateway node, which serves callers and trainers on the users' platform. */
export const startGateway = async (dependencies: GatewayDependencies): Promise<RunningGateway> => {
  const { settings, clock = systemClock, random = systemRandom } = dependencies;
  const { gateway, timing } = settings;
  const logger = dependencies.logger ?? createLogger(settings.log.level, { node: settings.name });
  const store = new DisposableStore();
  const metrics = createMetrics();
  const limits = new RequestLimits();
  const onNotice = createNoticeListener({
    ...{ clock, logger, metrics, limits },
    // eslint-disable-next-line @typescript-eslint/no-use-before-define
    registry: { markLeaving: (...noticed) => registry.markLeaving(...noticed) },
    // eslint-disable-next-line @typescript-eslint/no-use-before-define
    onNamed: (worker) => void permits.reportUnpermitted(worker),
  });
  const adapter = dependencies.createAdapter(logger, onNotice);
  onInvariantViolation((name, details) => {
    metrics.invariantViolations.inc({ name });
    logger.error('invariant-violated', { name, details: JSON.stringify(details) });
  });

  const health = new PlatformHealth(clock);
  const platform = createPlatformClient(settings.platform, {
    platform: dependencies.platform(logger),
    ...{ clock, random, metrics, health },
  });
  const peerClients = store.add(new PeerClients(timing.peerTimeoutMs));
  const peerAddress = splitAddress(gateway.peerAddress);
  const self = create(NodeIdentitySchema, {
    name: settings.name,
    incarnation: newId(),
    host: peerAddress.host,
    peerPort: peerAddress.port,
    callerPort: splitAddress(gateway.frontAddress).port,
    region: settings.region,
    deployment: settings.deployment,
    availabilityZone: settings.availabilityZone,
    capacityMillicores: gateway.capacityMillicores,
    datagramPort:
      gateway.datagramAddress === undefined ? 0 : splitAddress(gateway.datagramAddress).port,
  });

  let membership: Membership;
  const sendByHttp: HeartbeatDatagramsOptions['sendByHttp'] = (target, request, timeoutMs) =>
    peerClients.peer(target).heartbeat(request, { timeoutMs });
  const datagrams =
    gateway.datagramAddress === undefined
      ? undefined
      : store.add(
          new HeartbeatDatagrams({
            ...{ clock, random, logger, sendByHttp },
            handleRequest: (request) => membership.heartbeat(request),
            timeoutMs: timing.peerTimeoutMs,
          }),
        );
  const followers = new PlatformFollowers({
    ...{ platform, clock, random, logger },
    view: () => membership,
    platformLost: () => health.lost,
    client: (address) => peerClients.relay(address),
  });
  const registry = store.add(
    new WorkerRegistry({
      ...{ clock, logger },
      decode: adapter.workers.decode,
      // eslint-disable-next-line @typescript-eslint/no-use-before-define
      onChange: () => batches.workersChanged(),
    }),
  );
  let workersVersion = 0;
  const workers = store.add(
    followers.follow({
      prefix: adapter.workers.prefix,
      onEvent: (event) => {
        workersVersion = Math.max(workersVersion, event.object.version);
        registry.applyEvent(event);
      },
      onReconnected: (awayMs) => registry.platformReconnected(awayMs),
    }),
  );
  const tables = store.add(
    new TablesFollower({
      ...{ logger, followers },
      kind: adapter.tables,
      maxWaitMs: longestTablesWaitMs(gateway),
      onChange: () => {
        /* eslint-disable @typescript-eslint/no-use-before-define */
        accounts.tablesChanged();
        batches.tablesChanged();
        /* eslint-enable @typescript-eslint/no-use-before-define */
      },
    }),
  );
  const accounts = new AccountServices({ logger, metrics, tables, settings: gateway });
  const tablesCatchUp = new TablesCatchUp({
    ...{ clock, logger, tables },
    adoptFrom: (peer, minVersion) => followers.adoptFrom(peer, adapter.tables.prefix, minVersion),
  });
  // A watch may miss a change without an error; heartbeats from a node that has received the change reveal this.
  const refreshIfBehind = (peer: Peer) => {
    tablesCatchUp.peerAhead(peer);
    clock.schedule(CHANGE_PROPAGATION_GRACE_MS, () => {
      const fields = { peer: peer.identity.name };
      if (peer.workersVersion > workersVersion && workers.connected) {
        logger.info('workers-change-missed', { ...fields, version: peer.workersVersion });
        workers.refresh();
      }
    });
  };
  const heartbeatTables: TablesView = {
    current: () => ({
      revision: tables.version,
      routes: [],
      pools: new Map(),
      source: create(TablesSchema),
    }),
    changes$: NEVER,
  };
  membership = new Membership({
    ...{ self, timing, platform, clock, random, logger },
    seedPeers: settings.seedPeers,
    tables: heartbeatTables,
    send:
      datagrams?.send ?? ((target, request) => sendByHttp(target, request, timing.peerTimeoutMs)),
    servingLease: new ServingLease(timing.isolationMs),
    // eslint-disable-next-line @typescript-eslint/no-use-before-define
    heldLeases: () => [...batches.heldLeases(), ...duties.heldLeases()],
    preparedRevision: () => 0,
    drainsEnabled: false,
    platformLost: () => health.lost,
    workersVersion: () => workersVersion,
    onPeerAhead: refreshIfBehind,
    onPeerResponse: (...response) => accounts.peerResponded(...response),
    tablesAgeMs: () => accounts.confirmedAgeMs,
  });

  // eslint-disable-next-line @typescript-eslint/no-use-before-define
  const contentMemory: ContentMemory = new ContentMemory(() => requestMemory.batchRoomBytes);
  const requestMemory: RequestMemory = store.add(
    new RequestMemory({
      ...{ clock, logger, metrics, gateway, contents: contentMemory },
      requestLimits: () => tables.tables?.requestLimits,
    }),
  );
  const duties = store.add(
    new DutySubsystem({
      ...{ platform, clock, random, logger, metrics, health, view: membership },
      control: adapter.control,
      fenced: gateway.ordersFenced,
      leaseMs: gateway.orderLeaseMs,
    }),
  );
  const usage = createUsage({
    ...{ platform, clock, random, logger, metrics, view: membership, duties },
    control: gateway.control,
    asked: adapter.control?.duties ?? [],
    call: (node, request, timeoutMs) =>
      peerClients.usage(node).reportCounts(request, { timeoutMs }),
  });
  if (usage !== undefined) store.add(usage);
  const { loadBalancer, permits, poison, poisonExchange, admission, forwarder, streamForwarder } =
    createRequestPath(
      {
        ...{ clock, random, logger, metrics, registry, limits, peerClients, adapter, tables },
        view: membership,
        availabilityZone: settings.availabilityZone,
        usage: usage?.counter,
        responseMemory: requestMemory.responses,
      },
      store,
    );
  const batches = store.add(
    new BatchSubsystem({
      ...{
        platform,
        clock,
        random,
        logger,
        metrics,
        registry,
        tables,
        forwarder,
        adapter,
        limits,
        permits,
        poison,
      },
      peerClients,
      view: membership,
      health,
      ...{ maxValueBytes: gateway.maxValueBytes, contentMemory },
      orderRules: { fenced: gateway.ordersFenced, leaseMs: gateway.orderLeaseMs },
      maxLoading: gateway.maxLoadingWorkers,
      retentionMs: gateway.resultRetentionMs,
      unreadRetentionMs: gateway.unreadBatchRetentionMs,
      weightsLongPollMs: DISPATCHER_LONG_POLL_MS,
    }),
  );
  const workerOrders = store.add(
    new WorkerOrders({
      ...{ clock, logger, metrics, registry, peerClients, duties },
      tables: () => tables.tables,
      demands: () => batches.demands(),
    }),
  );
  const requests = new RequestTracker();
  const gatewayServices: GatewayServices = {
    // eslint-disable-next-line @typescript-eslint/no-use-before-define
    admits: (budgetMs) => shutdown.admits(budgetMs),
    ready: () => tables.tables !== undefined && !membership.leaving,
    entryAddresses: (zone) => entryAddresses(membership, zone, { platformLost: health.lost }),
    requestLimits: () => tables.tables?.requestLimits,
    match: (host, path) => {
      if (tables.tables === undefined) return { kind: 'not-ready' };
      const route = tables.routes.find(host, path);
      return route === undefined ? { kind: 'no-route' } : { kind: 'route', route };
    },
    authenticate: (...request) => accounts.authenticate(...request),
    authenticateBatchCall: (...request) => accounts.authenticateBatchCall(...request),
    forward: (...request) => forwarder.forward(...request),
    forwardStream: (...request) => streamForwarder.forward(...request),
    refuseBatch: (...batch) => batches.refuseIfFull(...batch),
    submitBatch: (...batch) => batches.submit(...batch),
    readBatch: (...read) => batches.read(...read),
    readItem: (...read) => batches.readItem(...read),
    endBatch: (...end) => batches.end(...end),
  };
  const services = instrumentServices(gatewayServices, {
    ...{ clock, logger, metrics },
    tables: () => ({ revision: tables.tables?.revision ?? 0, ageMs: tables.ageMs }),
  });

  const operatorViews: GatewayOperatorViews = {
    revision: () => tables.tables?.revision ?? 0,
    accounts: () => accounts.status(admission.accountsWaiting()),
    usage: () => usage?.statuses() ?? [],
    duties: () => duties.statuses(),
    workerOrders: () => workerOrders.statuses(),
    suspects: () => poison.suspects(),
    clearSuspect: (digest) => poison.clear(digest),
    uploads: () => requestMemory.view(),
  };
  const servers = store.add(adapter.createServers(services, requests, requestMemory));
  const peerServer = store.add(
    new PeerServer({
      logger,
      memory: requestMemory,
      routes: (router) => {
        router.service(PeerService, { heartbeat: (request) => membership.heartbeat(request) });
        router.service(
          BatchService,
          createBatchHandlers(
            () => batches.coordinators(),
            (submission) => batches.acceptForPeer(submission),
          ),
        );
        router.service(RelayService, followers.handlers());
        router.service(PermitService, { issuePermits: (request) => permits.issue(request) });
        router.service(DemandService, workerOrders.handlers);
        router.service(PoisonService, { exchange: (request) => poisonExchange.receive(request) });
        router.service(UsageService, {
          reportCounts: (request) => usage?.exchange.receive(request) ?? {},
        });
        router.service(GatewayOperatorService, createGatewayOperatorHandlers(operatorViews));
      },
    }),
  );
  const shutdown = new Shutdown({
    ...{ clock, logger, requests },
    keepServingMs: gateway.graceMs - STOP_MARGIN_MS - REQUEST_COMPLETION_MS,
    deadlineMs: gateway.graceMs - STOP_MARGIN_MS,
    announce: async () => {
      await Promise.all([membership.announceLeaving(), duties.release()]);
    },
    closeListener: () => servers.stopAccepting(),
    abortRequests: () => servers.abortRequests(),
    handOvers: usage === undefined ? [] : [() => usage.exchange.push()],
    deregister: async () => {
      await usage?.exchange.push();
      return membership.deregister();
    },
    dispose: () => store[Symbol.asyncDispose](),
  });

  dependencies.onStarting?.(shutdown, logger);
  const started = new Stopwatch(clock);
  await peerServer.listen(peerAddress);
  if (gateway.datagramAddress !== undefined) {
    try {
      await datagrams?.listen(splitAddress(gateway.datagramAddress));
    } catch (error) {
      // Peers that know no datagram port send their heartbeats by HTTP.
      self.datagramPort = 0;
      logger.warn('datagrams-not-received', { message: messageOf(error) });
    }
  }
  await servers.listen();
  if (gateway.metricsAddress !== undefined) {
    const metricsServer = store.add(new MetricsServer(metrics, logger));
    await metricsServer.listen(splitAddress(gateway.metricsAddress));
  }
  await membership.start();
  store.add(membership);
  if (usage !== undefined) duties.run(usage.duty);
  await Promise.all([tables.start(), workers.start()]);
  duties.run(workerOrders);
  store.add(
    repeatEvery(clock, SWEEP_INTERVAL_MS, () => {
      loadBalancer.sweep();
      admission.retain((pool) => tables.tables?.pools.has(pool) ?? true);
      permits.sweep();
      limits.retain((id) => registry.find(id) !== undefined, clock.monotonicMs());
    }),
  );
  store.add(repeatEvery(clock, RELAY_CHECK_INTERVAL_MS, () => followers.checkRelays()));
  store.add(
    startPlatformProbe({
      ...{ clock, logger, platform, health, nodeName: settings.name },
      isPreferred: () => isPreferredEntry(membership),
    }),
  );
  logger.info('node-started', {
    incarnation: self.incarnation,
    front: gateway.frontAddress,
    peer: gateway.peerAddress,
    tookMs: Math.round(started.elapsedMs()),
  });
  return {
    shutdown,
    logger,
    applySettings: (_next, changed) => changed,
    [Symbol.asyncDispose]: () => store[Symbol.asyncDispose](),
  };
};
