import { create } from '@bufbuild/protobuf';
import {
  type Doubt,
  DoubtSchema,
  type NodeIdentity,
  type PeerDigest,
} from '../../gen/hyssoppulley/v1/peer_pb.ts';
import { invariant } from '../../shared/invariants.ts';

/** What a digest told that was not known. `stale`: it describes a replaced incarnation. */
export type LearnResult = 'new' | 'restarted' | 'changed' | 'grown' | 'known' | 'stale' | 'full';

/**
 * How a digest came: from the peer itself, passed on by another node, or in a list of all peers. Only the first two are
 * passed on, as every node can read the lists.
 */
export type DigestSource = 'direct' | 'gossip' | 'list';

export interface PeerTableOptions {
  /** Name of the own node; digests of it are never stored. */
  readonly selfName: string;
  readonly heartbeatIntervalMs: number;
  readonly suspectAfterMs: number;
  /** Time for one call to another node, in ms. */
  readonly peerTimeoutMs: number;
  /** @default 1024, over twice the planned 410 nodes */
  readonly maxPeers?: number;
  /** Time after which a suspected peer is forgotten, in ms. @default 600,000, the lifetime of an idempotency key */
  readonly forgetAfterMs?: number;
}

/** One peer as the table keeps it. Times are monotonic ms. */
export interface PeerRecord {
  digest: PeerDigest;
  /** When the heartbeat count last grew at the node that passed it on first. */
  newsMs: number;
  /** When a heartbeat or an answer last came from the peer itself. */
  directMs?: number;
  /** When a heartbeat was sent, by this node or one that passed its doubt on, that got no answer. */
  doubtedMs?: number;
  /** How many more messages carry the digest. */
  sendsLeft: number;
  /** Position in the order of changes. */
  changeOrder: number;
}

/** Doubts are passed on this many periods after the peer is suspected, so that late news still meets them. */
const DOUBT_EXTRA_PERIODS = 4;

const identityOf = (digest: PeerDigest): NodeIdentity | undefined => digest.identity;

const sameState = (left: PeerDigest, right: PeerDigest): boolean =>
  left.leaving === right.leaving &&
  left.acceptedRevision === right.acceptedRevision &&
  left.platformLost === right.platformLost &&
  left.workersVersion === right.workersVersion &&
  left.leases.length === right.leases.length &&
  left.leases.every((lease, index) => lease === right.leases[index]);

const withAge = ({ digest, newsMs }: PeerRecord, nowMs: number): PeerDigest => ({
  ...digest,
  ageMs: Math.max(0, Math.round(nowMs - newsMs)),
});

/** Whether `left` is a later incarnation than `right`. The id decides between equal generations. */
export const isLater = (left: NodeIdentity, right: NodeIdentity): boolean =>
  left.generation > right.generation ||
  (left.generation === right.generation && left.incarnation > right.incarnation);

/**
 * What is known of each peer: one incarnation a name, the latest. A peer is suspected when an exchange with it failed,
 * at this node or at another that passed its doubt on, and no larger heartbeat count came by any path within
 * `suspectAfterMs`. Silence alone is no sign: in a large deployment a node exchanges heartbeats with few peers a period.
 */
export class PeerTable {
  readonly #options: Required<PeerTableOptions>;

  readonly #byName = new Map<string, PeerRecord>();

  readonly #nameByIncarnation = new Map<string, string>();

  #changeOrder = 0;

  /** Next position of the rotation that sends unchanged digests. */
  #rotation = 0;

  constructor(options: PeerTableOptions) {
    this.#options = { maxPeers: 1024, forgetAfterMs: 600_000, ...options };
  }

  get size(): number {
    return this.#byName.size;
  }

  records(): IterableIterator<PeerRecord> {
    return this.#byName.values();
  }

  findIncarnation(incarnation: string): PeerRecord | undefined {
    const name = this.#nameByIncarnation.get(incarnation);
    return name === undefined ? undefined : this.#byName.get(name);
  }

