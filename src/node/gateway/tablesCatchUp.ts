import { type Clock, sleep } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import type { Peer } from '../membership/membershipView.ts';
import type { PeerAddress } from '../membership/peerClients.ts';
import type { Logger } from '../observability/logger.ts';
import { CHANGE_PROPAGATION_GRACE_MS } from './constants.ts';
import type { TablesFollower } from './tablesFollower.ts';

/** Time in which the platform or a relay answers a node that lists the tables again, in ms; a slow platform takes longer. */
const LIST_TIME_MS = 500;

export interface TablesCatchUpOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly tables: Pick<TablesFollower, 'handledVersion' | 'connected' | 'refresh'>;
  /** Takes over a peer's tables, if it has those of a version. Returns whether they are later than this node's. */
  readonly adoptFrom: (peer: PeerAddress, minVersion: number) => Promise<boolean>;
}

/**
 * Gets later tables that a heartbeat announced: waits for the watch, which may miss a change without an error, lists
 * again, and takes the tables from the peer if this node gets them neither from the platform nor from a relay.
 */
export class TablesCatchUp {
  readonly #options: TablesCatchUpOptions;

  #isRunning = false;

  constructor(options: TablesCatchUpOptions) {
    this.#options = options;
  }

  /** A heartbeat showed that the peer may have later tables. Calls during an attempt are ignored; heartbeats go on. */
  peerAhead(peer: Pick<Peer, 'identity' | 'acceptedRevision'>): void {
    if (this.#isRunning || !this.#isBehind(peer)) return;
    this.#isRunning = true;
    void this.#catchUp(peer).finally(() => {
      this.#isRunning = false;
    });
  }

  async #catchUp(peer: Pick<Peer, 'identity' | 'acceptedRevision'>): Promise<void> {
    const { clock, logger, tables, adoptFrom } = this.#options;
    await sleep(clock, CHANGE_PROPAGATION_GRACE_MS);
    if (!this.#isBehind(peer)) return;
    const { identity, acceptedRevision: version } = peer;
    const { connected } = tables;
    logger.info('tables-change-missed', { peer: identity.name, version, connected });
    if (connected) {
      tables.refresh();
      await sleep(clock, LIST_TIME_MS);
      if (!this.#isBehind(peer)) return;
    }
    try {
      const adopted = await adoptFrom(identity, version);
      logger.info('tables-asked-of-peer', { peer: identity.name, version, adopted });
    } catch (error) {
      logger.info('tables-peer-failed', { peer: identity.name, message: messageOf(error) });
    }
  }

  #isBehind({ acceptedRevision }: Pick<Peer, 'acceptedRevision'>): boolean {
    return acceptedRevision > this.#options.tables.handledVersion;
  }
}
