import { invariant } from '../../shared/invariants.ts';
import {
  acceptedRevisionOf,
  type Proposal,
  type RevisionRecord,
  type VersionedHead,
} from './configurationHead.ts';

/** A proposal that this node can serve and has not yet seen accepted or replaced. */
interface Prepared {
  readonly record: RevisionRecord;
  /** Version of the head that held the proposal. */
  readonly headVersion: number;
}

/** What a peer says about its revisions. */
export interface PeerRevisions {
  readonly acceptedRevision: number;
  /** Highest revision that the peer has prepared; 0: none above its accepted one. */
  readonly preparedRevision: number;
}

/** What the owner of a replica does after it saw a head. */
export interface HeadActions {
  /** Serve this revision. */
  readonly adopt?: RevisionRecord;
  /** Parse this proposal, then call `prepared`. */
  readonly prepare?: Proposal;
}

export type PrepareAdvice =
  { readonly kind: 'prepare' } | { readonly kind: 'refuse'; readonly reason: string };

/** The part of a node in the commit: its accepted and its prepared revision. Neither ever decreases. */
export class ConfigurationReplica {
  #accepted: Omit<RevisionRecord, 'tables'> | undefined;

  #prepared: Prepared | undefined;

  #headVersion = 0;

  #answeredHeadVersion = 0;

  /** Accepted revision; 0: none yet. */
  get acceptedRevision(): number {
    return this.#accepted?.revision ?? 0;
  }

  /** Operation that made the accepted revision; empty: none yet. */
  get operationId(): string {
    return this.#accepted?.operationId ?? '';
  }

  /** Prepared revision above the accepted one; 0: none. */
  get preparedRevision(): number {
    return this.#prepared?.record.revision ?? 0;
  }

  /** Takes in a head from a read or a watch. Events and reads can arrive out of order: older versions are ignored. */
  onHead({ head, version }: VersionedHead): HeadActions {
    // A head read before a commit arrived shows the revision before it.
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

  /** Decides whether a proposal that a coordinator sent should be parsed and prepared. */
  onPrepare(revision: number, headVersion: number): PrepareAdvice {
    if (revision <= this.acceptedRevision) {
      return { kind: 'refuse', reason: `already serves revision ${this.acceptedRevision}` };
    }
    const known = Math.max(this.#headVersion, this.#prepared?.headVersion ?? 0);
    if (headVersion < known) {
      return { kind: 'refuse', reason: 'the proposal is no longer in the head' };
    }
    return { kind: 'prepare' };
  }

  /** Records that the node can serve a proposal. */
  prepared(record: RevisionRecord, headVersion: number): void {
    if (record.revision <= this.acceptedRevision || headVersion < this.#headVersion) return;
    if (headVersion < (this.#prepared?.headVersion ?? 0)) return;
    this.#prepared = { record, headVersion };
  }

  /** Records that the coordinator has this node's answer, yes or no, to the proposal in a version of the head. */
  answered(headVersion: number): void {
    this.#answeredHeadVersion = Math.max(this.#answeredHeadVersion, headVersion);
  }

  /** Whether the coordinator of the proposal in a version of the head has this node's answer. */
  hasAnswered(headVersion: number): boolean {
    return headVersion <= this.#answeredHeadVersion;
  }

  /** The prepared record that a coordinator says was accepted; undefined: this node must fetch the tables. */
  onCommit(revision: number, operationId: string): RevisionRecord | undefined {
    const record = this.#prepared?.record;
    return record?.revision === revision && record.operationId === operationId ? record : undefined;
  }

  /**
   * Records that the node now serves an accepted revision.
   *
   * @returns whether the revision is newer than the one served so far
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

  /** Whether a peer's accepted tables may become this node's first ones while the platform is unreachable. */
  static mayStartFrom(peer: PeerRevisions, serving: boolean): boolean {
    return serving && peer.acceptedRevision > 0 && peer.preparedRevision <= peer.acceptedRevision;
  }

  /**
   * Whether a peer's answer renews this node's right to serve. A peer that knows a higher revision shows that this
   * node may have been skipped. While this node's own prepared revision may have been accepted out of its sight, peers
   * only vouch for each other when none of them is out of sight as well.
   *
   * @param everyPeerHeard - whether no registered peer is suspected
   */
  countsAsHeard(peer: PeerRevisions, everyPeerHeard: boolean): boolean {
    const known = Math.max(this.acceptedRevision, this.preparedRevision);
    return (
      peer.acceptedRevision > 0 &&
      peer.acceptedRevision <= this.acceptedRevision &&
      peer.preparedRevision <= known &&
      (this.preparedRevision === 0 || everyPeerHeard)
    );
  }

  /**
   * Whether a head that was just taken in renews the right to serve: its accepted revision is served, and the
   * coordinator of its proposal has this node's answer, so that it need not skip this node.
   */
  countsHeadAsHeard({ head, version }: VersionedHead): boolean {
    return (
      version >= this.#headVersion &&
      this.acceptedRevision > 0 &&
      this.acceptedRevision === acceptedRevisionOf(head) &&
      (head.proposal === undefined || this.hasAnswered(version))
    );
  }

  #isNewer(record: RevisionRecord): boolean {
    return record.revision > this.acceptedRevision;
  }

  #mayPrepare(proposal: Proposal): boolean {
    return proposal.revision > this.acceptedRevision;
  }
}