  /** Takes in a digest. */
  learn(digest: PeerDigest, nowMs: number, source: DigestSource): LearnResult {
    const identity = identityOf(digest);
    if (identity === undefined || identity.name === this.#options.selfName) return 'known';
    const known = this.#byName.get(identity.name);
    if (known === undefined) return this.#insert(identity.name, digest, nowMs, source);
    const knownIdentity = identityOf(known.digest);
    if (knownIdentity !== undefined && knownIdentity.incarnation !== identity.incarnation) {
      if (!isLater(identity, knownIdentity)) {
        // The answer then carries the later incarnation, which tells the sender that it was replaced.
        known.sendsLeft = Math.max(known.sendsLeft, 1);
        return 'stale';
      }
      this.#nameByIncarnation.delete(knownIdentity.incarnation);
      this.#replace(identity.name, digest, nowMs, source);
      return 'restarted';
    }
    if (source === 'direct') known.directMs = nowMs;
    return this.#update(known, digest, nowMs, source);
  }

  /** A direct exchange, sent at `sentMs`, got no answer. */
  exchangeFailed(incarnation: string, sentMs: number, nowMs: number): void {
    const record = this.findIncarnation(incarnation);
    if (record === undefined || record.newsMs > sentMs) return;
    // A pause of this process can lie between sending and now; it says nothing of the peer.
    record.doubtedMs ??= Math.max(sentMs, nowMs - this.#options.peerTimeoutMs);
  }

  /** Takes in another node's doubt. When this node heard of the peer since, its next messages carry the digest. */
  learnDoubt(doubt: Doubt, nowMs: number): void {
    const record = this.findIncarnation(doubt.incarnation);
    if (record === undefined) return;
    const doubtedMs = nowMs - Math.min(doubt.ageMs, this.#options.suspectAfterMs);
    const heardSince =
      record.newsMs > doubtedMs && record.digest.heartbeatCount > doubt.heartbeatCount;
    if (heardSince) this.#markChanged(record, 2);
    else record.doubtedMs = Math.min(record.doubtedMs ?? Infinity, doubtedMs);
  }

  /**
   * Whether the peer counts as silent. Its silence began with its last news, at the earliest one period before the
   * unanswered heartbeat: in that period some node would have met it.
   */
  isSuspected(record: PeerRecord, nowMs: number): boolean {
    return (
      record.doubtedMs !== undefined &&
      this.#silentMs(record, nowMs) >= this.#options.suspectAfterMs
    );
  }

  /** Peers that did not answer and are not suspected yet: the next period tries them again first. */
  doubted(nowMs: number): PeerRecord[] {
    return [...this.records()].filter(
      (record) => record.doubtedMs !== undefined && !this.isSuspected(record, nowMs),
    );
  }

  /** Doubts to pass on, the newest first. */
  doubtsToSend(nowMs: number, maxEntries: number): Doubt[] {
    const { suspectAfterMs, heartbeatIntervalMs } = this.#options;
    const untilMs = suspectAfterMs + DOUBT_EXTRA_PERIODS * heartbeatIntervalMs;
    return [...this.records()]
      .filter((record) => record.doubtedMs !== undefined && nowMs - record.doubtedMs < untilMs)
      .sort((left, right) => (right.doubtedMs ?? 0) - (left.doubtedMs ?? 0))
      .slice(0, maxEntries)
      .map((record) =>
        create(DoubtSchema, {
          incarnation: identityOf(record.digest)?.incarnation ?? '',
          heartbeatCount: record.digest.heartbeatCount,
          ageMs: Math.max(0, Math.round(nowMs - (record.doubtedMs ?? nowMs))),
        }),
      );
  }

  /**
   * Digests for one message: what changed, the newest first.
   *
   * @param withRotation - whether a message without changes carries one unchanged digest in rotation, by which a node
   * that missed a change learns it later
   */
  changesToSend(nowMs: number, maxEntries: number, withRotation = false): PeerDigest[] {
    const changed = [...this.records()]
      .filter((record) => record.sendsLeft > 0)
      .sort((left, right) => right.changeOrder - left.changeOrder)
      .slice(0, maxEntries);
    for (const record of changed) record.sendsLeft -= 1;
    if (withRotation && changed.length === 0 && this.size > 0) {
      this.#rotation = (this.#rotation + 1) % this.size;
      const next = [...this.records()][this.#rotation];
      if (next && !this.isSuspected(next, nowMs)) changed.push(next);
    }
    invariant(changed.length <= maxEntries, 'heartbeat-entries-bounded', {
      entries: changed.length,
    });
    return changed.map((record) => withAge(record, nowMs));
  }

  /** Every digest, for a node that joins or comes back from a partition. */
  allDigests(nowMs: number): PeerDigest[] {
    return [...this.records()].map((record) => withAge(record, nowMs));
  }

  /** Forgets peers that have been suspected for long. */
  sweep(nowMs: number): void {
    for (const [name, record] of this.#byName) {
      const longSilent = this.#silentMs(record, nowMs) >= this.#options.forgetAfterMs;
      if (longSilent && this.isSuspected(record, nowMs)) this.#remove(name);
    }
  }

  #silentMs({ newsMs, doubtedMs = -Infinity }: PeerRecord, nowMs: number): number {
    return nowMs - Math.max(newsMs, doubtedMs - this.#options.heartbeatIntervalMs);
  }

  #update(known: PeerRecord, digest: PeerDigest, nowMs: number, source: DigestSource): LearnResult {
    if (digest.heartbeatCount <= known.digest.heartbeatCount) return 'known';
    const newsMs = Math.max(known.newsMs, nowMs - digest.ageMs);
    const refuted = known.doubtedMs !== undefined && newsMs > known.doubtedMs;
    const changed = refuted || !sameState(known.digest, digest);
    Object.assign(known, {
      newsMs,
      doubtedMs: refuted ? undefined : known.doubtedMs,
      digest: { ...digest, leaving: digest.leaving || known.digest.leaving },
    });
    if (changed && source !== 'list') this.#markChanged(known);
    return changed ? 'changed' : 'grown';
  }

  #insert(name: string, digest: PeerDigest, nowMs: number, source: DigestSource): LearnResult {
    if (this.size >= this.#options.maxPeers) {
      const silent = [...this.#byName].filter(([, record]) => this.isSuspected(record, nowMs));
      const longest = silent.sort(([, left], [, right]) => left.newsMs - right.newsMs)[0];
      if (longest === undefined) return 'full';
      this.#remove(longest[0]);
    }
    this.#replace(name, digest, nowMs, source);
    return 'new';
  }

  #replace(name: string, digest: PeerDigest, nowMs: number, source: DigestSource): void {
    const identity = identityOf(digest);
    const known = identityOf(this.#byName.get(name)?.digest ?? digest);
    invariant(
      identity !== undefined && known !== undefined && !isLater(known, identity),
      'incarnation-never-revived',
      { name },
    );
    const record: PeerRecord = {
      digest,
      newsMs: nowMs - digest.ageMs,
      directMs: source === 'direct' ? nowMs : undefined,
      sendsLeft: 0,
      changeOrder: 0,
    };
    this.#byName.set(name, record);
    this.#nameByIncarnation.set(identity.incarnation, name);
    if (source !== 'list') this.#markChanged(record);
    invariant(this.size <= this.#options.maxPeers, 'peer-table-bounded', { size: this.size });
  }

  #remove(name: string): void {
    const record = this.#byName.get(name);
    if (record === undefined) return;
    this.#nameByIncarnation.delete(identityOf(record.digest)?.incarnation ?? '');
    this.#byName.delete(name);
  }

  /** A change that each node sends a little over log2(n) times reaches all n nodes with high probability. */
  #markChanged(record: PeerRecord, sends = 3 + Math.ceil(Math.log2(this.size + 1))): void {
    this.#changeOrder += 1;
    Object.assign(record, {
      changeOrder: this.#changeOrder,
      sendsLeft: Math.max(record.sendsLeft, sends),
    });
  }
}
