import type { Client } from '@connectrpc/connect';
import {
  type RelayedObject,
  type RelayService,
  RelayStatus,
} from '../../gen/hyssoppulley/v1/relay_pb.ts';
import { type Clock, Stopwatch } from '../../shared/clock.ts';
import { RelayFallback } from '../decisions/relayFallback.ts';
import { messageOf } from '../../shared/errors.ts';
import type { Logger } from '../observability/logger.ts';
import type { PeerAddress } from '../membership/peerClients.ts';
import {
  type ChangesOptions,
  type PlatformChanges,
  PlatformError,
  PlatformHistoryError,
  type PlatformObject,
  type PlatformObjects,
  type PlatformSnapshot,
  type SnapshotOptions,
} from './platformClient.ts';

/** Time for a relay's answer beyond the wait that it was asked for, in ms. */
const RELAY_MARGIN_MS = 400;

/** A relay that failed is not asked again for this long, in ms. */
const AVOID_MS = 3000;

/** A relay that the platform does not answer is not asked again for this long, in ms. */
const AVOID_LOST_MS = 500;

const LOST = 'it cannot answer for the platform';

/** A node that watches the platform for others. */
export interface RelayNode extends PeerAddress {
  readonly incarnation: string;
}

export interface RelayedObjectsOptions {
  readonly platform: Pick<PlatformObjects, 'snapshot' | 'changesSince'>;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Relays to ask, the preferred first; none when this node is a relay itself. */
  readonly relays: () => readonly RelayNode[];
  readonly client: (address: PeerAddress) => Client<typeof RelayService>;
}

const decodeObject = ({ key, version, operationId, value }: RelayedObject): PlatformObject => ({
  key,
  version: Number(version),
  operationId,
  value: JSON.parse(value),
});

/** Follows objects through a relay, and at the platform itself where there is none. */
export class RelayedObjects implements Pick<PlatformObjects, 'snapshot' | 'changesSince'> {
  readonly #options: RelayedObjectsOptions;

  /** Prefixes whose last answer came from the platform itself. */
  readonly #direct = new Set<string>();

  /** Relays that failed, by incarnation: since when and for how long they are not asked. */
  readonly #avoided = new Map<string, { readonly since: Stopwatch; readonly forMs: number }>();

  /** By prefix. */
  readonly #fallbacks = new Map<string, RelayFallback>();

  constructor(options: RelayedObjectsOptions) {
    this.#options = options;
  }

  /** Whether this node watches the platform itself. */
  get isRelay(): boolean {
    return this.#options.relays().length === 0;
  }

  /** Whether the last answer for a prefix came from the platform itself, so that this node may answer others. */
  wasDirect(prefix: string): boolean {
    return this.#direct.has(prefix);
  }

  async snapshot(prefix: string, options: SnapshotOptions = {}): Promise<PlatformSnapshot> {
    const { client } = this.#options;
    const { minVersion = 0 } = options;
    for (;;) {
      const relay = this.#chooseSource(prefix);
      if (relay === undefined) return this.#snapshotDirect(prefix, options);
      try {
        const answer = await client(relay).snapshot({ prefix, minVersion: BigInt(minVersion) });
        if (answer.status === RelayStatus.OK) {
          this.#answered(prefix, 'relay');
          return { objects: answer.objects.map(decodeObject), version: Number(answer.version) };
        }
        this.#avoid(relay, LOST, AVOID_LOST_MS);
      } catch (error) {
        this.#avoid(relay, messageOf(error), AVOID_MS);
      }
    }
  }

  async changesSince(
    prefix: string,
    version: number,
    options: ChangesOptions,
  ): Promise<PlatformChanges> {
    const { platform, client } = this.#options;
    const relay = this.#chooseSource(prefix);
    if (relay === undefined) {
      const changes = await platform.changesSince(prefix, version, options);
      this.#answered(prefix, 'platform');
      return changes;
    }
    const { waitMs, signal } = options;
    const answer = await client(relay)
      .changes(
        { prefix, sinceVersion: BigInt(version), waitMs },
        { signal, timeoutMs: waitMs + RELAY_MARGIN_MS },
      )
      .catch((error: unknown) => {
        if (!signal.aborted) this.#avoid(relay, messageOf(error), AVOID_MS);
        throw new PlatformError(`relay ${relay.host} failed: ${messageOf(error)}`);
      });
    if (answer.status === RelayStatus.HISTORY_GONE) {
      throw new PlatformHistoryError('the relay no longer has the changes');
    }
    if (answer.status !== RelayStatus.OK) {
      this.#avoid(relay, LOST, AVOID_LOST_MS);
      throw new PlatformError(`relay ${relay.host}: ${LOST}`);
    }
    this.#answered(prefix, 'relay');
    return {
      events: answer.events.flatMap(({ removed, object }) =>
        object === undefined
          ? []
          : [{ type: removed ? 'removed' : 'written', object: decodeObject(object) } as const],
      ),
      version: Number(answer.version),
    };
  }

  async #snapshotDirect(prefix: string, options: SnapshotOptions): Promise<PlatformSnapshot> {
    const snapshot = await this.#options.platform.snapshot(prefix, options);
    this.#answered(prefix, 'platform');
    return snapshot;
  }

  #answered(prefix: string, by: 'relay' | 'platform'): void {
    if (by === 'platform') this.#direct.add(prefix);
    else this.#direct.delete(prefix);
    this.#fallbackOf(prefix).recordResponse();
  }

  /**
   * The relay to ask; undefined: the platform itself is asked.
   *
   * @throws PlatformError when no relay can answer and this node does not ask the platform yet
   */
  #chooseSource(prefix: string): RelayNode | undefined {
    const relays = this.#options.relays();
    if (relays.length === 0) return undefined;
    for (const [incarnation, { since, forMs }] of this.#avoided) {
      if (since.elapsedMs() > forMs) this.#avoided.delete(incarnation);
    }
    const relay = relays.find(({ incarnation }) => !this.#avoided.has(incarnation));
    if (relay !== undefined) return relay;
    if (this.#fallbackOf(prefix).tryStartPlatformCall()) return undefined;
    throw new PlatformError('no relay answers for the platform');
  }

  #fallbackOf(prefix: string): RelayFallback {
    const known = this.#fallbacks.get(prefix) ?? new RelayFallback(this.#options.clock);
    this.#fallbacks.set(prefix, known);
    return known;
  }

  #avoid({ incarnation, host }: RelayNode, reason: string, forMs: number): void {
    const { logger, clock } = this.#options;
    logger.info('relay-passed-over', { relay: host, reason });
    this.#avoided.set(incarnation, { since: new Stopwatch(clock), forMs });
  }
}
