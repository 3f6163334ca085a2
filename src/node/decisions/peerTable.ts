import { create } from '@bufbuild/protobuf';
import {
  type Doubt,
  DoubtSchema,
  type NodeIdentity,
  type PeerDigest,
} from '../../gen/hyssoppulley/v1/peer_pb.ts';
import { invariant } from '../../shared/invariants.ts';

/**
 * How a digest changed the table. `changed`: the peer's state differs or a doubt was refuted. `grown`: only the
 * heartbeat count or the version of the worker registrations grew. `stale`: the digest describes a replaced incarnation.
 * `full`: there was no room for a new peer. `foreign`: the digest describes a node of another deployment.
 */
export type MergeResult =
  'new' | 'restarted' | 'changed' | 'grown' | 'known' | 'stale' | 'full' | 'foreign';

/**
 * Where a digest came from: the peer itself, another node's gossip, or a list of all peers. Only changes from the first
 * two are gossiped further, because every node can read the lists.
 */
export type DigestSource = 'direct' | 'gossip' | 'list';

export interface PeerTableOptions {
  /** Name of this node; digests of it are never stored. */
  readonly selfName: string;
  /** Deployment of this node. @default '' */
  readonly deployment?: string;
  readonly heartbeatIntervalMs: number;
  readonly suspectAfterMs: number;
  /** Timeout of one call to another node, in ms. */
  readonly peerTimeoutMs: number;
  /** Maximum number of peers. @default 1024, more than twice the planned 410 nodes */
  readonly maxPeers?: number;
  /** Silence after which a suspected peer is removed, in ms. @default 600,000, the lifetime of an idempotency key */
  readonly forgetAfterMs?: number;
}

/** Entry of the table for one peer. Times are monotonic, in ms. */
export interface PeerRecord {
  digest: PeerDigest;
  /** When the heartbeat count last grew, as measured at the node that first passed it on. */
  lastGrowthMs: number;
  /** When a heartbeat or a response was last received from the peer itself. */
  lastDirectMs?: number;
  /** When an unanswered heartbeat was sent, by this node or by one that gossiped its doubt. */
  doubtedMs?: number;
  /** Number of further messages that carry the digest. */
  sendsLeft: number;
  /** Sequence number of the last change; the newest changes are sent first. */
  changeSequence: number;
  /** Whether other nodes act on the change at once, so that it is sent before all others. */
  urgent: boolean;
}

/** Doubts are gossiped this many periods beyond `suspectAfterMs`, so that nodes with later digests can refute them. */
const DOUBT_GOSSIP_EXTRA_PERIODS = 4;

const identityOf = (digest: PeerDigest): NodeIdentity | undefined => digest.identity;

/**
 * Maximum number of urgent changes that are sent to more peers than usual. When more nodes change at once, an event such
 * as a platform outage affects them all, and every node notices it itself.
 */
const MAX_BROADCAST_CHANGES = 16;

/** Whether two digests of a peer agree in what other nodes act on: whether it leaves, reaches the platform, holds leases. */
export const sameRole = (
  left: Pick<PeerDigest, 'leaving' | 'platformLost' | 'leases'>,
  right: Pick<PeerDigest, 'leaving' | 'platformLost' | 'leases'>,
): boolean =>
  left.leaving === right.leaving &&
  left.platformLost === right.platformLost &&
  left.leases.length === right.leases.length &&
  left.leases.every((lease, index) => lease === right.leases[index]);

const digestAt = ({ digest, lastGrowthMs }: PeerRecord, nowMs: number): PeerDigest => ({
  ...digest,
  ageMs: Math.max(0, Math.round(nowMs - lastGrowthMs)),
});

/** Whether `left` is a later incarnation than `right`. The incarnation id breaks ties between equal generations. */
export const isLaterIncarnation = (left: NodeIdentity, right: NodeIdentity): boolean =>
  left.generation > right.generation ||
  (left.generation === right.generation && left.incarnation > right.incarnation);

/**
 * Membership table of the peers, with the latest incarnation of each name. A peer is suspected when an exchange with it
 * failed, at this node or at one that gossiped its doubt, and no larger heartbeat count arrived by any path within
 * `suspectAfterMs`. Missing heartbeats alone raise no suspicion: in a large deployment a node exchanges heartbeats with
 * only a few peers per period.
 */
export class PeerTable {
  readonly #options: Required<PeerTableOptions>;

