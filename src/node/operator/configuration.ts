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
import { CONFIRMATIONS_PREFIX, WRITE_CONFIRMATION_AFTER_MS } from './constants.ts';
import { resolveRecord, tablesDocument } from './tablesDocument.ts';

/** The accepted tables of a peer. */
export interface PeerTables extends PeerRevisions {
  readonly operationId: string;
  readonly tables: Tables;
  /** Whether the peer itself may take new work. */
  readonly serving: boolean;
}

export interface ConfigurationOptions {
  readonly platform: PlatformClient;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Name of this node. */
  readonly nodeName: string;
  /** Shared with the membership, which counts heartbeats. */
  readonly right: ServingLease;
  /** Told of each revision that comes into force. */
  readonly onRevision?: (revision: number) => void;
}

interface PrepareAnswer {
  readonly confirmed: boolean;
  readonly reason: string;
}

/** The accepted configuration as this node knows it, and the node's part in the commit of a new one. */
export class Configuration implements TablesView {
  readonly #options: ConfigurationOptions;

  readonly #replica = new ConfigurationReplica();

  readonly #current = new BehaviorSubject<ResolvedTables | undefined>(undefined);

  #resolvedProposal: { readonly digest: string; readonly tables: ResolvedTables } | undefined;

  /** The latest proposal seen, with a stopwatch since it was first seen. */
  #seenProposal: { readonly headVersion: number; readonly since: Stopwatch } | undefined;

  #everyPeerHeard: (() => boolean) | undefined;

  constructor(options: ConfigurationOptions) {
    this.#options = options;
  }

  /** Sets how to find out whether no registered peer is suspected. The membership is made after the configuration. */
  checkPeersWith(everyPeerHeard: () => boolean): void {
    this.#everyPeerHeard = everyPeerHeard;
  }

  readonly changes$: Observable<ResolvedTables> = this.#current.pipe(
    filter((tables) => tables !== undefined),
  );

  current(): ResolvedTables | undefined {
    return this.#current.value;
  }

  /** Accepted and prepared revision, as heartbeats carry them. */
  revisions(): PeerRevisions {
    const { acceptedRevision, preparedRevision } = this.#replica;
    return { acceptedRevision, preparedRevision };
  }

  /** Operation that made the accepted revision; empty: none yet. */
  get operationId(): string {
    return this.#replica.operationId;
  }

  /**
   * Reads the head, takes it in, and writes this node's confirmation when the coordinator has not asked for it.
   *
   * @throws PlatformError when the platform does not answer
   */
  async refresh(): Promise<VersionedHead> {
    const sentAt = startCallStopwatch(this.#options.clock);
    const object = await this.#options.platform.read(HEAD_KEY);
    const seen = {
      head: (object?.value ?? {}) as ConfigurationHead,
      version: object?.version ?? 0,
    };
    this.takeHead(seen);
    if (this.#replica.headRenewsLease(seen)) this.#options.right.renewByPlatform(sentAt);
    await this.#writeConfirmation(seen);
    return seen;
  }

  /** Takes in a head that a read or a watch showed. */
  takeHead(seen: VersionedHead): void {
    const { adopt, prepare } = this.#replica.onHead(seen);
    if (adopt) this.adopt(adopt);
    if (prepare) this.#resolve(prepare, seen.version);
    const { proposal } = seen.head;
    if (proposal && seen.version > (this.#seenProposal?.headVersion ?? 0)) {
      const since = new Stopwatch(this.#options.clock);
      this.#seenProposal = { headVersion: seen.version, since };
    }
  }

  /** Time since this node first saw the proposal in a version of the head, in ms. */
  proposalAgeMs(headVersion: number): number {
    const seen = this.#seenProposal;
    return seen?.headVersion === headVersion ? seen.since.certainlyElapsedMs() : 0;
  }

  /** Answers a coordinator whether this node can serve a proposal. */
  prepare(record: RevisionRecord, headVersion: number): PrepareAnswer {
    const advice = this.#replica.onPrepare(record.revision, headVersion);
    if (advice.kind === 'refuse') return { confirmed: false, reason: advice.reason };
    const answer = this.#resolve(record, headVersion);
    this.#replica.recordAnswered(headVersion);
    return answer;
  }

  /**
   * Takes in a coordinator's message that a revision was accepted.
   *
   * @returns the revision in force afterwards; lower than `revision` when this node has to read the head first
   */
  commit(revision: number, operationId: string): number {
    const record = this.#replica.onCommit(revision, operationId);
    if (record) this.adopt(record);
    return this.#replica.acceptedRevision;
  }

  /** Puts an accepted revision in force when it is newer than the one in force. */
  adopt(record: RevisionRecord): void {
    const known = this.#resolvedProposal;
    let tables: ResolvedTables;
    try {
      tables =
        known?.digest === record.digest && known.tables.revision === record.revision
          ? known.tables
          : resolveRecord(record, false);
    } catch (error) {
      // Only when the nodes run different versions: the node keeps its revision and its right to serve lapses.
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
   * Takes over the accepted tables of a peer. The first revision after a start is only taken from a peer that serves
   * and has nothing prepared above it.
   *
   * @returns whether the peer's tables could be used
   */
  adoptFromPeer(peer: PeerTables): boolean {
    const first = this.#replica.acceptedRevision === 0;
    if (first && !ConfigurationReplica.canBootstrapFrom(peer, peer.serving)) return false;
    if (peer.acceptedRevision === 0) return false;
    const { operationId, acceptedRevision: revision } = peer;
    this.adopt({ revision, operationId, ...tablesDocument(peer.tables) });
    return true;
  }

  /** Whether a peer's answered heartbeat counts towards the right to serve. */
  peerRenewsLease(peer: PeerRevisions): boolean {
    return this.#replica.peerRenewsLease(peer, this.#everyPeerHeard?.() ?? true);
  }

  #resolve(record: RevisionRecord, headVersion: number): PrepareAnswer {
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
    if (proposal === undefined || this.#replica.hasAnswered(version)) return;
    if (this.proposalAgeMs(version) < WRITE_CONFIRMATION_AFTER_MS) return;
    const { platform, nodeName, logger } = this.#options;
    const answer = this.#answerTo(proposal, version);
    const key = `${CONFIRMATIONS_PREFIX}${proposal.operationId}/${nodeName}`;
    const result = await platform.write(key, { ...answer, headVersion: version });
    if (result.status === 'written') this.#replica.recordAnswered(version);
    logger.info('configuration-confirmation-written', {
      operationId: proposal.operationId,
      confirmed: answer.confirmed,
      status: result.status,
    });
  }

  #answerTo(proposal: Proposal, version: number): PrepareAnswer {
    const advice = this.#replica.onPrepare(proposal.revision, version);
    return advice.kind === 'refuse'
      ? { confirmed: false, reason: advice.reason }
      : this.#resolve(proposal, version);
  }
}
