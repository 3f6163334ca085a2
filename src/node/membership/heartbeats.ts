import { create } from '@bufbuild/protobuf';
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
import type { Random } from '../../shared/random.ts';
import { gossipTargets } from '../decisions/gossipTargets.ts';
import type { DigestSource, PeerRecord, PeerTable } from '../decisions/peerTable.ts';
import type { Logger } from '../observability/logger.ts';
import type { Drains } from './drains.ts';
import type { WorkerDirectory } from './workerDirectory.ts';

/**
 * Digests of other peers in one message, about 95 bytes each. Two keep the four messages that a node sends a second
 * within 2 KB/s, HTTP headers included, also while every node of a large deployment restarts.
 */
export const MAX_DIGESTS = 2;

/** Doubts in one message, about 25 bytes each. */
export const MAX_DOUBTS = 8;

/** Least number of periods between two answers with all peers, about 37 KB at 410 nodes. */
const FULL_SYNC_MIN_PERIODS = 10;

/** Heartbeats in progress while a planned stop is announced to every peer. */
const ANNOUNCE_CONCURRENCY = 16;

/** Where a heartbeat goes. A node that is known by its address only gets a call. */
export type HeartbeatTarget = Pick<NodeIdentity, 'host' | 'peerPort'> &
  Partial<Pick<NodeIdentity, 'datagramPort'>>;

/** Sends one heartbeat; rejects when no answer came in time. */
export type SendHeartbeat = (
  target: HeartbeatTarget,
  request: HeartbeatRequest,
) => Promise<HeartbeatResponse>;

/** What the node tells its peers of itself. */
export interface SelfState {
  readonly leaving: () => boolean;
  readonly acceptedRevision: () => number;
  readonly preparedRevision: () => number;
  /** Names of held leases, such as `job/draft`. */
  readonly heldLeases: () => readonly string[];
  readonly mayServe: () => boolean;
  /** Whether the platform does not answer this node. */
  readonly platformLost: () => boolean;
  /** Version of the platform at which the registrations of workers last changed. */
  readonly workersVersion: () => number;
}

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
  /** A heartbeat was answered; `sentAt` was started directly before it was sent. */
  readonly onAnswered: (response: HeartbeatResponse, sentAt: Stopwatch) => void;
  /** A digest shows a higher accepted revision, or later registrations of workers, than this node knows. */
  readonly onHigherRevision: (peer: PeerDigest) => void;
  /** Another incarnation of the own name is known. */
  readonly onNameConflict: (other: NodeIdentity) => void;
}

/** Sorts the known peers for `gossipTargets`. The shared order is that of the incarnations, which mixes the zones. */
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

/** Exchanges heartbeats with peers: one period's sending, and the answer to another node's heartbeat. */
export class Heartbeats {
  readonly #options: HeartbeatsOptions;

  /** Incarnations with a heartbeat in progress. A silent peer gets no second one meanwhile. */
  readonly #inProgress = new Set<string>();

  #heartbeatCount = 0;

  /** Period in which a peer last told all it knows. */
  #lastFullSyncAt = -Infinity;

  /** A peer whose drain list is newer: asked in the next period. */
  #drainListSource: NodeIdentity | undefined;

  constructor(options: HeartbeatsOptions) {
    this.#options = options;
  }

