import { invariant } from '../../shared/invariants.ts';
import {
  acceptedRevisionOf,
  type Proposal,
  type RevisionRecord,
  type VersionedHead,
} from './configurationHead.ts';

/** A proposal that this node can serve and that it has not yet seen accepted or replaced. */
interface Prepared {
  readonly record: RevisionRecord;
  /** Version of the head that contained the proposal. */
  readonly headVersion: number;
}

/** Revisions that a peer reports. */
export interface PeerRevisions {
  readonly acceptedRevision: number;
  /** Highest revision that the peer has prepared; 0 if none is above its accepted revision. */
  readonly preparedRevision: number;
}

/** Actions for the owner of a replica after it has passed a head to `onHead`. */
export interface HeadActions {
  /** Serve this revision and record it with `adopt`. */
  readonly adopt?: RevisionRecord;
  /** Parse this proposal and, if this node can serve it, call `recordPrepared`. */
  readonly prepare?: Proposal;
}

export type PrepareRequestDecision =
  { readonly kind: 'prepare' } | { readonly kind: 'refuse'; readonly reason: string };

/**
 * A node's state as a participant in the two-phase commit: its accepted and its prepared revision. The accepted
 * revision never decreases.
 */
export class ConfigurationReplica {
  #accepted: Omit<RevisionRecord, 'tables'> | undefined;

  #prepared: Prepared | undefined;

  #headVersion = 0;

  #answeredHeadVersion = 0;

  /** Accepted revision; 0 if there is none yet. */
  get acceptedRevision(): number {
    return this.#accepted?.revision ?? 0;
  }

  /** Operation that created the accepted revision; empty if there is none yet. */
  get operationId(): string {
    return this.#accepted?.operationId ?? '';
  }

  /** Prepared revision above the accepted one; 0 if there is none. */
  get preparedRevision(): number {
    return this.#prepared?.record.revision ?? 0;
  }

  /** Processes a head from a read or a watch event. These can arrive out of order, so older versions are ignored. */
  onHead({ head, version }: VersionedHead): HeadActions {
    // A head read before a commit message arrived can still show the previous accepted revision.
    const stale = version < this.#headVersion || acceptedRevisionOf(head) < this.acceptedRevision;
    if (stale) return {};
    this.#headVersion = version;
    const { accepted, proposal } = head;
    const replaced =
      this.#prepared !== undefined &&
      this.#prepared.headVersion < version &&
      this.#prepared.record.operationId !== proposal?.operationId;
    if (replaced) this.#prepared = undefined;
    return {
      adopt: accepted && this.#isNewer(accepted) ? accepted : undefined,
      prepare:
        proposal && this.#prepared?.headVersion !== version && this.#mayPrepare(proposal)
          ? proposal
          : undefined,
    };
  }

  /** Decides whether to parse and prepare a proposal sent by a coordinator. */
  onPrepare(revision: number, headVersion: number): PrepareRequestDecision {
    if (revision <= this.acceptedRevision) {
      return { kind: 'refuse', reason: `already serves revision ${this.acceptedRevision}` };
    }
    const known = Math.max(this.#headVersion, this.#prepared?.headVersion ?? 0);
    if (headVersion < known) {
      return { kind: 'refuse', reason: 'the proposal is no longer in the head' };
    }
    return { kind: 'prepare' };
  }

  /** Records that this node can serve a proposal. */
  recordPrepared(record: RevisionRecord, headVersion: number): void {
    if (record.revision <= this.acceptedRevision || headVersion < this.#headVersion) return;
    if (headVersion < (this.#prepared?.headVersion ?? 0)) return;
    this.#prepared = { record, headVersion };
  }

  /** Records that the coordinator can see this node's response to the proposal in a version of the head. */
  recordVote(headVersion: number): void {
    this.#answeredHeadVersion = Math.max(this.#answeredHeadVersion, headVersion);
  }

  /** Whether the coordinator can see this node's response to the proposal in a version of the head. */
  hasVoted(headVersion: number): boolean {
    return headVersion <= this.#answeredHeadVersion;
  }

  /** The prepared record that a coordinator reports as accepted; undefined if this node must read the tables first. */
  onCommit(revision: number, operationId: string): RevisionRecord | undefined {
    const record = this.#prepared?.record;
    return record?.revision === revision && record.operationId === operationId ? record : undefined;
  }

  /**
   * Records that this node now serves an accepted revision.
   *
   * @returns whether the revision is newer than the one served before
   */
  adopt(record: RevisionRecord): boolean {
    if (record.revision === this.acceptedRevision && this.#accepted) {
      invariant(
        record.operationId === this.#accepted.operationId,
        'configuration-one-document-per-revision',
        { revision: record.revision, operationId: record.operationId },
      );
    }
    if (!this.#isNewer(record)) return false;
    this.#accepted = record;
    if (this.preparedRevision <= record.revision) this.#prepared = undefined;
    invariant(
      this.preparedRevision === 0 || this.preparedRevision > this.acceptedRevision,
      'configuration-prepared-above-accepted',
    );
    return true;
  }

  /**
   * Whether this node may start with a peer's accepted tables while the platform is unreachable.
   *
   * @param serving - whether the peer may accept new work, that is, its serving lease has not expired
   */
  static canBootstrapFrom(peer: PeerRevisions, serving: boolean): boolean {
    return serving && peer.acceptedRevision > 0 && peer.preparedRevision <= peer.acceptedRevision;
  }

  /**
   * Whether a peer's response renews this node's serving lease. It does not if the peer knows a higher revision: this
   * node may then have been skipped in the commit. While this node has a prepared revision, nodes that it cannot reach
   * may have accepted that revision without its knowledge; a peer's response then renews the lease only if no
   * registered peer is suspected.
   *
   * @param everyPeerHeard - whether no registered peer is suspected
   */
  peerRenewsLease(peer: PeerRevisions, everyPeerHeard: boolean): boolean {
    const known = Math.max(this.acceptedRevision, this.preparedRevision);
    return (
      peer.acceptedRevision > 0 &&
      peer.acceptedRevision <= this.acceptedRevision &&
      peer.preparedRevision <= known &&
      (this.preparedRevision === 0 || everyPeerHeard)
    );
  }

  /**
   * Whether a head that was just passed to `onHead` renews the serving lease: this node serves the head's accepted
   * revision, and the coordinator of its proposal, if any, has this node's response and so need not skip the node.
   */
  headRenewsLease({ head, version }: VersionedHead): boolean {
    return (
      version >= this.#headVersion &&
      this.acceptedRevision > 0 &&
      this.acceptedRevision === acceptedRevisionOf(head) &&
      (head.proposal === undefined || this.hasVoted(version))
    );
  }

  #isNewer(record: RevisionRecord): boolean {
    return record.revision > this.acceptedRevision;
  }

  #mayPrepare(proposal: Proposal): boolean {
    return proposal.revision > this.acceptedRevision;
  }
}
