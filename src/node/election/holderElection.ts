import type { NodeIdentity } from '../../gen/hyssoppulley/v1/peer_pb.ts';
import { type Clock, Stopwatch } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import { newId, type Random } from '../../shared/random.ts';
import { repeatEvery } from '../../shared/repeat.ts';
import { CLAIM_STAGGER_MS, claimDelayMs, type HolderCandidate } from '../decisions/holderClaim.ts';
import type { Peer } from '../membership/membershipView.ts';
import type { LogFields, Logger } from '../observability/logger.ts';
import type { PlatformClient } from '../platform/platformClient.ts';
import type { PlatformHealth } from '../platform/platformHealth.ts';
import { withPriority } from '../platform/withPriority.ts';
import { writeUntilResolved } from '../platform/writeUntilResolved.ts';
import { HolderFailureDetector } from './holderFailureDetector.ts';
import type { ElectionSubject, HolderRecord } from './electionSubject.ts';
import { UnresolvedClaim } from './unresolvedClaim.ts';

/** Interval between checks of the holder's state, in ms. */
const CHECK_INTERVAL_MS = 200;

/** Time after the start in which this node discovers its peers, in ms. It makes no claim during this time. */
const PEER_DISCOVERY_MS = 600;

/** Interval between reads of the record without a known change, in ms. Heartbeats usually announce changes earlier. */
const REREAD_INTERVAL_MS = 60_000;

/**
 * Interval between reads of the record while a claim of this node may still be carried out, in ms. The holder that finds
 * such a claim gives the subject up, and nobody holds it until this node finds the claim as well.
 */
const UNRESOLVED_CLAIM_READ_INTERVAL_MS = 1000;

/**
 * Interval between stale reads by which a holder finds out that it was replaced, in ms. Its peers may not reach it, and
 * each stale read costs a tenth of a call.
 */
const SUCCESSOR_CHECK_INTERVAL_MS = 2500;

/**
 * Time for which a read of the record proves that this node holds the subject, in ms. Well below the minimum time between
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

/** Number of nodes that watch the holder's process. These are the next candidates to claim. */
const MAX_WATCHERS = 2;

/** Whether a holder can continue. `lost`: its process runs, but it has lost the platform. */
type HolderState = 'able' | 'lost' | 'leaving' | 'gone';

/** The election's view of this node and its peers. */
export interface ElectionView {
  readonly self: NodeIdentity;
  peers(): readonly Peer[];
  /** Whether this node is shutting down. */
  readonly leaving: boolean;
}

export interface HolderElectionOptions<R extends HolderRecord> {
  readonly subject: ElectionSubject<R>;
  readonly platform: PlatformClient;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly view: ElectionView;
  /** Whether this node has lost its connection to the platform. */
  readonly health: Pick<PlatformHealth, 'lost'>;
  /**
   * Whether this node waits for the candidates that are preferred to it. Not where they may not know of the subject.
   *
   * @default true
   */
  readonly yieldsToPreferred?: boolean;
  /** Called when this node has become the holder. `former` is the previous holder. */
  readonly onElected: (term: number, former: R | undefined) => void;
  /** Called when this node is no longer the holder. */
  readonly onLost: () => void;
  /**
   * Watches a holder and calls `onRefused` when its process has ended.
   *
   * @default a `HolderFailureDetector`
   */
  readonly watchHolder?: (holder: R, onRefused: () => void) => Disposable;
}

const candidateOf = (identity: NodeIdentity, eligible: boolean): HolderCandidate => ({
  name: identity.name,
  incarnation: identity.incarnation,
  capacityMillicores: identity.capacityMillicores,
  eligible,
});

/** The term in which a peer announces that it holds a subject; 0 if it does not. */
const announcedTerm = ({ leases }: Peer, leasePrefix: string): number => {
  const lease = leases.find((held) => held.startsWith(leasePrefix));
  return lease === undefined ? 0 : Number(lease.slice(leasePrefix.length)) || 0;
};

/**
 * Elects the node that holds a subject, such as the dispatching of a pool or a duty. A node claims it by a conditional
 * write when the holder is gone, is leaving, or has lost the platform. Otherwise the holder keeps it, to avoid needless
 * take-overs.
 */
