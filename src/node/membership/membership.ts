import { create } from '@bufbuild/protobuf';
import {
  type HeartbeatRequest,
  type HeartbeatResponse,
  type NodeIdentity,
  PeerDigestSchema,
} from '../../gen/hyssoppulley/v1/peer_pb.ts';
import type { Clock, Stopwatch } from '../../shared/clock.ts';
import { DisposableStore } from '../../shared/disposableStore.ts';
import { messageOf } from '../../shared/errors.ts';
import type { Random } from '../../shared/random.ts';
import { repeatEvery } from '../../shared/repeat.ts';
import { chooseEntries, type Entry, type EntryCandidate } from '../decisions/entrySelection.ts';
import { isLaterIncarnation, type PeerRecord, PeerTable } from '../decisions/peerTable.ts';
import type { WorkerFailureKind } from '../decisions/workerHealth.ts';
import type { Logger } from '../observability/logger.ts';
import type { PlatformClient, ReadOptions } from '../platform/platformClient.ts';
import type { ResolvedTiming } from '../settings/resolveSettings.ts';
import { splitAddress } from './splitAddress.ts';
import { type DrainKind, Drains } from './drains.ts';
import { Heartbeats, type SelfState, type SendHeartbeat } from './heartbeats.ts';
import type {
  MembershipView,
  Peer,
  TablesView,
  WorkerEndpoint,
  WorkerHealthReporter,
  WorkerStatusView,
} from './membershipView.ts';
import { Registration } from './registration.ts';
import { type ReportedState, WorkerDirectory, type WorkerStateReader } from './workerDirectory.ts';

/** Interval between reads of all registrations before jitter, in ms. Meanwhile new nodes are learned from peers. */
const BASE_LIST_INTERVAL_MS = 30_000;

/** Added per known peer, in ms. At about 250 bytes per registration, reads stay below 250 bytes/s before jitter. */
const LIST_INTERVAL_PER_PEER_MS = 1000;

/** Maximum delay between two attempts to register, in heartbeat periods. */
const MAX_REGISTER_BACKOFF_PERIODS = 8;

/** The part of `ServingLease` that membership uses. */
export interface RenewableLease {
  renewByPeer(sentAt: Stopwatch): void;
  mayServe(): boolean;
}

export interface MembershipOptions {
  /** Identity of this node. Its ports are set before `start`. */
  readonly self: NodeIdentity;
  readonly timing: ResolvedTiming;
  /** Peer addresses through which the node joins if the platform is unreachable. */
  readonly seedPeers: readonly string[];
  readonly platform: PlatformClient;
  readonly tables: TablesView;
  readonly send: SendHeartbeat;
  readonly servingLease: RenewableLease;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  /** Whether operators drain nodes and workers with the commands of this program. @default true */
  readonly drainsEnabled?: boolean;
  /** Names of the leases that this node holds, such as `job/draft`. */
  readonly heldLeases: () => readonly string[];
  /** Highest revision that this node prepared. */
  readonly preparedRevision: () => number;
  /** Whether the platform is unreachable from this node. @default never */
  readonly platformLost?: () => boolean;
  /** Platform version at which the worker registrations last changed. @default 0: they are not followed */
  readonly workersVersion?: () => number;
  /** Called when a heartbeat shows a higher accepted revision, or later worker registrations, than this node knows. */
  readonly onPeerAhead: (peer: Peer) => void;
  /** Called for each response to a heartbeat; `sentAt` was started directly before the heartbeat was sent. */
  readonly onPeerResponse?: (response: HeartbeatResponse, sentAt: Stopwatch) => void;
  /** Time since the tables were last known to be current, in ms. @default unknown */
  readonly tablesAgeMs?: () => number;
  /** Whether the response to a heartbeat renews the serving lease. @default every response does */
  readonly renewsLease?: (response: HeartbeatResponse) => boolean;
}

/** Tracks live nodes and workers by registrations, heartbeats, the VM list and drains; renews the serving lease. */
export class Membership implements MembershipView, WorkerHealthReporter, AsyncDisposable {
  readonly self: NodeIdentity;

