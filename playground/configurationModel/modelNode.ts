import { create, fromJson } from '@bufbuild/protobuf';
import { type NodeIdentity, NodeIdentitySchema } from '../../src/gen/hyssoppulley/v1/peer_pb.ts';
import { TablesSchema } from '../../src/gen/hyssoppulley/v1/tables_pb.ts';
import type { PeerRevisions } from '../../src/node/decisions/configurationReplica.ts';
import { ServingLease } from '../../src/node/decisions/servingLease.ts';
import { silentLogger } from '../../src/node/observability/logger.ts';
import { Configuration, type PeerTables } from '../../src/node/operator/configuration.ts';
import {
  type ApplyOutcome,
  type ApplyRequest,
  ConfigurationCoordinator,
  type CoordinatorOptions,
} from '../../src/node/operator/configurationCoordinator.ts';
import { ConfigurationFollower } from '../../src/node/operator/configurationFollower.ts';
import type { ConfigurationPeers } from '../../src/node/operator/configurationPeers.ts';
import type { PlatformClient } from '../../src/node/platform/platformClient.ts';
import { type Clock, Stopwatch } from '../../src/shared/clock.ts';
import type { Random } from '../../src/shared/random.ts';

/** The default timing settings of a node, in ms. */
export const TIMING = {
  isolationMs: 6000,
  isolationMarginMs: 2000,
  suspectAfterMs: 3000,
  heartbeatIntervalMs: 1000,
  headPollIntervalMs: 2000,
};

/** Calls to other nodes through the simulated network. A call rejects if no response arrives within the timeout. */
export interface ModelNetwork {
  readonly names: readonly string[];
  call<T>(target: string, work: (node: ModelNode) => T | Promise<T>): Promise<T>;
}

/** Parts of the production code that a test replaces by a faulty variant. */
export interface ModelVariant {
  /** @default `ConfigurationCoordinator` */
  readonly createCoordinator?: (options: CoordinatorOptions) => {
    apply(request: ApplyRequest): Promise<ApplyOutcome>;
  };
  /** @default `Configuration.adoptFromPeer` */
  readonly adoptFromPeer?: (configuration: Configuration, peer: PeerTables) => boolean;
}

export interface ModelNodeOptions {
  readonly name: string;
  readonly incarnation: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly platform: PlatformClient;
  readonly network: ModelNetwork;
  readonly variant: ModelVariant;
  readonly onRevision: (revision: number) => void;
}

/** One incarnation of a node: the production configuration code with a model of the heartbeats. */
export class ModelNode {
  readonly identity: NodeIdentity;

  readonly configuration: Configuration;

  readonly coordinator: { apply(request: ApplyRequest): Promise<ApplyOutcome> };

  readonly servingLease = new ServingLease(TIMING.isolationMs);

  readonly #options: ModelNodeOptions;

  readonly #lastHeard = new Map<string, Stopwatch>();

  readonly #uptime: Stopwatch;

  #registered = false;

  constructor(options: ModelNodeOptions) {
    this.#options = options;
    const { name, incarnation, clock, random, platform, variant } = options;
    this.identity = create(NodeIdentitySchema, { name, incarnation, host: name });
    this.#uptime = new Stopwatch(clock);
    const logger = silentLogger;
    this.configuration = new Configuration({
      platform,
      clock,
      logger,
      nodeName: name,
      servingLease: this.servingLease,
      onRevision: options.onRevision,
    });
    this.configuration.setEveryPeerHeard(() =>
      this.#others().every((other) => this.lastHeardMs(other) < TIMING.suspectAfterMs),
    );
    const { createCoordinator = (given) => new ConfigurationCoordinator(given) } = variant;
    this.coordinator = createCoordinator({
      platform,
      clock,
      random,
      logger,
      self: this.identity,
      configuration: this.configuration,
      peers: this.#peers(),
      timing: TIMING,
      hasEnded: (coordinator) => this.lastHeardMs(coordinator.name) >= TIMING.suspectAfterMs,
      lastHeardMs: (other) => this.lastHeardMs(other),
    });
  }

  /** Starts the heartbeats, registers the node at the platform, and starts to follow the configuration head. */
  async start(): Promise<void> {
    const { clock, platform } = this.#options;
    this.#sendHeartbeats();
    await this.#register();
    const follower = new ConfigurationFollower({
      platform,
      clock,
      logger: silentLogger,
      configuration: this.configuration,
      headPollIntervalMs: TIMING.headPollIntervalMs,
    });
    await follower.start();
  }