export class HolderElection<R extends HolderRecord> implements Disposable {
  readonly #options: HolderElectionOptions<R>;

  readonly #platform: ReturnType<typeof withPriority>;

  readonly #started: Stopwatch;

  readonly #timer: Disposable;

  /** The record as last read or as announced by its holder; undefined before the first of these. */
  #known: { readonly record: R | undefined; readonly version: number } | undefined;

  /** Highest version of the record that this node has read or written. */
  #latestVersion = 0;

  /** Started when the last successful read of the record was sent, or when this node sent its last successful claim. */
  #readAt: Stopwatch | undefined;

  /** Started when this node, as the holder, last looked for a successor. */
  #successorCheckedAt: Stopwatch | undefined;

  /** Whether the record must be read before the next decision. */
  #mustReread = false;

  readonly #unresolvedClaim: UnresolvedClaim<R>;

  /** Started when the holder was first found unable to continue. */
  #unableSince: Stopwatch | undefined;

  #heldTerm: number | undefined;

  /** Incarnation of the last holder whose process was found to have ended. */
  #endedIncarnation: string | undefined;

  #watch: { readonly incarnation: string; readonly disposable: Disposable } | undefined;

  #checking = false;

  #disposed = false;

  constructor(options: HolderElectionOptions<R>) {
    this.#options = options;
    this.#platform = withPriority(options.platform, { kind: 'lease' });
    this.#started = new Stopwatch(options.clock);
    this.#unresolvedClaim = new UnresolvedClaim(options.clock);
    const { checkIntervalMs = CHECK_INTERVAL_MS } = options.subject;
    this.#timer = repeatEvery(options.clock, checkIntervalMs, () => void this.#check(), 0);
  }

  /** The holder, according to the latest information of this node. */
  get holder(): R | undefined {
    return this.#known?.record;
  }

  /** Term in which this node is the holder; undefined if it is not. */
  get heldTerm(): number | undefined {
    return this.#heldTerm;
  }

  /** Time since this node sent the last request that proved that it is the holder, in ms; infinite if there is none. */
  get verifiedAgeMs(): number {
    return this.#heldTerm === undefined ? Infinity : (this.#readAt?.elapsedMs() ?? Infinity);
  }

