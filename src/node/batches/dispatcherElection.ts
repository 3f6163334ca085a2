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
  CLAIM_STEP_MS,
  claimDelayMs,
  type DispatcherCandidate,
} from '../decisions/dispatcherClaim.ts';
import type { Peer } from '../membership/membershipView.ts';
import { HolderWatch } from './holderWatch.ts';
import type { Logger } from '../observability/logger.ts';
import type { PlatformClient } from '../platform/platformClient.ts';
import type { PlatformHealth } from '../platform/platformHealth.ts';
import { writeResolved } from '../platform/resolveUnknown.ts';
import { decodeDispatcher, dispatcherKey, encodeDispatcher } from './batchObjects.ts';

/** Between looks at the dispatcher, in ms. */
const LOOK_INTERVAL_MS = 200;

/** Time after the start in which other nodes become known, in ms; no claim is made before. */
const SETTLE_MS = 600;

/** Between reads of the record while its holder seems sound, in ms; a change usually shows in heartbeats. */
const REREAD_INTERVAL_MS = 60_000;

/** Time for which a read of the record confirms the hold, in ms: well below the least time between two holders' orders. */
export const VERIFIED_FOR_MS = 500;

/**
 * Time for which a holder must be without the platform before it is replaced, in ms: longer than a heartbeat takes to tell
 * that an outage of all nodes is over.
 */
const LOST_HOLDER_MS = 700;

/** Time for finding out whether a claim took effect, in ms. */
const CLAIM_LIMIT_MS = 1000;

/** Nodes that watch a holder's process, those that would claim the pool first. */
const WATCHERS = 2;

/** Whether a pool's holder can go on; `lost`: it runs, but the platform does not answer it. */
type HolderState = 'able' | 'lost' | 'gone';

/** What the election sees of the nodes. */
export interface ElectionView {
  readonly self: NodeIdentity;
  peers(): readonly Peer[];
  /** Whether this node is about to stop. */
  readonly leaving: boolean;
}

export interface DispatcherElectionOptions {
  readonly pool: string;
  readonly platform: PlatformClient;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly view: ElectionView;
  /** Whether the platform answers this node. */
  readonly health: Pick<PlatformHealth, 'lost'>;
  /** This node has become the dispatcher; `former` dispatched before. */
  readonly onElected: (term: number, former: DispatcherRecord | undefined) => void;
  /** This node is no longer the dispatcher. */
  readonly onLost: () => void;
  /**
   * Watches whether a holder's process ends.
   *
   * @default a connection to it
   */
  readonly watchHolder?: (holder: DispatcherRecord, onRefused: () => void) => Disposable;
}

const dispatcherLeasePrefix = (pool: string): string => `dispatcher/${pool}#`;

const candidateOf = (identity: NodeIdentity, able: boolean): DispatcherCandidate => ({
  name: identity.name,
  incarnation: identity.incarnation,
  capacityMillicores: identity.capacityMillicores,
  able,
});

/** Name under which heartbeats tell that a node dispatches a pool, and in which term. */
export const dispatcherLease = (pool: string, term: number): string =>
  `${dispatcherLeasePrefix(pool)}${term}`;

/** The term in which a peer tells that it dispatches a pool; 0: it does not. */
const termOf = ({ leases }: Peer, pool: string): number => {
  const prefix = dispatcherLeasePrefix(pool);
  const lease = leases.find((held) => held.startsWith(prefix));
  return lease === undefined ? 0 : Number(lease.slice(prefix.length)) || 0;
};

/**
 * Agrees with the other nodes on who dispatches a pool. A node claims the pool by a conditional write when the holder
 * is gone, leaving, or out of touch with the platform. The holder keeps it otherwise, so that nothing moves without need.
 */
export class DispatcherElection implements Disposable {
  readonly #options: DispatcherElectionOptions;

  readonly #started: Stopwatch;

  readonly #timer: Disposable;

  /** The record as it was read or told by its holder; undefined: neither yet. */
  #known: { readonly record: DispatcherRecord | undefined; readonly version: number } | undefined;

  #readAt: Stopwatch | undefined;

  /** Whether the record must be read before the next decision. */
  #outdated = false;

  /** Since when the holder has been seen to be gone. */
  #goneSince: Stopwatch | undefined;

  #heldTerm: number | undefined;

