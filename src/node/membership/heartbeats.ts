import { create, toBinary } from '@bufbuild/protobuf';
import {
  type HeartbeatRequest,
  HeartbeatRequestSchema,
  type HeartbeatResponse,
  HeartbeatResponseSchema,
  type NodeIdentity,
  type PeerDigest,
  PeerDigestSchema,
} from '../../gen/hyssoppulley/v1/peer_pb.ts';
import { type Clock, Stopwatch } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import { reportViolation } from '../../shared/invariants.ts';
import type { Random } from '../../shared/random.ts';
import { gossipTargets } from '../decisions/gossipTargets.ts';
import {
  type DigestSource,
  type MergeResult,
  type PeerRecord,
  type PeerTable,
  sameRole,
} from '../decisions/peerTable.ts';
import type { Logger } from '../observability/logger.ts';
import type { Drains } from './drains.ts';
import type { WorkerDirectory } from './workerDirectory.ts';

/**
 * Maximum number of digests of other peers per message, about 95 bytes each. With two, the four messages that a node
 * sends per second stay within 2 KB/s including HTTP headers, even while every node of a large deployment restarts.
 */
export const MAX_DIGESTS = 2;

/** Age from which it is not sent, in ms; nothing depends on whether tables are older. */
const MAX_SENT_AGE_MS = 3_600_000;

/** Maximum number of doubts per message, about 25 bytes each. */
export const MAX_DOUBTS = 8;

/** Minimum number of periods between two responses that list all peers, each about 37 KB with 410 nodes. */
const FULL_SYNC_MIN_PERIODS = 10;

/** Maximum number of concurrent heartbeats while a graceful shutdown is announced to every peer. */
const ANNOUNCE_CONCURRENCY = 16;

/** Periods in which a change of this node's own role is sent to as many peers as allowed. */
const OWN_CHANGE_PERIODS = 2;

/** Destination of a heartbeat. Without a datagram port, the heartbeat is sent by HTTP. */
export type HeartbeatTarget = Pick<NodeIdentity, 'host' | 'peerPort'> &
  Partial<Pick<NodeIdentity, 'datagramPort'>>;

/** Sends one heartbeat; rejects when no response arrives in time. */
export type SendHeartbeat = (
  target: HeartbeatTarget,
  request: HeartbeatRequest,
) => Promise<HeartbeatResponse>;

/** State of this node that heartbeats carry to its peers. */
export interface SelfState {
  readonly leaving: () => boolean;
  readonly acceptedRevision: () => number;
  readonly preparedRevision: () => number;
  /** Names of held leases, such as `job/draft`. */
  readonly heldLeases: () => readonly string[];
  readonly mayServe: () => boolean;
  /** Whether the platform is unreachable from this node. */
  readonly platformLost: () => boolean;
  /** Platform version at which the worker registrations last changed. */
  readonly workersVersion: () => number;
  /** Time since the tables were last known to be current, in ms; Infinity: unknown. */
  readonly tablesAgeMs: () => number;
}

/** Result of one heartbeat. `not-sent`: it could not be encoded. */
type ExchangeResult = 'responded' | 'silent' | 'not-sent';

export interface HeartbeatsOptions {
  readonly self: NodeIdentity;
  readonly state: SelfState;
  readonly table: PeerTable;
  readonly drains: Drains;
  readonly workers: WorkerDirectory;
  readonly send: SendHeartbeat;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  /** Called when a heartbeat got a response; `sentAt` was started directly before it was sent. */
  readonly onResponse: (response: HeartbeatResponse, sentAt: Stopwatch) => void;
  /** Called when a digest shows a higher accepted revision, or later worker registrations, than this node knows. */
  readonly onPeerAhead: (peer: PeerDigest) => void;
  /** Called when a digest shows another incarnation with this node's name. */
  readonly onNameConflict: (other: NodeIdentity) => void;
}

/** Age as a message holds it; undefined when it is unknown or not worth sending. */
const toAgeMs = (ageMs: number): number | undefined =>
  ageMs < MAX_SENT_AGE_MS ? Math.ceil(ageMs) : undefined;

/**
 * Groups the known peers for `gossipTargets`. The successor is the next peer in the order of the incarnations, which
 * all nodes share and which mixes the availability zones.
 */
const gossipCandidates = (table: PeerTable, selfIncarnation: string, nowMs: number) => {
  const live: PeerRecord[] = [];
  const doubted: PeerRecord[] = [];
  const suspected: PeerRecord[] = [];
  let first: PeerRecord | undefined;
  let successor: PeerRecord | undefined;
  const incarnationOf = (record: PeerRecord) => record.digest.identity?.incarnation ?? '';
  const isBefore = (record: PeerRecord, other: PeerRecord | undefined) =>
    other === undefined || incarnationOf(record) < incarnationOf(other);
  for (const record of table.records()) {
    if (table.isSuspected(record, nowMs)) {
      suspected.push(record);
      continue;
    }
    (record.doubtedMs === undefined ? live : doubted).push(record);
    if (isBefore(record, first)) first = record;
    if (incarnationOf(record) > selfIncarnation && isBefore(record, successor)) successor = record;
  }
  return { live, doubted, suspected, successor: successor ?? first };
};

