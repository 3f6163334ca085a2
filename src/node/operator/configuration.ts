import { BehaviorSubject, filter, type Observable } from 'rxjs';
import type { Tables } from '../../gen/hyssoppulley/v1/tables_pb.ts';
import { type Clock, Stopwatch } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import {
  type ConfigurationHead,
  HEAD_KEY,
  type Proposal,
  type RevisionRecord,
  type VersionedHead,
} from '../decisions/configurationHead.ts';
import { ConfigurationReplica, type PeerRevisions } from '../decisions/configurationReplica.ts';
import { ServingLease, startCallStopwatch } from '../decisions/servingLease.ts';
import type { TablesView } from '../membership/membershipView.ts';
import type { Logger } from '../observability/logger.ts';
import type { PlatformClient } from '../platform/platformClient.ts';
import type { ResolvedTables } from '../tables/resolveTables.ts';
import { CONFIRMATIONS_PREFIX, CONFIRMATION_WRITE_DELAY_MS } from './constants.ts';
import { resolveRecord, tablesDocument } from './tablesDocument.ts';

/** The accepted tables of a peer. */
export interface PeerTables extends PeerRevisions {
  readonly operationId: string;
  readonly tables: Tables;
  /** Whether the peer has the right to serve. */
  readonly serving: boolean;
}

export interface ConfigurationOptions {
  readonly platform: PlatformClient;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Name of this node. */
  readonly nodeName: string;
  /** This node's right to serve. Shared with the membership, which renews it by heartbeats. */
  readonly servingLease: ServingLease;
  /** Called with each revision that this node puts in force. */
  readonly onRevision?: (revision: number) => void;
}

/** Vote of this node in the prepare phase: whether it can serve the proposal. */
interface PrepareVote {
  readonly confirmed: boolean;
  /** Reason for a refusal; empty if confirmed. */
  readonly reason: string;
}

/** The accepted configuration known to this node, and the node's participation in the commit of a new one. */
export class Configuration implements TablesView {
  readonly #options: ConfigurationOptions;

  readonly #replica = new ConfigurationReplica();

  readonly #current = new BehaviorSubject<ResolvedTables | undefined>(undefined);

  /** Tables of the last proposal that this node could resolve, until a revision is adopted. */
  #resolvedProposal: { readonly digest: string; readonly tables: ResolvedTables } | undefined;

  /** Head version of the newest proposal seen, and a stopwatch started when that version was first seen. */
  #newestProposal: { readonly headVersion: number; readonly since: Stopwatch } | undefined;

  #everyPeerHeard: (() => boolean) | undefined;

  constructor(options: ConfigurationOptions) {
    this.#options = options;
  }

  /**
   * Sets the function that tells whether no registered peer is suspected. Not an option of the constructor, because the
   * membership is created after the configuration.
   */
  setEveryPeerHeard(everyPeerHeard: () => boolean): void {
    this.#everyPeerHeard = everyPeerHeard;
  }