  readonly #options: MembershipOptions;

  readonly #table: PeerTable;

  readonly #registration: Registration;

  readonly #drains: Drains;

  readonly #workers: WorkerDirectory;

  readonly #heartbeats: Heartbeats;

  readonly #store = new DisposableStore();

  /** Names of the peers that were suspected in the last period. Bounded by the size of the peer table. */
  #suspectedNames: ReadonlySet<string> = new Set();

  #leaving = false;

  /** Whether the platform or a peer knows this incarnation, so that its generation can no longer be raised. */
  #published = false;

  /** Whether a later incarnation with this node's name exists. A replaced process accepts no new work. */
  #replaced = false;

  constructor(options: MembershipOptions) {
    const { self, timing, platform, tables, clock, random, logger, send } = options;
    this.#options = options;
    this.self = self;
    this.#table = new PeerTable({
      selfName: self.name,
      deployment: self.deployment,
      ...timing,
    });
    this.#registration = new Registration(platform, clock, self);
    this.#drains = new Drains(platform, () => this.#workers.invalidateCache());
    this.#workers = new WorkerDirectory({ platform, tables, clock, logger }, this.#drains);
    this.#heartbeats = new Heartbeats({
      self,
      state: this.#selfState(),
      table: this.#table,
      drains: this.#drains,
      workers: this.#workers,
      send,
      clock,
      random,
      logger,
      onResponse: (response, sentAt) => this.#onHeartbeatResponse(response, sentAt),
      onPeerAhead: (digest) => {
        const record = this.#table.findIncarnation(digest.identity?.incarnation ?? '');
        if (record) options.onPeerAhead(this.#toPeer(record));
      },
      onNameConflict: (other) => this.#onNameConflict(other),
    });
  }

  /** Joins by the platform's list of nodes, or through a seed peer during an outage, and starts the periodic tasks. */
  async start(): Promise<void> {
    const { clock, timing, random } = this.#options;
    const { heartbeatIntervalMs, vmListIntervalMs } = timing;
    await this.#join();
    if (this.#store.disposed) return;
    const heartbeatTimer = repeatEvery(clock, heartbeatIntervalMs, () => this.#sendHeartbeats(), 0);
    const probeTimer = repeatEvery(clock, heartbeatIntervalMs, () => this.#workers.probe());
    // A random initial delay spreads the reads of nodes that start at the same time.
    const vmTimer = repeatEvery(
      clock,
      vmListIntervalMs,
      () => this.#workers.refreshVms(),
      random() * vmListIntervalMs,
    );
    const listIntervalMs = () =>
      (BASE_LIST_INTERVAL_MS + this.#table.size * LIST_INTERVAL_PER_PEER_MS) * (0.5 + random() / 2);
    const refresh = async () => {
      await this.#refreshNodes({ allowStale: true });
    };
    const nodeTimer = repeatEvery(clock, listIntervalMs, refresh);
    for (const timer of [heartbeatTimer, probeTimer, vmTimer, nodeTimer]) this.#store.add(timer);
    if (!this.#registration.hasPredecessor) {
      // Finds the nodes that started at the same time as this one. A restarted node skips this read, as the other
      // nodes are already registered when it joins.
      const secondListDelayMs = heartbeatIntervalMs * (3 + 2 * random());
      this.#store.add(clock.schedule(secondListDelayMs, () => void this.#refreshNodes()));
    }
    if (!this.#registration.registered) this.#retryJoin();
  }

  peers(): readonly Peer[] {
    return [...this.#table.records()].map((record) => this.#toPeer(record));
  }

  findIncarnation(incarnation: string): Peer | undefined {
    const record = this.#table.findIncarnation(incarnation);
    return record && this.#toPeer(record);
  }

  leaseHolder(lease: string): Peer | undefined {
    const nowMs = this.#options.clock.monotonicMs();
    const holders = [...this.#table.records()].filter(
      (record) => record.digest.leases.includes(lease) && !this.#table.isSuspected(record, nowMs),
    );
    // Two peers claim the same lease while a hand-over spreads; the more recent claim is more likely to be correct.
    const latest = holders.sort((left, right) => right.lastGrowthMs - left.lastGrowthMs)[0];
    return latest && this.#toPeer(latest);
  }

  mayServe(): boolean {
    return !this.#replaced && this.#options.servingLease.mayServe();
  }

  get leaving(): boolean {
    return this.#leaving;
  }

  workersOf(poolName: string): readonly WorkerEndpoint[] {
    return this.#workers.workersOf(poolName);
  }

  workerStates(poolName: string): readonly WorkerStatusView[] {
    return this.#workers.statesOf(poolName).map(({ worker, state, drained }) => ({
      ...worker,
      state: drained ? 'drained' : state,
    }));
  }

  reportWorkerFailure(address: string, kind: WorkerFailureKind): void {
    this.#workers.reportFailure(address, kind);
  }

  /** Sets the function that probes workers which are out of service. */
  setWorkerStateReader(reader: WorkerStateReader): void {
    this.#workers.stateReader = reader;
  }

  reportWorkerState(address: string, state: ReportedState): void {
    this.#workers.reportState(address, state);
  }

  /** Entries to return to a caller. If this node may not serve and none is left, suspected peers are included. */
  entries(): readonly Entry[] {
    const { availabilityZone, name } = this.self;
    const mayServe = this.mayServe();
    const ownEntry = {
      ...this.#entryCandidate(this.self),
      leaving: this.#leaving,
      suspected: false,
    };
    const peers = this.peers().map((peer) => ({
      ...this.#entryCandidate(peer.identity),
      leaving: peer.leaving,
      suspected: peer.suspected,
    }));
    const self = mayServe && !this.#drains.hasNode(name) ? ownEntry : undefined;
    const { random } = this.#options;
    const entries = chooseEntries(self, peers, availabilityZone, random);
    if (entries.length > 0 || mayServe) return entries;
    const assumedLive = peers.map((peer) => ({ ...peer, suspected: false }));
    return chooseEntries(undefined, assumedLive, availabilityZone, random);
  }

  /**
   * Sets or removes an operator's drain.
   *
   * @returns `kept`: whether the platform stored the change; otherwise it only takes effect in memory
   * @throws DrainError when the list is full
   */
  setDrain(kind: DrainKind, name: string, drained: boolean) {
    return this.#drains.set(kind, name, drained);
  }

  /** Handles a peer's heartbeat. */
  heartbeat(request: HeartbeatRequest): HeartbeatResponse {
    return this.#heartbeats.handleRequest(request);
  }

  /** First step of a graceful shutdown: removes this node from the entries and notifies every peer. */
  async announceLeaving(): Promise<void> {
    this.#leaving = true;
    await this.#heartbeats.announceToAll();
  }

  /** Last step of a graceful shutdown. Returns whether the platform stored the deregistration. */
  async deregister(): Promise<boolean> {
    const done = await this.#registration.deregister();
    await this.#heartbeats.announceToAll();
    return done;
  }

  [Symbol.asyncDispose](): Promise<void> {
    return this.#store[Symbol.asyncDispose]();
  }

  #selfState(): SelfState {
    const { tables, heldLeases, preparedRevision } = this.#options;
    const { platformLost = () => false, workersVersion = () => 0 } = this.#options;
    const { tablesAgeMs = () => Infinity } = this.#options;
    return {
      leaving: () => this.#leaving,
      acceptedRevision: () => tables.current()?.revision ?? 0,
      preparedRevision,
      heldLeases,
      mayServe: () => this.mayServe(),
      platformLost,
      workersVersion,
      tablesAgeMs,
    };
  }

  #sendHeartbeats(): void {
    this.#heartbeats.sendHeartbeats();
    const { clock, logger } = this.#options;
    const nowMs = clock.monotonicMs();
    const suspected = new Set<string>();
    for (const record of this.#table.records()) {
      const name = record.digest.identity?.name ?? '';
      if (this.#table.isSuspected(record, nowMs)) suspected.add(name);
    }
    for (const peer of suspected) {
      if (!this.#suspectedNames.has(peer)) logger.warn('peer-suspected', { peer });
    }
    for (const peer of this.#suspectedNames) {
      if (!suspected.has(peer)) logger.info('peer-no-longer-suspected', { peer });
    }
    this.#suspectedNames = suspected;
  }

  async #join(): Promise<void> {
    // Registers before listing, so that of two nodes that start together the one that lists last sees the other.
    const registered = await this.#registration.register(!this.#published);
    if (registered === 'registered') this.#published = true;
    if (registered === 'replaced') this.#markReplaced();
    const listed = await this.#refreshNodes();
    if (listed || this.#table.size > 0) return;
    this.#options.logger.warn('platform-unreachable-at-join', {
      seedPeers: this.#options.seedPeers.length,
    });
    for (const address of this.#options.seedPeers) {
      const { host, port } = splitAddress(address);
      if (await this.#heartbeats.join({ host, peerPort: port })) return;
    }
  }

  /** Retries joining with exponential backoff, at most `MAX_REGISTER_BACKOFF_PERIODS` periods. */
  #retryJoin(): void {
    const { clock, timing, random } = this.#options;
    let periods = 1;
    const nextDelayMs = () => {
      const delayMs = timing.heartbeatIntervalMs * periods * (0.5 + random() / 2);
      periods = Math.min(periods * 2, MAX_REGISTER_BACKOFF_PERIODS);
      return delayMs;
    };
    const timer = repeatEvery(clock, nextDelayMs, async () => {
      await this.#join();
      if (this.#registration.registered || this.#replaced) timer[Symbol.dispose]();
    });
    this.#store.add(timer);
  }

  /** Learns peers and drains from the platform. Returns whether the platform responded. */
  async #refreshNodes(options?: ReadOptions): Promise<boolean> {
    const { drainsEnabled = true } = this.#options;
    try {
      const nodes = await this.#registration.list(options);
      this.#heartbeats.learnAll(
        nodes
          .filter(({ deregistered }) => !deregistered)
          .map(({ identity }) => create(PeerDigestSchema, { identity })),
      );
      if (drainsEnabled) await this.#drains.refresh();
      return true;
    } catch (error) {
      this.#options.logger.debug('node-list-failed', { message: messageOf(error) });
      return false;
    }
  }

  #onHeartbeatResponse(response: HeartbeatResponse, sentAt: Stopwatch): void {
    const { renewsLease, servingLease } = this.#options;
    this.#published = true;
    if (renewsLease?.(response) ?? true) servingLease.renewByPeer(sentAt);
    this.#options.onPeerResponse?.(response, sentAt);
  }

  #onNameConflict(other: NodeIdentity): void {
    if (isLaterIncarnation(this.self, other)) return;
    if (this.#published) this.#markReplaced();
    else this.#registration.supersede(other);
  }

  #markReplaced(): void {
    if (this.#replaced) return;
    this.#replaced = true;
    this.#options.logger.error('node-replaced', {
      message: `another process named ${this.self.name} started later; give each node its own name`,
    });
  }

  #entryCandidate({
    host,
    callerPort,
    availabilityZone,
    name,
  }: NodeIdentity): Pick<EntryCandidate, 'address' | 'availabilityZone' | 'drained'> {
    const address = `${host.includes(':') ? `[${host}]` : host}:${callerPort}`;
    return { address, availabilityZone, drained: this.#drains.hasNode(name) };
  }

  #toPeer(record: PeerRecord): Peer {
    const nowMs = this.#options.clock.monotonicMs();
    const { digest, lastDirectMs } = record;
    return {
      identity: digest.identity as NodeIdentity,
      suspected: this.#table.isSuspected(record, nowMs),
      leaving: digest.leaving,
      lastHeardMs: lastDirectMs === undefined ? undefined : nowMs - lastDirectMs,
      acceptedRevision: Number(digest.acceptedRevision),
      leases: digest.leases,
      platformLost: digest.platformLost,
      workersVersion: Number(digest.workersVersion),
    };
  }
}