  /** Incarnation of a holder whose process has ended. */
  #endedHolder: string | undefined;

  #watch: { readonly incarnation: string; readonly disposable: Disposable } | undefined;

  #busy = false;

  #disposed = false;

  constructor(options: DispatcherElectionOptions) {
    this.#options = options;
    this.#started = new Stopwatch(options.clock);
    this.#timer = repeatEvery(options.clock, LOOK_INTERVAL_MS, () => void this.#look(), 0);
  }

  /** The dispatcher as far as this node knows. */
  get holder(): DispatcherRecord | undefined {
    return this.#known?.record;
  }

  /** Term of this node as dispatcher; undefined: it is not. */
  get heldTerm(): number | undefined {
    return this.#heldTerm;
  }

  /**
   * Confirms at the platform that this node still holds the pool, or did a moment ago.
   *
   * @returns false also when the platform does not answer
   */
  async verify(): Promise<boolean> {
    const verifiedMs = this.#readAt?.elapsedMs() ?? Infinity;
    if (this.#heldTerm !== undefined && verifiedMs < VERIFIED_FOR_MS) return true;
    try {
      await this.#read();
    } catch (error) {
      const { logger, pool } = this.#options;
      logger.warn('dispatcher-unverified', { pool, message: messageOf(error) });
      return false;
    }
    return this.#heldTerm !== undefined;
  }

  /**
   * Gives the pool up because another node has it, or is to take it.
   *
   * @param term - the term to which the reason applies; a later one is kept
   */
  resign(reason: string, term = Infinity): void {
    if (this.#heldTerm === undefined || this.#heldTerm > term) return;
    const { logger, pool, onLost } = this.#options;
    logger.info('dispatcher-lost', { pool, term: this.#heldTerm, reason });
    this.#heldTerm = undefined;
    onLost();
  }

  /** The holder may have changed: the record is read again. */
  recheck(): void {
    this.#outdated = true;
    void this.#look();
  }

  [Symbol.dispose](): void {
    this.#disposed = true;
    this.#timer[Symbol.dispose]();
    this.#watch?.disposable[Symbol.dispose]();
  }

  async #look(): Promise<void> {
    if (this.#busy || this.#disposed) return;
    this.#busy = true;
    try {
      await this.#step();
    } catch (error) {
      const { logger, pool } = this.#options;
      logger.info('dispatcher-look-failed', { pool, message: messageOf(error) });
    } finally {
      this.#busy = false;
    }
  }

  async #step(): Promise<void> {
    const { health } = this.#options;
    this.#learnHolder();
    if (this.#mustRead()) await this.#read();
    this.#watchHolder();
    const state = this.#holderState();
    if (state === 'able') {
      this.#goneSince = undefined;
      return;
    }
    if (health.lost || this.#started.elapsedMs() < SETTLE_MS) return;
    this.#goneSince ??= new Stopwatch(this.#options.clock);
    const delayMs = this.#claimDelayMs();
    const waitMs = state === 'lost' ? LOST_HOLDER_MS : 0;
    if (delayMs === undefined || this.#goneSince.elapsedMs() < delayMs + waitMs) return;
    await this.#claim();
  }

  #mustRead(): boolean {
    return this.#outdated || (this.#readAt ?? this.#started).elapsedMs() > REREAD_INTERVAL_MS;
  }

  /** Takes the holder's own word for it, so that not every node reads the record after each change. */
  #learnHolder(): void {
    const { view, pool } = this.#options;
    for (const peer of view.peers()) {
      const term = termOf(peer, pool);
      if (peer.suspected || term <= (this.#known?.record?.term ?? 0)) continue;
      const { name, incarnation, host, peerPort } = peer.identity;
      const record = create(DispatcherRecordSchema, {
        ...{ node: name, incarnation, host, peerPort, term },
      });
      // A claim reads the record before it writes, so the version is not needed.
      this.#know(record, 0);
      this.resign(`${name} tells of term ${term}`);
    }
  }

  #holderState(): HolderState {
    const record = this.#known?.record;
    if (record === undefined) return 'gone';
    const { view, health } = this.#options;
    if (record.incarnation === view.self.incarnation) {
      return this.#heldTerm === undefined ? 'gone' : 'able';
    }
    if (record.incarnation === this.#endedHolder) return 'gone';
    const peer = view.peers().find(({ identity }) => identity.name === record.node);
    if (peer === undefined || peer.identity.incarnation !== record.incarnation) return 'gone';
    if (peer.suspected || peer.leaving) return 'gone';
    // A holder that the platform answers as little as this node is left alone.
    return peer.platformLost && !health.lost ? 'lost' : 'able';
  }

  /** Watches the holder while this node is one of the first that would claim the pool after it. */
  #watchHolder(): void {
    const { view, clock, watchHolder } = this.#options;
    const holder = this.#known?.record;
    const isOther = holder !== undefined && holder.incarnation !== view.self.incarnation;
    const isNext =
      isOther && (this.#claimDelayMs(holder.node) ?? Infinity) < WATCHERS * CLAIM_STEP_MS;
    const wanted = isNext ? holder : undefined;
    if (this.#watch?.incarnation === wanted?.incarnation) return;
    this.#watch?.disposable[Symbol.dispose]();
    this.#watch = undefined;
    if (wanted === undefined) return;
    const { incarnation, host, peerPort } = wanted;
    const onRefused = () => this.#holderEnded(wanted);
    const disposable =
      watchHolder?.(wanted, onRefused) ?? new HolderWatch({ clock, host, peerPort, onRefused });
    this.#watch = { incarnation, disposable };
  }

  #holderEnded({ incarnation, node }: DispatcherRecord): void {
    if (this.#endedHolder === incarnation) return;
    this.#endedHolder = incarnation;
    const { logger, pool } = this.#options;
    logger.info('dispatcher-ended', { pool, node, incarnation });
    void this.#look();
  }

  /** @param without - node that is not waited for */
  #claimDelayMs(without = ''): number | undefined {
    const { view, pool, health } = this.#options;
    const { self, leaving } = view;
    const own = candidateOf(self, !leaving && !health.lost);
    const peers = view
      .peers()
      .map((peer) =>
        candidateOf(
          peer.identity,
          !peer.suspected &&
            !peer.leaving &&
            !peer.platformLost &&
            peer.identity.name !== without &&
            peer.identity.incarnation !== this.#endedHolder,
        ),
      );
    return claimDelayMs(pool, own, peers);
  }

  async #read(): Promise<void> {
    const { platform, pool, view } = this.#options;
    const sentAt = new Stopwatch(this.#options.clock);
    const object = await platform.read(dispatcherKey(pool));
    this.#readAt = sentAt;
    this.#outdated = false;
    const record = object && decodeDispatcher(object.value);
    this.#know(record, object?.version ?? 0);
    if (record !== undefined && record.incarnation !== view.self.incarnation) {
      this.resign(`${record.node} has term ${record.term}`);
    }
  }

  #know(record: DispatcherRecord | undefined, version: number): void {
    // A new holder gets its own time: news that it has the platform again may come after its record.
    if (record?.incarnation !== this.#known?.record?.incarnation) this.#goneSince = undefined;
    this.#known = { record, version };
  }

  async #claim(): Promise<void> {
    const { platform, clock, random, pool, view, logger, onElected } = this.#options;
    await this.#read();
    if (this.#holderState() === 'able' || this.#known === undefined) return;
    if (this.#goneSince === undefined) return;
    const former = this.#known.record;
    const { name, incarnation, host, peerPort } = view.self;
    const term = (former?.term ?? 0) + 1;
    const record = create(DispatcherRecordSchema, {
      ...{ node: name, incarnation, host, peerPort, term },
    });
    const result = await writeResolved({
      ...{ platform, clock, random },
      key: dispatcherKey(pool),
      value: encodeDispatcher(record),
      ifVersion: this.#known.version,
      operationId: newId(),
      started: new Stopwatch(clock),
      limitMs: CLAIM_LIMIT_MS,
    });
    logger.info('dispatcher-claimed', {
      pool,
      term,
      former: former?.node,
      outcome: result.status,
    });
    // Without an answer the next look reads the record, which then names this node or another one.
    this.#outdated = result.status !== 'written';
    if (result.status !== 'written') return;
    this.#known = { record, version: result.version };
    this.#readAt = new Stopwatch(this.#options.clock);
    this.#goneSince = undefined;
    this.#heldTerm = term;
    onElected(term, former);
  }
}