  readonly changes$: Observable<ResolvedTables> = this.#current.pipe(
    filter((tables) => tables !== undefined),
  );

  current(): ResolvedTables | undefined {
    return this.#current.value;
  }

  /** Accepted and prepared revision, as reported in heartbeats. */
  revisions(): PeerRevisions {
    const { acceptedRevision, preparedRevision } = this.#replica;
    return { acceptedRevision, preparedRevision };
  }

  /** Operation that created the accepted revision; empty if there is none yet. */
  get operationId(): string {
    return this.#replica.operationId;
  }

  /**
   * Reads the head, processes it, and writes this node's confirmation of a proposal to the platform if the coordinator
   * has not called for it.
   *
   * @throws PlatformError if the platform does not respond
   */
  async refresh(): Promise<VersionedHead> {
    const sentAt = startCallStopwatch(this.#options.clock);
    const object = await this.#options.platform.read(HEAD_KEY);
    const seen = {
      head: (object?.value ?? {}) as ConfigurationHead,
      version: object?.version ?? 0,
    };
    this.processHead(seen);
    if (this.#replica.headRenewsLease(seen)) this.#options.servingLease.renewByPlatform(sentAt);
    await this.#writeConfirmation(seen);
    return seen;
  }

  /** Processes a head from a read or a watch event. */
  processHead(seen: VersionedHead): void {
    const { adopt, prepare } = this.#replica.onHead(seen);
    if (adopt) this.adopt(adopt);
    if (prepare) this.#resolve(prepare, seen.version);
    const { proposal } = seen.head;
    if (proposal && seen.version > (this.#newestProposal?.headVersion ?? 0)) {
      const since = new Stopwatch(this.#options.clock);
      this.#newestProposal = { headVersion: seen.version, since };
    }
  }

  /** Lower bound on the age of the proposal in a version of the head, in ms; 0 unless it is the newest one seen. */
  proposalAgeMs(headVersion: number): number {
    const seen = this.#newestProposal;
    return seen?.headVersion === headVersion ? seen.since.minElapsedMs() : 0;
  }

  /** Handles a coordinator's prepare call: returns whether this node can serve the proposal. */
  prepare(record: RevisionRecord, headVersion: number): PrepareVote {
    const decision = this.#replica.onPrepare(record.revision, headVersion);
    if (decision.kind === 'refuse') return { confirmed: false, reason: decision.reason };
    const vote = this.#resolve(record, headVersion);
    this.#replica.recordVote(headVersion);
    return vote;
  }

  /**
   * Handles a coordinator's message that a revision was accepted.
   *
   * @returns the revision in force afterwards; lower than `revision` if this node must read the head first
   */
  commit(revision: number, operationId: string): number {
    const record = this.#replica.onCommit(revision, operationId);
    if (record) this.adopt(record);
    return this.#replica.acceptedRevision;
  }

  /** Puts an accepted revision in force if it is newer than the one in force. */
  adopt(record: RevisionRecord): void {
    const resolved = this.#resolvedProposal;
    let tables: ResolvedTables;
    try {
      tables =
        resolved?.digest === record.digest && resolved.tables.revision === record.revision
          ? resolved.tables
          : resolveRecord(record, false);
    } catch (error) {
      // Only if nodes run different program versions: this node keeps its revision, and its right to serve expires.
      this.#options.logger.error('configuration-not-usable', {
        revision: record.revision,
        message: messageOf(error),
      });
      return;
    }
    if (!this.#replica.adopt(record)) return;
    this.#resolvedProposal = undefined;
    this.#current.next(tables);
    this.#options.onRevision?.(record.revision);
    this.#options.logger.info('configuration-in-force', {
      revision: record.revision,
      operationId: record.operationId,
    });
  }

  /**
   * Adopts the accepted tables of a peer. The first revision after a start is only adopted from a peer that has the
   * right to serve and has not prepared a higher revision.
   *
   * @returns whether the peer's tables are usable
   */
  adoptFromPeer(peer: PeerTables): boolean {
    const isFirst = this.#replica.acceptedRevision === 0;
    if (isFirst && !ConfigurationReplica.canBootstrapFrom(peer, peer.serving)) return false;
    if (peer.acceptedRevision === 0) return false;
    const { operationId, acceptedRevision: revision } = peer;
    this.adopt({ revision, operationId, ...tablesDocument(peer.tables) });
    return true;
  }

  /** Whether a peer's response to a heartbeat renews this node's right to serve. */
  peerRenewsLease(peer: PeerRevisions): boolean {
    return this.#replica.peerRenewsLease(peer, this.#everyPeerHeard?.() ?? true);
  }

  #resolve(record: RevisionRecord, headVersion: number): PrepareVote {
    try {
      this.#resolvedProposal = { digest: record.digest, tables: resolveRecord(record) };
    } catch (error) {
      return { confirmed: false, reason: messageOf(error) };
    }
    this.#replica.recordPrepared(record, headVersion);
    return { confirmed: true, reason: '' };
  }

  async #writeConfirmation({ head, version }: VersionedHead): Promise<void> {
    const { proposal } = head;
    if (proposal === undefined || this.#replica.hasVoted(version)) return;
    if (this.proposalAgeMs(version) < CONFIRMATION_WRITE_DELAY_MS) return;
    const { platform, nodeName, logger } = this.#options;
    const vote = this.#voteOn(proposal, version);
    const key = `${CONFIRMATIONS_PREFIX}${proposal.operationId}/${nodeName}`;
    const result = await platform.write(key, { ...vote, headVersion: version });
    if (result.status === 'written') this.#replica.recordVote(version);
    logger.info('configuration-confirmation-written', {
      operationId: proposal.operationId,
      confirmed: vote.confirmed,
      status: result.status,
    });
  }

  #voteOn(proposal: Proposal, version: number): PrepareVote {
    const decision = this.#replica.onPrepare(proposal.revision, version);
    return decision.kind === 'refuse'
      ? { confirmed: false, reason: decision.reason }
      : this.#resolve(proposal, version);
  }
}