  /**
   * Confirms that this node is the holder by reading the record, unless a recent read has already confirmed it.
   *
   * @returns false also when the platform does not respond
   */
  async verify(): Promise<boolean> {
    const verifiedMs = this.#readAt?.elapsedMs() ?? Infinity;
    if (this.#heldTerm !== undefined && verifiedMs < VERIFICATION_TTL_MS) return true;
    return this.confirm();
  }

  /**
   * Confirms by a new read of the record that this node is the holder.
   *
   * @returns false also when the platform does not respond
   */
  async confirm(): Promise<boolean> {
    try {
      return (await this.#readRecord()) && this.#heldTerm !== undefined;
    } catch (error) {
      this.#log('warn', 'verification-failed', { message: messageOf(error) });
      return false;
    }
  }

  /**
   * Gives up the subject because another node holds it or is taking it over.
   *
   * @param term - last term to which the reason applies; a later term is not given up
   */
  resign(reason: string, term = Infinity): void {
    if (this.#heldTerm === undefined || this.#heldTerm > term) return;
    this.#log('info', 'lost', { term: this.#heldTerm, reason });
    this.#heldTerm = undefined;
    this.#options.onLost();
  }

  /**
   * Gives up the subject in a planned stop and notes that in the record, so that the next candidate need not wait.
   *
   * @returns whether the record was written
   */
  async release(): Promise<boolean> {
    const { clock, random, subject } = this.#options;
    const { record, version } = this.#known ?? {};
    if (this.#heldTerm === undefined || record === undefined || version === undefined) return false;
    const { heldTerm: term } = this;
    this.resign('released in a planned stop');
    const released = subject.create({ ...record, released: true });
    const result = await writeUntilResolved({
      ...{ platform: this.#platform, clock, random },
      ...{ key: subject.key, value: subject.encode(released) },
      ...{ ifVersion: version, operationId: newId() },
      ...{ started: new Stopwatch(clock), limitMs: CLAIM_WRITE_LIMIT_MS },
    });
    this.#log('info', 'released', { term, outcome: result.status });
    if (result.status === 'written') this.#setKnown(released, result.version);
    return result.status === 'written';
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

  #log(level: 'info' | 'warn', event: string, fields: LogFields): void {
    const { logger, subject } = this.#options;
    logger[level](`${subject.role}-${event}`, { ...subject.logFields, ...fields });
  }

  async #check(): Promise<void> {
    if (this.#checking || this.#disposed) return;
    this.#checking = true;
    try {
      await this.#evaluate();
    } catch (error) {
      this.#log('info', 'check-failed', { message: messageOf(error) });
    } finally {
      this.#checking = false;
    }
  }

  async #evaluate(): Promise<void> {
    const { health } = this.#options;
    this.#readAnnouncedTerms();
    if (this.#isReadDue()) await this.#readRecord();
    else if (this.#heldTerm !== undefined) await this.#findSuccessor();
    this.#updateHolderWatch();
    const state = this.#holderState();
    if (state === 'able') {
      this.#unableSince = undefined;
      return;
    }
    if (health.lost || this.#started.elapsedMs() < PEER_DISCOVERY_MS) return;
    this.#unableSince ??= new Stopwatch(this.#options.clock);
    const delayMs = this.#claimDelayMs();
    const waitMs = this.#graceMs(state);
    if (delayMs === undefined || this.#unableSince.elapsedMs() < delayMs + waitMs) return;
    await this.#claim();
  }

  #graceMs(state: HolderState): number {
    if (state === 'lost') return PLATFORM_LOSS_GRACE_MS;
    return state === 'leaving' ? (this.#options.subject.releaseGraceMs ?? 0) : 0;
  }

  /**
   * Looks for a successor of this node. A record with a later term proves that there is one, however old the response
   * is.
   */
  async #findSuccessor(): Promise<void> {
    const { subject, clock } = this.#options;
    const sinceCheckMs = this.#successorCheckedAt?.elapsedMs() ?? Infinity;
    const sinceReadMs = this.#readAt?.elapsedMs() ?? Infinity;
    if (Math.min(sinceCheckMs, sinceReadMs) < SUCCESSOR_CHECK_INTERVAL_MS) return;
    this.#successorCheckedAt = new Stopwatch(clock);
    const object = await this.#platform.read(subject.key, { allowStale: true });
    const record = object && subject.decode(object.value);
    if (record === undefined || record.term <= (this.#heldTerm ?? Infinity)) return;
    this.#setKnown(record, 0);
    this.resign(`${record.node} holds term ${record.term}`);
  }

  #isReadDue(): boolean {
    const intervalMs = this.#unresolvedClaim.isOpen
      ? UNRESOLVED_CLAIM_READ_INTERVAL_MS
      : REREAD_INTERVAL_MS;
    return this.#mustReread || (this.#readAt ?? this.#started).elapsedMs() > intervalMs;
  }

  /** Learns of new holders from their heartbeats, so that not every node has to read the record after each change. */
  #readAnnouncedTerms(): void {
    const { view, subject } = this.#options;
    for (const peer of view.peers()) {
      const term = announcedTerm(peer, subject.leasePrefix);
      if (peer.suspected || term <= (this.#known?.record?.term ?? 0)) continue;
      const { name, incarnation, host, peerPort } = peer.identity;
      const record = subject.create({ node: name, incarnation, host, peerPort, term });
      // The version is not needed here, because a claim reads the record before it writes.
      this.#setKnown(record, 0);
      this.resign(`${name} announced term ${term}`);
    }
  }

  #holderState(): HolderState {
    const record = this.#known?.record;
    if (record === undefined || record.released === true) return 'gone';
    const { view, health, subject } = this.#options;
    if (record.incarnation === view.self.incarnation) {
      return this.#heldTerm === undefined ? 'gone' : 'able';
    }
    if (record.incarnation === this.#endedIncarnation) return 'gone';
    const peer = view.peers().find(({ identity }) => identity.name === record.node);
    if (peer === undefined || peer.identity.incarnation !== record.incarnation) return 'gone';
    if (peer.suspected) return 'gone';
    if (peer.leaving) return subject.releaseGraceMs === undefined ? 'gone' : 'leaving';
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

  #handleHolderEnd({ incarnation, node }: R): void {
    if (this.#endedIncarnation === incarnation) return;
    this.#endedIncarnation = incarnation;
    this.#log('info', 'ended', { node, incarnation });
    void this.#check();
  }

  /** @param excludedNode - name of a node that does not count as a candidate */
  #claimDelayMs(excludedNode = ''): number | undefined {
    const { view, subject, health, yieldsToPreferred = true } = this.#options;
    const { self, leaving } = view;
    const selfCandidate = candidateOf(self, !leaving && !health.lost);
    if (!yieldsToPreferred) return claimDelayMs(subject.name, selfCandidate, []);
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
    return claimDelayMs(subject.name, selfCandidate, peers);
  }

  /**
   * Reads the record, unless the response is older than what this node knows: reads may overtake each other, and one that
   * was sent before this node claimed the subject may respond after it.
   *
   * @returns whether the response was used
   */
  async #readRecord(): Promise<boolean> {
    const { subject, view } = this.#options;
    const sentAt = new Stopwatch(this.#options.clock);
    const object = await this.#platform.read(subject.key);
    if (object !== undefined && object.version < this.#latestVersion) return false;
    this.#readAt = sentAt;
    this.#mustReread = false;
    const record = object && subject.decode(object.value);
    this.#unresolvedClaim.recordVersion(object?.version ?? 0);
    this.#setKnown(record, object?.version ?? 0);
    if (record !== undefined && record.incarnation !== view.self.incarnation) {
      this.resign(`${record.node} holds term ${record.term}`);
    }
    return true;
  }

  #setKnown(record: R | undefined, version: number): void {
    const isFirst = this.#known === undefined;
    const isSameHolder = record?.incarnation === this.#known?.record?.incarnation;
    this.#known = { record, version };
    // The grace period restarts for a new holder: the heartbeat by which it announces that it has regained the platform
    // may arrive after its record. A holder that is gone when the record is read for the first time is not a new one.
    const wasGone = isFirst && this.#holderState() === 'gone';
    if (!isSameHolder && !wasGone) this.#unableSince = undefined;
    this.#latestVersion = Math.max(this.#latestVersion, version);
  }

  async #claim(): Promise<void> {
    const { clock, random, subject, view, onElected } = this.#options;
    const isRead = await this.#readRecord();
    if (!isRead || this.#holderState() === 'able' || this.#known === undefined) return;
    if (this.#unableSince === undefined) return;
    const { record: replaced, version } = this.#known;
    const { name, incarnation, host, peerPort } = view.self;
    const former = this.#unresolvedClaim.lastActing(replaced, incarnation);
    const term = (replaced?.term ?? 0) + 1;
    const record = subject.create({ node: name, incarnation, host, peerPort, term });
    const startedAt = new Stopwatch(clock);
    const result = await writeUntilResolved({
      ...{ platform: this.#platform, clock, random },
      key: subject.key,
      value: subject.encode(record),
      ifVersion: version,
      operationId: newId(),
      started: startedAt,
      limitMs: CLAIM_WRITE_LIMIT_MS,
    });
    this.#log('info', 'claimed', { term, former: former?.node, outcome: result.status });
    // If the outcome is not `written`, the next check reads the record to see whether this node or another is
    // the holder.
    this.#mustReread = result.status !== 'written';
    if (result.status === 'unknown') this.#unresolvedClaim.open({ term, version, former });
    if (result.status !== 'written') return;
    this.#unresolvedClaim.clear();
    this.#setKnown(record, result.version);
    // Counted from the start of the write: the process may have been paused before it saw the response.
    this.#readAt = startedAt;
    this.#unableSince = undefined;
    this.#heldTerm = term;
    onElected(term, former);
  }
}
