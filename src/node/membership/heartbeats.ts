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
import type { PeerRecord, PeerTable } from '../decisions/peerTable.ts';
import type { Logger } from '../observability/logger.ts';
import type { Drains } from './drains.ts';
import type { WorkerDirectory } from './workerDirectory.ts';

/** Digests of other peers in one message. With about 90 bytes each, a message stays below 1 KB after any change. */
export const MAX_DIGESTS = 8;

/** Doubts in one message, about 25 bytes each. */
export const MAX_DOUBTS = 8;

/** Heartbeats in progress while a planned stop is announced to every peer. */
const ANNOUNCE_CONCURRENCY = 16;

/** Sends one heartbeat; rejects when no answer came in time. */
export type SendHeartbeat = (
  target: Pick<NodeIdentity, 'host' | 'peerPort'>,
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
  /** A digest shows an accepted revision above the own one. */
  readonly onHigherRevision: (peer: PeerDigest) => void;
  /** Another incarnation of the own name is known. */
  readonly onNamesake: (other: NodeIdentity) => void;
}

/** Exchanges heartbeats with peers: one period's sending, and the answer to another node's heartbeat. */
export class Heartbeats {
  readonly #options: HeartbeatsOptions;

  /** Incarnations with a heartbeat in progress. A silent peer gets no second one meanwhile. */
  readonly #inProgress = new Set<string>();

  #count = 0;

  /** A peer whose drain list is newer: asked in the next period. */
  #drainsFrom: NodeIdentity | undefined;

  constructor(options: HeartbeatsOptions) {
    this.#options = options;
  }

  /** Sends the heartbeats of one period, and notes the peers that are suspected from now on. */
  beat(): void {
    const { table, clock, random } = this.#options;
    const nowMs = clock.monotonicMs();
    this.#count += 1;
    const groups = { live: [], doubted: [], suspected: [] } as Record<
      'live' | 'doubted' | 'suspected',
      PeerRecord[]
    >;
    for (const record of table.records()) {
      const doubted = record.doubtedMs === undefined ? 'live' : 'doubted';
      groups[table.isSuspected(record, nowMs) ? 'suspected' : doubted].push(record);
    }
    const targets = new Map<string, NodeIdentity>();
    const chosen = gossipTargets(groups, random).map(({ digest }) => digest.identity);
    for (const identity of [...chosen, this.#drainsFrom]) {
      if (identity) targets.set(identity.incarnation, identity);
    }
    this.#drainsFrom = undefined;
    for (const identity of targets.values()) void this.exchange(identity);
    table.sweep(nowMs);
  }

  /** Tells every peer at once, for a planned stop. */
  async announce(): Promise<void> {
    this.#count += 1;
    const waiting = [...this.#options.table.records()]
      .map(({ digest }) => digest.identity)
      .filter((identity) => identity !== undefined);
    const run = async () => {
      for (let next = waiting.pop(); next; next = waiting.pop()) await this.exchange(next, true);
    };
    await Promise.all(Array.from({ length: ANNOUNCE_CONCURRENCY }, run));
  }

  /** Sends one heartbeat and takes the answer in. Returns whether it was answered. */
  async exchange(identity: NodeIdentity, evenIfInProgress = false): Promise<boolean> {
    const { table, clock } = this.#options;
    const { incarnation } = identity;
    if (this.#inProgress.has(incarnation) && !evenIfInProgress) return false;
    this.#inProgress.add(incarnation);
    const sentMs = clock.monotonicMs();
    const answered = await this.#exchange(identity, this.request());
    this.#inProgress.delete(incarnation);
    if (!answered) table.exchangeFailed(incarnation, sentMs, clock.monotonicMs());
    return answered;
  }

  /** Joins by the address of a node whose identity is not known yet. Returns whether it answered. */
  join(address: Pick<NodeIdentity, 'host' | 'peerPort'>): Promise<boolean> {
    return this.#exchange(address, { ...this.request(), wantsAllPeers: true });
  }

  /** The heartbeat of this period. */
  request(): HeartbeatRequest {
    const { table, drains, workers, clock } = this.#options;
    const nowMs = clock.monotonicMs();
    return create(HeartbeatRequestSchema, {
      sender: this.digest(),
      changed: table.changesToSend(nowMs, MAX_DIGESTS),
      drains: drains.summary,
      doubts: table.doubtsToSend(nowMs, MAX_DOUBTS),
      workerSigns: workers.signsToSend(),
    });
  }

  /** Answers a heartbeat. */
  answer(request: HeartbeatRequest): HeartbeatResponse {
    const { table, drains, workers, clock, state } = this.#options;
    const nowMs = clock.monotonicMs();
    this.#learn(request.sender, true);
    this.#learnRest(request);
    if (drains.wants(request.drains)) this.#drainsFrom = request.sender?.identity;
    return create(HeartbeatResponseSchema, {
      responder: this.digest(),
      changed: request.wantsAllPeers
        ? [...table.records()].map(({ digest }) => digest)
        : table.changesToSend(nowMs, MAX_DIGESTS),
      drains: drains.isNewsFor(request.drains) ? drains.list : drains.summary,
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
      heartbeatCount: this.#count,
      leaving: state.leaving(),
      acceptedRevision: state.acceptedRevision(),
      leases: [...state.heldLeases()],
    });
  }

  /** Takes in what is known of a peer, from a message or from the platform's list. */
  learn(digest: PeerDigest): void {
    this.#learn(digest, false);
  }

  async #exchange(
    target: Pick<NodeIdentity, 'host' | 'peerPort'>,
    request: HeartbeatRequest,
  ): Promise<boolean> {
    const { send, clock, drains, onAnswered } = this.#options;
    const sentAt = new Stopwatch(clock);
    try {
      const response = await send(target, request);
      this.#learn(response.responder, true);
      this.#learnRest(response);
      drains.mergeAnswer(response.drains);
      onAnswered(response, sentAt);
      return true;
    } catch {
      return false;
    }
  }

  #learnRest(message: Pick<HeartbeatRequest, 'changed' | 'doubts' | 'workerSigns'>): void {
    const { table, workers, clock } = this.#options;
    for (const digest of message.changed) this.#learn(digest, false);
    for (const doubt of message.doubts) table.learnDoubt(doubt, clock.monotonicMs());
    workers.learnSigns(message.workerSigns);
  }

  #learn(digest: PeerDigest | undefined, direct: boolean): void {
    const { self, table, clock, logger, state, onHigherRevision, onNamesake } = this.#options;
    const identity = digest?.identity;
    if (digest === undefined || identity === undefined) return;
    if (identity.name === self.name) {
      if (identity.incarnation !== self.incarnation) onNamesake(identity);
      return;
    }
    const result = table.learn(digest, clock.monotonicMs(), direct);
    if (result === 'new' || result === 'restarted') {
      const { name, incarnation } = identity;
      logger.info('peer-learned', { peer: name, incarnation, restarted: result === 'restarted' });
    }
    if (result === 'full') logger.warn('peer-table-full', { peer: identity.name });
    const isNews = result !== 'known' && result !== 'stale' && result !== 'full';
    if (isNews && digest.acceptedRevision > state.acceptedRevision()) onHigherRevision(digest);
  }
}