/** Whether a heartbeat can be encoded. One that cannot is a fault of this program and says nothing of the peer. */
const isEncodable = (request: HeartbeatRequest): boolean => {
  try {
    toBinary(HeartbeatRequestSchema, request);
    return true;
  } catch (error) {
    reportViolation('heartbeat-encodable', { message: messageOf(error) });
    return false;
  }
};

/** Exchanges heartbeats with peers: sends those of each period and responds to those of other nodes. */
export class Heartbeats {
  readonly #options: HeartbeatsOptions;

  /** Incarnations with a heartbeat in progress. Prevents a second heartbeat to a peer that does not respond. */
  readonly #inProgress = new Set<string>();

  #heartbeatCount = 0;

  /** Heartbeat count when a peer last responded with all peers that it knows. */
  #lastFullSyncAt = -Infinity;

  /** This node's own digest in the last period. */
  #lastDigest: PeerDigest | undefined;

  /** Heartbeat count up to which a change of this node's own role is broadcast. */
  #broadcastUntil = -Infinity;

  /** A peer with a newer drain list; it gets a heartbeat in the next period. */
  #drainListSource: NodeIdentity | undefined;

  constructor(options: HeartbeatsOptions) {
    this.#options = options;
  }

  /** Sends the heartbeats of one period and removes peers that have long been suspected. */
  sendHeartbeats(): void {
    const { self, table, clock, random } = this.#options;
    const nowMs = clock.monotonicMs();
    this.#heartbeatCount += 1;
    const candidates = gossipCandidates(table, self.incarnation, nowMs);
    const targets = new Map<string, NodeIdentity>();
    const broadcast = this.#hasOwnChange() || table.hasChangesToBroadcast;
    const chosen = gossipTargets({ ...candidates, broadcast }, random).map(
      ({ digest }) => digest.identity,
    );
    for (const identity of [...chosen, this.#drainListSource]) {
      if (identity) targets.set(identity.incarnation, identity);
    }
    this.#drainListSource = undefined;
    // After a partition, updates about single peers would take minutes to clear all suspicions.
    const mostlySuspected = candidates.suspected.length * 2 > table.size;
    let wantsAllPeers =
      mostlySuspected && this.#heartbeatCount - this.#lastFullSyncAt >= FULL_SYNC_MIN_PERIODS;
    for (const identity of targets.values()) {
      void this.exchange(identity, { wantsAllPeers });
      wantsAllPeers = false;
    }
    table.removeUnresponsivePeers(nowMs);
  }

  /** Sends a heartbeat to every peer at once, to announce a graceful shutdown. */
  async announceToAll(): Promise<void> {
    this.#heartbeatCount += 1;
    const remaining = [...this.#options.table.records()]
      .map(({ digest }) => digest.identity)
      .filter((identity) => identity !== undefined);
    const run = async () => {
      for (let next = remaining.pop(); next; next = remaining.pop()) {
        await this.exchange(next, { evenIfInProgress: true });
      }
    };
    await Promise.all(Array.from({ length: ANNOUNCE_CONCURRENCY }, run));
  }

  /** Sends one heartbeat and applies the response. */
  async exchange(
    identity: NodeIdentity,
    { wantsAllPeers = false, evenIfInProgress = false } = {},
  ): Promise<void> {
    const { table, clock } = this.#options;
    const { incarnation } = identity;
    if (this.#inProgress.has(incarnation) && !evenIfInProgress) return;
    this.#inProgress.add(incarnation);
    const sentMs = clock.monotonicMs();
    const result = await this.#sendAndLearn(identity, { ...this.request(), wantsAllPeers });
    this.#inProgress.delete(incarnation);
    if (result === 'silent') table.recordFailedExchange(incarnation, sentMs, clock.monotonicMs());
  }

  /** Joins through the address of a node whose identity is not known yet. Returns whether the node responded. */
  async join(address: Pick<NodeIdentity, 'host' | 'peerPort'>): Promise<boolean> {
    const result = await this.#sendAndLearn(address, { ...this.request(), wantsAllPeers: true });
    return result === 'responded';
  }

  /** Builds the heartbeat of this period. */
  request(): HeartbeatRequest {
    const { table, drains, workers, clock } = this.#options;
    const nowMs = clock.monotonicMs();
    return create(HeartbeatRequestSchema, {
      sender: this.digest(),
      changed: table.changesToSend(nowMs, MAX_DIGESTS, true),
      drains: drains.summary,
      doubts: table.doubtsToSend(nowMs, MAX_DOUBTS),
      workerSigns: workers.signsToSend(),
    });
  }

  /** Applies a peer's heartbeat and returns the response. */
  handleRequest(request: HeartbeatRequest): HeartbeatResponse {
    const { self, table, drains, workers, clock, state } = this.#options;
    const nowMs = clock.monotonicMs();
    if (request.sender?.identity?.deployment === self.deployment) {
      this.#learn(request.sender, 'direct');
      this.#learnGossip(request, 'gossip');
      if (drains.needsUpdateFrom(request.drains)) this.#drainListSource = request.sender.identity;
    }
    return create(HeartbeatResponseSchema, {
      responder: this.digest(),
      changed: request.wantsAllPeers
        ? table.allDigests(nowMs)
        : table.changesToSend(nowMs, MAX_DIGESTS),
      drains: drains.hasUpdateFor(request.drains) ? drains.list : drains.summary,
      preparedRevision: state.preparedRevision(),
      serving: state.mayServe(),
      tablesAgeMs: toAgeMs(state.tablesAgeMs()),
      doubts: table.doubtsToSend(nowMs, MAX_DOUBTS),
      workerSigns: workers.signsToSend(),
    });
  }

  /** Digest of this node's own state. */
  digest(): PeerDigest {
    const { self, state } = this.#options;
    return create(PeerDigestSchema, {
      identity: self,
      heartbeatCount: this.#heartbeatCount,
      leaving: state.leaving(),
      acceptedRevision: BigInt(state.acceptedRevision()),
      leases: [...state.heldLeases()],
      platformLost: state.platformLost(),
      workersVersion: BigInt(state.workersVersion()),
    });
  }

  /** Learns peers from a list of nodes. Logs their number, because a large deployment has hundreds. */
  learnAll(digests: readonly PeerDigest[]): void {
    const results = digests.map((digest) => this.#learn(digest, 'list'));
    const added = results.filter((result) => result === 'new').length;
    const restarted = results.filter((result) => result === 'restarted').length;
    if (added + restarted === 0) return;
    this.#options.logger.info('peers-listed', { listed: digests.length, added, restarted });
  }

  /** Whether this node's own role has changed within the last periods. */
  #hasOwnChange(): boolean {
    const digest = this.digest();
    if (this.#lastDigest !== undefined && !sameRole(this.#lastDigest, digest)) {
      this.#broadcastUntil = this.#heartbeatCount + OWN_CHANGE_PERIODS;
    }
    this.#lastDigest = digest;
    return this.#heartbeatCount < this.#broadcastUntil;
  }

  async #sendAndLearn(target: HeartbeatTarget, request: HeartbeatRequest): Promise<ExchangeResult> {
    const { self, send, clock, drains, onResponse } = this.#options;
    const sentAt = new Stopwatch(clock);
    try {
      const response = await send(target, request);
      // Another deployment may have been given the address of a node that is gone.
      if (response.responder?.identity?.deployment !== self.deployment) return 'silent';
      this.#learn(response.responder, 'direct');
      this.#learnGossip(response, request.wantsAllPeers ? 'list' : 'gossip');
      if (request.wantsAllPeers) this.#lastFullSyncAt = this.#heartbeatCount;
      drains.mergeResponse(response.drains);
      onResponse(response, sentAt);
      return 'responded';
    } catch {
      return isEncodable(request) ? 'silent' : 'not-sent';
    }
  }

  #learnGossip(
    message: Pick<HeartbeatRequest, 'changed' | 'doubts' | 'workerSigns'>,
    source: DigestSource,
  ): void {
    const { table, workers, clock } = this.#options;
    if (source === 'list') this.learnAll(message.changed);
    else for (const digest of message.changed) this.#learn(digest, source);
    for (const doubt of message.doubts) table.mergeDoubt(doubt, clock.monotonicMs());
    workers.learnSigns(message.workerSigns);
  }

  #learn(digest: PeerDigest | undefined, source: DigestSource): MergeResult | undefined {
    const { self, table, clock, logger, state, onPeerAhead, onNameConflict } = this.#options;
    const identity = digest?.identity;
    if (digest === undefined || identity === undefined) return undefined;
    if (identity.deployment !== self.deployment) return 'foreign';
    if (identity.name === self.name) {
      if (identity.incarnation !== self.incarnation) onNameConflict(identity);
      return undefined;
    }
    const result = table.mergeDigest(digest, clock.monotonicMs(), source);
    if (source !== 'list' && (result === 'new' || result === 'restarted')) {
      const { name, incarnation } = identity;
      logger.info('peer-learned', { peer: name, incarnation, restarted: result === 'restarted' });
    }
    if (result === 'full') logger.warn('peer-table-full', { peer: identity.name });
    const isUpdate = result !== 'known' && result !== 'stale' && result !== 'full';
    const isAhead =
      digest.acceptedRevision > state.acceptedRevision() ||
      digest.workersVersion > state.workersVersion();
    if (isUpdate && isAhead) onPeerAhead(digest);
    return result;
  }
}