  get revision(): number {
    return this.configuration.current()?.revision ?? 0;
  }

  mayServe(): boolean {
    return this.servingLease.mayServe() && this.revision > 0;
  }

  /** Time since this node last heard from another node, limited to this node's uptime, in ms. */
  lastHeardMs(name: string): number {
    const uptimeMs = this.#uptime.minElapsedMs();
    return Math.min(uptimeMs, this.#lastHeard.get(name)?.minElapsedMs() ?? uptimeMs);
  }

  /** Handles a heartbeat of a peer. Returns the revisions of this node. */
  onHeartbeat(sender: string, acceptedRevision: number): PeerRevisions {
    this.#recordHeard(sender);
    if (acceptedRevision > this.revision) void this.#fetchFrom(sender);
    return this.configuration.revisions();
  }

  /** Handles a peer's request for the accepted tables. */
  tablesFor(sender: string): PeerTables {
    this.#recordHeard(sender);
    return {
      ...this.configuration.revisions(),
      operationId: this.configuration.operationId,
      tables: this.configuration.current()?.source ?? fromJson(TablesSchema, {}),
      serving: this.mayServe(),
    };
  }

  async onCommit(revision: number, operationId: string): Promise<number> {
    if (this.configuration.commit(revision, operationId) < revision) {
      await this.configuration.refresh().catch(() => undefined);
    }
    return this.configuration.revisions().acceptedRevision;
  }

  #others(): string[] {
    return this.#options.network.names.filter((name) => name !== this.identity.name);
  }

  #recordHeard(name: string): void {
    this.#lastHeard.set(name, new Stopwatch(this.#options.clock));
  }

  async #register(): Promise<void> {
    const { platform, name, incarnation } = this.#options;
    const value = { name, incarnation, host: name };
    const result = await platform.write(`nodes/${name}`, value);
    this.#registered = result.status === 'written';
  }

  #sendHeartbeats(): void {
    const { clock, random } = this.#options;
    if (this.revision === 0) this.#bootstrapFromPeer();
    for (const other of this.#others()) void this.#sendHeartbeat(other);
    clock.schedule(TIMING.heartbeatIntervalMs * (0.9 + random() * 0.2), () =>
      this.#sendHeartbeats(),
    );
  }

  /**
   * Fetches the tables from a random peer, for a start during a platform outage. `nodes/<name>` of an earlier
   * incarnation still exists then, so coordinators ask this node to confirm proposals.
   */
  #bootstrapFromPeer(): void {
    const others = this.#others();
    const peer = others[Math.floor(this.#options.random() * others.length)];
    if (peer !== undefined) void this.#fetchFrom(peer);
    if (!this.#registered) void this.#register();
  }

  async #sendHeartbeat(other: string): Promise<void> {
    const { clock, network } = this.#options;
    const { name } = this.identity;
    const sentAt = new Stopwatch(clock);
    const { revision } = this;
    const peer = await network
      .call(other, (node) => node.onHeartbeat(name, revision))
      .catch(() => undefined);
    if (peer === undefined) return;
    this.#recordHeard(other);
    if (this.configuration.peerRenewsLease(peer)) this.servingLease.renewByPeer(sentAt);
    if (peer.acceptedRevision > this.revision) await this.#fetchFrom(other);
  }

  async #fetchFrom(other: string): Promise<void> {
    const { network, variant } = this.#options;
    const { name } = this.identity;
    const { adoptFromPeer = (configuration, given) => configuration.adoptFromPeer(given) } =
      variant;
    const peer = await network.call(other, (node) => node.tablesFor(name)).catch(() => undefined);
    if (peer !== undefined) adoptFromPeer(this.configuration, peer);
  }

  #peers(): ConfigurationPeers {
    const { network } = this.#options;
    return {
      prepare: ({ name }, { headVersion, silentNodes, ...record }) =>
        network.call(name, (node) => ({
          ...node.configuration.prepare(record, headVersion),
          lastHeardMs: Object.fromEntries(
            silentNodes.map((silent) => [silent, node.lastHeardMs(silent)]),
          ),
        })),
      commit: ({ name }, { revision, operationId }) =>
        network.call(name, (node) => node.onCommit(revision, operationId)),
    };
  }
}
