import { create } from '@bufbuild/protobuf';
import {
  type DispatcherRecord,
  DispatcherRecordSchema,
} from '../../gen/hyssoppulley/v1/batch_pb.ts';
import type { NodeIdentity } from '../../gen/hyssoppulley/v1/peer_pb.ts';
import { type Clock, Stopwatch } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import { newId, type Random } from '../../shared/random.ts';
import { repeatEvery } from '../../shared/repeat.ts';
import {
  CLAIM_STAGGER_MS,
  claimDelayMs,
  type DispatcherCandidate,
} from '../decisions/dispatcherClaim.ts';
import type { Peer } from '../membership/membershipView.ts';
import { HolderFailureDetector } from './holderFailureDetector.ts';
import type { Logger } from '../observability/logger.ts';
import type { PlatformClient } from '../platform/platformClient.ts';
import type { PlatformHealth } from '../platform/platformHealth.ts';
import { writeUntilResolved } from '../platform/writeUntilResolved.ts';
import { decodeDispatcher, dispatcherKey, encodeDispatcher } from './batchObjects.ts';

/** Interval between checks of the dispatcher's state, in ms. */
const CHECK_INTERVAL_MS = 200;

/** Time after the start in which this node discovers its peers, in ms. It makes no claim during this time. */
const PEER_DISCOVERY_MS = 600;

/** Interval between reads of the record without a known change, in ms. Heartbeats usually announce changes earlier. */
const REREAD_INTERVAL_MS = 60_000;

/**
 * Time for which a read of the record proves that this node holds the pool, in ms. Well below the minimum time between
 * the orders of two successive holders.
 */
export const VERIFICATION_TTL_MS = 500;

/**
 * Time for which a holder must have lost the platform before it is replaced, in ms. Longer than heartbeats take to
 * announce the end of an outage that affected all nodes.
 */
const PLATFORM_LOSS_GRACE_MS = 700;

/** Time limit for writing a claim and determining its outcome, in ms. */
const CLAIM_WRITE_LIMIT_MS = 1000;

/** Number of nodes that watch the holder's process. These are the next candidates to claim the pool. */
const MAX_WATCHERS = 2;

/** Whether a pool's holder can continue. `lost`: its process runs, but it has lost the platform. */
type HolderState = 'able' | 'lost' | 'gone';

/** The election's view of this node and its peers. */
export interface ElectionView {
  readonly self: NodeIdentity;
  peers(): readonly Peer[];
  /** Whether this node is shutting down. */
  readonly leaving: boolean;
}

export interface DispatcherElectionOptions {
  readonly pool: string;
  readonly platform: PlatformClient;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly view: ElectionView;
  /** Whether this node has lost its connection to the platform. */
  readonly health: Pick<PlatformHealth, 'lost'>;
  /**
   * Whether this node waits for the candidates that are preferred to it. Not where they may not know of the pool.
   *
   * @default true
   */
  readonly yieldsToPreferred?: boolean;
  /** Called when this node has become the dispatcher. `former` is the previous dispatcher. */
  readonly onElected: (term: number, former: DispatcherRecord | undefined) => void;
  /** Called when this node is no longer the dispatcher. */
  readonly onLost: () => void;
  /**
   * Watches a holder and calls `onRefused` when its process has ended.
   *
   * @default a `HolderFailureDetector`
   */
  readonly watchHolder?: (holder: DispatcherRecord, onRefused: () => void) => Disposable;
}

const dispatcherLeasePrefix = (pool: string): string => `dispatcher/${pool}#`;

const candidateOf = (identity: NodeIdentity, eligible: boolean): DispatcherCandidate => ({
  name: identity.name,
  incarnation: identity.incarnation,
  capacityMillicores: identity.capacityMillicores,
  eligible,
});

/** Lease name by which heartbeats announce that a node dispatches a pool in a given term. */
export const dispatcherLease = (pool: string, term: number): string =>
  `${dispatcherLeasePrefix(pool)}${term}`;

/** The term in which a peer announces that it dispatches a pool; 0 if it does not. */
const announcedTerm = ({ leases }: Peer, pool: string): number => {
  const prefix = dispatcherLeasePrefix(pool);
  const lease = leases.find((held) => held.startsWith(prefix));
  return lease === undefined ? 0 : Number(lease.slice(prefix.length)) || 0;
};

/**
 * Elects the node that dispatches a pool. A node claims the pool by a conditional write when the holder is gone, is
 * leaving, or has lost the platform. Otherwise the holder keeps the pool, to avoid needless take-overs.
 */
export class DispatcherElection implements Disposable {
  readonly #options: DispatcherElectionOptions;

  readonly #started: Stopwatch;

  readonly #timer: Disposable;

  /** The record as last read or as announced by its holder; undefined before the first of these. */
  #known: { readonly record: DispatcherRecord | undefined; readonly version: number } | undefined;