  /** Sends the heartbeats of one period, and notes the peers that are suspected from now on. */
  sendHeartbeats(): void {
    const { self, table, clock, random } = this.#options;
    const nowMs = clock.monotonicMs();
    this.#heartbeatCount += 1;
    const candidates = gossipCandidates(table, self.incarnation, nowMs);
    const targets = new Map<string, NodeIdentity>();
    const chosen = gossipTargets(candidates, random).map(({ digest }) => digest.identity);
    for (const identity of [...chosen, this.#drainListSource]) {
      if (identity) targets.set(identity.incarnation, identity);
    }
    this.#drainListSource = undefined;
    // After a partition the news of single peers would take minutes to clear all suspicions.
    const mostlySuspected = candidates.suspected.length * 2 > table.size;
    let wantsAllPeers =
      mostlySuspected && this.#heartbeatCount - this.#lastFullSyncAt >= FULL_SYNC_MIN_PERIODS;
    for (const identity of targets.values()) {
      void this.exchange(identity, { wantsAllPeers });
      wantsAllPeers = false;
    }
    table.sweep(nowMs);
  }

  /** Tells every peer at once, for a planned stop. */
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

  /** Sends one heartbeat and takes the answer in. */
  async exchange(
    identity: NodeIdentity,
    { wantsAllPeers = false, evenIfInProgress = false } = {},
  ): Promise<void> {
    const { table, clock } = this.#options;
    const { incarnation } = identity;
    if (this.#inProgress.has(incarnation) && !evenIfInProgress) return;
    this.#inProgress.add(incarnation);
    const sentMs = clock.monotonicMs();
    const answered = await this.#sendAndLearn(identity, { ...this.request(), wantsAllPeers });
    this.#inProgress.delete(incarnation);
    if (!answered) table.exchangeFailed(incarnation, sentMs, clock.monotonicMs());
  }

  /** Joins by the address of a node whose identity is not known yet. Returns whether it answered. */
  join(address: Pick<NodeIdentity, 'host' | 'peerPort'>): Promise<boolean> {
    return this.#sendAndLearn(address, { ...this.request(), wantsAllPeers: true });
  }

  /** The heartbeat of this period. */
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

  /** Answers a heartbeat. */
  answer(request: HeartbeatRequest): HeartbeatResponse {
    const { table, drains, workers, clock, state } = this.#options;
    const nowMs = clock.monotonicMs();
    this.#learn(request.sender, 'direct');
    this.#learnGossip(request, 'gossip');
    if (drains.needsUpdateFrom(request.drains)) this.#drainListSource = request.sender?.identity;
    return create(HeartbeatResponseSchema, {
      responder: this.digest(),
      changed: request.wantsAllPeers
        ? table.allDigests(nowMs)
        : table.changesToSend(nowMs, MAX_DIGESTS),
      drains: drains.hasUpdateFor(request.drains) ? drains.list : drains.summary,
      preparedRevision: state.preparedRevision(),
      serving: state.mayServe(),
      doubts: table.doubtsToSend(nowMs, MAX_DOUBTS),
      workerSigns: workers.signsToSend(),
    });
  }

  /** What this node tells of itself. */
  digest(): PeerDigest {
    const { self, state } = this.#options;
    return create(PeerDigestSchema, {
      identity: self,
      heartbeatCount: this.#heartbeatCount,
      leaving: state.leaving(),
      acceptedRevision: state.acceptedRevision(),
      leases: [...state.heldLeases()],
      platformLost: state.platformLost(),
      workersVersion: state.workersVersion(),
    });
  }

  /** Takes in a peer of the platform's list. */
  learn(digest: PeerDigest): void {
    this.#learn(digest, 'list');
  }

  async #sendAndLearn(target: HeartbeatTarget, request: HeartbeatRequest): Promise<boolean> {
    const { send, clock, drains, onAnswered } = this.#options;
    const sentAt = new Stopwatch(clock);
    try {
      const response = await send(target, request);
      this.#learn(response.responder, 'direct');
      this.#learnGossip(response, request.wantsAllPeers ? 'list' : 'gossip');
      if (request.wantsAllPeers) this.#lastFullSyncAt = this.#heartbeatCount;
      drains.mergeResponse(response.drains);
      onAnswered(response, sentAt);
      return true;
    } catch {
      return false;
    }
  }

  #learnGossip(
    message: Pick<HeartbeatRequest, 'changed' | 'doubts' | 'workerSigns'>,
    source: DigestSource,
  ): void {
    const { table, workers, clock } = this.#options;
    for (const digest of message.changed) this.#learn(digest, source);
    for (const doubt of message.doubts) table.learnDoubt(doubt, clock.monotonicMs());
    workers.learnSigns(message.workerSigns);
  }

  #learn(digest: PeerDigest | undefined, source: DigestSource): void {
    const { self, table, clock, logger, state, onHigherRevision, onNameConflict } = this.#options;
    const identity = digest?.identity;
    if (digest === undefined || identity === undefined) return;
    if (identity.name === self.name) {
      if (identity.incarnation !== self.incarnation) onNameConflict(identity);
      return;
    }
    const result = table.learn(digest, clock.monotonicMs(), source);
    if (result === 'new' || result === 'restarted') {
      const { name, incarnation } = identity;
      logger.info('peer-learned', { peer: name, incarnation, restarted: result === 'restarted' });
    }
    if (result === 'full') logger.warn('peer-table-full', { peer: identity.name });
    const isNews = result !== 'known' && result !== 'stale' && result !== 'full';
    const isAhead =
      digest.acceptedRevision > state.acceptedRevision() ||
      digest.workersVersion > state.workersVersion();
    if (isNews && isAhead) onHigherRevision(digest);
  }
}