  readonly #byName = new Map<string, PeerRecord>();

  readonly #nameByIncarnation = new Map<string, string>();

  #lastChangeSequence = 0;

  /** Index of the unchanged digest that was last sent in rotation. */
  #rotationIndex = 0;

  constructor(options: PeerTableOptions) {
    this.#options = { deployment: '', maxPeers: 1024, forgetAfterMs: 600_000, ...options };
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

  /** Merges a received digest. */
  mergeDigest(digest: PeerDigest, nowMs: number, source: DigestSource): MergeResult {
    const identity = identityOf(digest);
    if (identity === undefined) return 'known';
    if (identity.deployment !== this.#options.deployment) return 'foreign';
    if (identity.name === this.#options.selfName) return 'known';
    const known = this.#byName.get(identity.name);
    if (known === undefined) return this.#insert(identity.name, digest, nowMs, source);
    const knownIdentity = identityOf(known.digest);
    if (knownIdentity !== undefined && knownIdentity.incarnation !== identity.incarnation) {
      if (!isLaterIncarnation(identity, knownIdentity)) {
        // The response then carries the later incarnation, which tells the sender that it was replaced.
        known.sendsLeft = Math.max(known.sendsLeft, 1);
        return 'stale';
      }
      this.#nameByIncarnation.delete(knownIdentity.incarnation);
      this.#replace(identity.name, digest, nowMs, source);
      return 'restarted';
    }
    if (source === 'direct') known.lastDirectMs = nowMs;
    return this.#update(known, digest, nowMs, source);
  }

  /** Records that a heartbeat sent to the peer at `sentMs` was not answered. */
  recordFailedExchange(incarnation: string, sentMs: number, nowMs: number): void {
    const record = this.findIncarnation(incarnation);
    if (record === undefined || record.lastGrowthMs > sentMs) return;
    // This process may have been paused since the send; time beyond the timeout is no evidence against the peer.
    record.doubtedMs ??= Math.max(sentMs, nowMs - this.#options.peerTimeoutMs);
  }

  /** Merges another node's doubt. If a later digest of the peer refutes it, the next messages carry that digest. */
  mergeDoubt(doubt: Doubt, nowMs: number): void {
    const record = this.findIncarnation(doubt.incarnation);
    if (record === undefined) return;
    const doubtedMs = nowMs - Math.min(doubt.ageMs, this.#options.suspectAfterMs);
    const heardSince =
      record.lastGrowthMs > doubtedMs && record.digest.heartbeatCount > doubt.heartbeatCount;
    if (heardSince) this.#markChanged(record, { urgent: true, sends: 2 });
    else record.doubtedMs = Math.min(record.doubtedMs ?? Infinity, doubtedMs);
  }

  /**
   * Whether the peer is suspected. Its silence is counted from the last growth of its heartbeat count, but at the
   * earliest from one period before the unanswered heartbeat: within a period some node would have reached it.
   */
  isSuspected(record: PeerRecord, nowMs: number): boolean {
    return (
      record.doubtedMs !== undefined &&
      this.#silentMs(record, nowMs) >= this.#options.suspectAfterMs
    );
  }

  /** Peers that did not respond and are not suspected yet. The next period contacts them first. */
  doubted(nowMs: number): PeerRecord[] {
    return [...this.records()].filter(
      (record) => record.doubtedMs !== undefined && !this.isSuspected(record, nowMs),
    );
  }

  /** Doubts to gossip, the newest first. */
  doubtsToSend(nowMs: number, maxEntries: number): Doubt[] {
    const { suspectAfterMs, heartbeatIntervalMs } = this.#options;
    const untilMs = suspectAfterMs + DOUBT_GOSSIP_EXTRA_PERIODS * heartbeatIntervalMs;
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

  /** Whether a few peers have changes that every node must learn soon, so that they are sent to more peers. */
  get hasChangesToBroadcast(): boolean {
    let count = 0;
    for (const { urgent, sendsLeft } of this.records()) if (urgent && sendsLeft > 0) count += 1;
    return count > 0 && count <= MAX_BROADCAST_CHANGES;
  }

  /**
   * Digests for one message: the changed ones, urgent changes first, then the newest.
   *
   * @param withRotation - whether a message without changes carries one unchanged digest in rotation, so that a node
   * that missed a change learns it eventually
   */
  changesToSend(nowMs: number, maxEntries: number, withRotation = false): PeerDigest[] {
    const changed = [...this.records()]
      .filter((record) => record.sendsLeft > 0)
      .sort(
        (left, right) =>
          Number(right.urgent) - Number(left.urgent) || right.changeSequence - left.changeSequence,
      )
      .slice(0, maxEntries);
    for (const record of changed) record.sendsLeft -= 1;
    if (withRotation && changed.length === 0 && this.size > 0) {
      this.#rotationIndex = (this.#rotationIndex + 1) % this.size;
      const next = [...this.records()][this.#rotationIndex];
      if (next && !this.isSuspected(next, nowMs)) changed.push(next);
    }
    invariant(changed.length <= maxEntries, 'heartbeat-entries-bounded', {
      entries: changed.length,
    });
    return changed.map((record) => digestAt(record, nowMs));
  }

  /** All digests, for a node that joins or returns from a partition. */
  allDigests(nowMs: number): PeerDigest[] {
    return [...this.records()].map((record) => digestAt(record, nowMs));
  }

  /** Removes suspected peers that have been silent for `forgetAfterMs`. */
  removeUnresponsivePeers(nowMs: number): void {
    for (const [name, record] of this.#byName) {
      const longSilent = this.#silentMs(record, nowMs) >= this.#options.forgetAfterMs;
      if (longSilent && this.isSuspected(record, nowMs)) this.#remove(name);
    }
  }

  #silentMs({ lastGrowthMs, doubtedMs = -Infinity }: PeerRecord, nowMs: number): number {
    return nowMs - Math.max(lastGrowthMs, doubtedMs - this.#options.heartbeatIntervalMs);
  }

  #update(known: PeerRecord, digest: PeerDigest, nowMs: number, source: DigestSource): MergeResult {
    if (digest.heartbeatCount <= known.digest.heartbeatCount) return 'known';
    const lastGrowthMs = Math.max(known.lastGrowthMs, nowMs - digest.ageMs);
    const refuted = known.doubtedMs !== undefined && lastGrowthMs > known.doubtedMs;
    const urgent = refuted || !sameRole(known.digest, digest);
    // The version of the worker registrations changes all the time on every node, so gossip about it would delay all other
    // changes. A node learns it from the heartbeats of its peers themselves.
    const changed = urgent || known.digest.acceptedRevision !== digest.acceptedRevision;
    Object.assign(known, {
      lastGrowthMs,
      doubtedMs: refuted ? undefined : known.doubtedMs,
      digest: { ...digest, leaving: digest.leaving || known.digest.leaving },
    });
    if (changed && source !== 'list') this.#markChanged(known, { urgent });
    return changed ? 'changed' : 'grown';
  }

  #insert(name: string, digest: PeerDigest, nowMs: number, source: DigestSource): MergeResult {
    if (this.size >= this.#options.maxPeers) {
      const silent = [...this.#byName].filter(([, record]) => this.isSuspected(record, nowMs));
      const longestSilent = silent.sort(
        ([, left], [, right]) => left.lastGrowthMs - right.lastGrowthMs,
      )[0];
      if (longestSilent === undefined) return 'full';
      this.#remove(longestSilent[0]);
    }
    this.#replace(name, digest, nowMs, source);
    return 'new';
  }

  #replace(name: string, digest: PeerDigest, nowMs: number, source: DigestSource): void {
    const identity = identityOf(digest);
    const known = identityOf(this.#byName.get(name)?.digest ?? digest);
    invariant(
      identity !== undefined && known !== undefined && !isLaterIncarnation(known, identity),
      'incarnation-never-revived',
      { name },
    );
    const record: PeerRecord = {
      digest,
      lastGrowthMs: nowMs - digest.ageMs,
      lastDirectMs: source === 'direct' ? nowMs : undefined,
      sendsLeft: 0,
      changeSequence: 0,
      urgent: false,
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

  /** A change that each node sends slightly more than log2(n) times reaches all n nodes with high probability. */
  #markChanged(
    record: PeerRecord,
    { urgent = false, sends = 3 + Math.ceil(Math.log2(this.size + 1)) } = {},
  ): void {
    this.#lastChangeSequence += 1;
    Object.assign(record, {
      urgent: urgent || (record.urgent && record.sendsLeft > 0),
      changeSequence: this.#lastChangeSequence,
      sendsLeft: Math.max(record.sendsLeft, sends),
    });
  }
}