  /** Started when the last successful read of the record was sent, or when this node's claim succeeded. */
  #readAt: Stopwatch | undefined;

  /** Whether the record must be read before the next decision. */
  #mustReread = false;

  /** Started when the holder was first found unable to continue. */
  #unableSince: Stopwatch | undefined;

  #heldTerm: number | undefined;

  /** Incarnation of the last holder whose process was found to have ended. */
  #endedIncarnation: string | undefined;

  #watch: { readonly incarnation: string; readonly disposable: Disposable } | undefined;

  #checking = false;

  #disposed = false;

  constructor(options: DispatcherElectionOptions) {
    this.#options = options;
    this.#started = new Stopwatch(options.clock);
    this.#timer = repeatEvery(options.clock, CHECK_INTERVAL_MS, () => void this.#check(), 0);
  }

  /** The dispatcher, according to the latest information of this node. */
  get holder(): DispatcherRecord | undefined {
    return this.#known?.record;
  }

  /** Term in which this node is the dispatcher; undefined if it is not. */
  get heldTerm(): number | undefined {
    return this.#heldTerm;
  }

  /**
   * Confirms that this node holds the pool by reading the record, unless a recent read has already confirmed it.
   *
   * @returns false also when the platform does not respond
   */
  async verify(): Promise<boolean> {
    const verifiedMs = this.#readAt?.elapsedMs() ?? Infinity;
    if (this.#heldTerm !== undefined && verifiedMs < VERIFICATION_TTL_MS) return true;
    try {
      await this.#readRecord();
    } catch (error) {
      const { logger, pool } = this.#options;
      logger.warn('dispatcher-verification-failed', { pool, message: messageOf(error) });
      return false;
    }
    return this.#heldTerm !== undefined;
  }

  /**
   * Gives up the pool because another node holds it or is taking it over.
   *
   * @param term - last term to which the reason applies; a later term is not given up
   */
  resign(reason: string, term = Infinity): void {
    if (this.#heldTerm === undefined || this.#heldTerm > term) return;
    const { logger, pool, onLost } = this.#options;
    logger.info('dispatcher-lost', { pool, term: this.#heldTerm, reason });
    this.#heldTerm = undefined;
    onLost();
  }

  /** Reads the record again because the holder may have changed. */
  recheck(): void {
    this.#mustReread = true;
    void this.#check();
  }

  [Symbol.dispose](): void {
    this.#disposed = true;
    this.#timer[Symbol.dispose]();
    this.#watch?.disposable[Symbol.dispose]();
  }

  async #check(): Promise<void> {
    if (this.#checking || this.#disposed) return;
    this.#checking = true;
    try {
      await this.#evaluate();
    } catch (error) {
      const { logger, pool } = this.#options;
      logger.info('dispatcher-check-failed', { pool, message: messageOf(error) });
    } finally {
      this.#checking = false;
    }
  }

  async #evaluate(): Promise<void> {
    const { health } = this.#options;
    this.#readAnnouncedTerms();
    if (this.#isReadDue()) await this.#readRecord();
    this.#updateHolderWatch();
    const state = this.#holderState();
    if (state === 'able') {
      this.#unableSince = undefined;
      return;
    }
    if (health.lost || this.#started.elapsedMs() < PEER_DISCOVERY_MS) return;
    this.#unableSince ??= new Stopwatch(this.#options.clock);
    const delayMs = this.#claimDelayMs();
    const waitMs = state === 'lost' ? PLATFORM_LOSS_GRACE_MS : 0;
    if (delayMs === undefined || this.#unableSince.elapsedMs() < delayMs + waitMs) return;
    await this.#claim();
  }

  #isReadDue(): boolean {
    return this.#mustReread || (this.#readAt ?? this.#started).elapsedMs() > REREAD_INTERVAL_MS;
  }

  /** Learns of new holders from their heartbeats, so that not every node has to read the record after each change. */
  #readAnnouncedTerms(): void {
    const { view, pool } = this.#options;
    for (const peer of view.peers()) {
      const term = announcedTerm(peer, pool);
      if (peer.suspected || term <= (this.#known?.record?.term ?? 0)) continue;
      const { name, incarnation, host, peerPort } = peer.identity;
      const record = create(DispatcherRecordSchema, {
        ...{ node: name, incarnation, host, peerPort, term },
      });
      // The version is not needed here, because a claim reads the record before it writes.
      this.#setKnown(record, 0);
      this.resign(`${name} announced term ${term}`);
    }
  }

  #holderState(): HolderState {
    const record = this.#known?.record;
    if (record === undefined) return 'gone';
    const { view, health } = this.#options;
    if (record.incarnation === view.self.incarnation) {
      return this.#heldTerm === undefined ? 'gone' : 'able';
    }
    if (record.incarnation === this.#endedIncarnation) return 'gone';
    const peer = view.peers().find(({ identity }) => identity.name === record.node);
    if (peer === undefined || peer.identity.incarnation !== record.incarnation) return 'gone';
    if (peer.suspected || peer.leaving) return 'gone';
    // If this node has lost the platform as well, the holder is not replaced.
    return peer.platformLost && !health.lost ? 'lost' : 'able';
  }

  /** Watches the holder while this node is among the next candidates to claim the pool. */
  #updateHolderWatch(): void {
    const { view, clock, watchHolder } = this.#options;
    const holder = this.#known?.record;
    const isOther = holder !== undefined && holder.incarnation !== view.self.incarnation;
    const isNextCandidate =
      isOther && (this.#claimDelayMs(holder.node) ?? Infinity) < MAX_WATCHERS * CLAIM_STAGGER_MS;
    const holderToWatch = isNextCandidate ? holder : undefined;
    if (this.#watch?.incarnation === holderToWatch?.incarnation) return;
    this.#watch?.disposable[Symbol.dispose]();
    this.#watch = undefined;
    if (holderToWatch === undefined) return;
    const { incarnation, host, peerPort } = holderToWatch;
    const onRefused = () => this.#handleHolderEnd(holderToWatch);
    const disposable =
      watchHolder?.(holderToWatch, onRefused) ??
      new HolderFailureDetector({ clock, host, peerPort, onRefused });
    this.#watch = { incarnation, disposable };
  }

  #handleHolderEnd({ incarnation, node }: DispatcherRecord): void {
    if (this.#endedIncarnation === incarnation) return;
    this.#endedIncarnation = incarnation;
    const { logger, pool } = this.#options;
    logger.info('dispatcher-ended', { pool, node, incarnation });
    void this.#check();
  }

  /** @param excludedNode - name of a node that does not count as a candidate */
  #claimDelayMs(excludedNode = ''): number | undefined {
    const { view, pool, health, yieldsToPreferred = true } = this.#options;
    const { self, leaving } = view;
    const selfCandidate = candidateOf(self, !leaving && !health.lost);
    if (!yieldsToPreferred) return claimDelayMs(pool, selfCandidate, []);
    const peers = view
      .peers()
      .map((peer) =>
        candidateOf(
          peer.identity,
          !peer.suspected &&
            !peer.leaving &&
            !peer.platformLost &&
            peer.identity.name !== excludedNode &&
            peer.identity.incarnation !== this.#endedIncarnation,
        ),
      );
    return claimDelayMs(pool, selfCandidate, peers);
  }

  async #readRecord(): Promise<void> {
    const { platform, pool, view } = this.#options;
    const sentAt = new Stopwatch(this.#options.clock);
    const object = await platform.read(dispatcherKey(pool));
    this.#readAt = sentAt;
    this.#mustReread = false;
    const record = object && decodeDispatcher(object.value);
    this.#setKnown(record, object?.version ?? 0);
    if (record !== undefined && record.incarnation !== view.self.incarnation) {
      this.resign(`${record.node} holds term ${record.term}`);
    }
  }

  #setKnown(record: DispatcherRecord | undefined, version: number): void {
    // The grace period restarts for a new holder: the heartbeat by which it announces that it has regained the platform
    // may arrive after its record.
    if (record?.incarnation !== this.#known?.record?.incarnation) this.#unableSince = undefined;
    this.#known = { record, version };
  }

  async #claim(): Promise<void> {
    const { platform, clock, random, pool, view, logger, onElected } = this.#options;
    await this.#readRecord();
    if (this.#holderState() === 'able' || this.#known === undefined) return;
    if (this.#unableSince === undefined) return;
    const former = this.#known.record;
    const { name, incarnation, host, peerPort } = view.self;
    const term = (former?.term ?? 0) + 1;
    const record = create(DispatcherRecordSchema, {
      ...{ node: name, incarnation, host, peerPort, term },
    });
    const result = await writeUntilResolved({
      ...{ platform, clock, random },
      key: dispatcherKey(pool),
      value: encodeDispatcher(record),
      ifVersion: this.#known.version,
      operationId: newId(),
      started: new Stopwatch(clock),
      limitMs: CLAIM_WRITE_LIMIT_MS,
    });
    logger.info('dispatcher-claimed', {
      pool,
      term,
      former: former?.node,
      outcome: result.status,
    });
    // If the outcome is not `written`, the next check reads the record to see whether this node or another holds the
    // pool.
    this.#mustReread = result.status !== 'written';
    if (result.status !== 'written') return;
    this.#known = { record, version: result.version };
    this.#readAt = new Stopwatch(this.#options.clock);
    this.#unableSince = undefined;
    this.#heldTerm = term;
    onElected(term, former);
  }
}
