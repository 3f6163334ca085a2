import type { Client } from '@connectrpc/connect';
import {
  type RelayedObject,
  type RelaySnapshotResponse,
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
  type Confirmation,
  type PlatformChanges,
  PlatformError,
  PlatformHistoryError,
  type PlatformObject,
  type PlatformObjects,
  type PlatformSnapshot,
  type SnapshotOptions,
} from './platformClient.ts';

/** Time allowed for a relay's response beyond the requested wait, in ms. */
const RELAY_RESPONSE_MARGIN_MS = 400;

/** Time for which a relay whose call failed is not called again, in ms. */
const FAILED_RELAY_AVOIDANCE_MS = 3000;

/** Time for which a relay without a current copy is not called again, in ms, such as one that lost the platform. */
const UNAVAILABLE_RELAY_AVOIDANCE_MS = 500;

const RELAY_UNAVAILABLE = 'no current copy of the objects';

/** A node that follows the platform on behalf of others. */
export interface RelayNode extends PeerAddress {
  readonly incarnation: string;
}

export interface RelayedObjectsOptions {
  readonly platform: Pick<PlatformObjects, 'snapshot' | 'changesSince'>;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Relays in order of preference; empty when this node is a relay itself. */
  readonly relays: () => readonly RelayNode[];
  readonly client: (address: PeerAddress) => Client<typeof RelayService>;
}

const decodeObject = ({ key, version, operationId, value }: RelayedObject): PlatformObject => ({
  key,
  version: Number(version),
  operationId,
  value: JSON.parse(value),
});

/** Decodes another node's copy of the objects. */
export const decodeSnapshot = (response: RelaySnapshotResponse): PlatformSnapshot => ({
  objects: response.objects.map(decodeObject),
  version: Number(response.version),
  confirmation: { ageMs: response.ageMs, heldMs: 0 },
});

/** The platform responds without changes only after the requested wait, so it knew of none until then. */
const directConfirmation = (
  { events }: PlatformChanges,
  { waitMs }: ChangesOptions,
  sinceSent: Stopwatch,
): Confirmation => ({
  ageMs: 0,
  heldMs: events.length > 0 ? 0 : Math.min(waitMs, sinceSent.minElapsedMs()),
});

/** Follows objects through a relay, or directly at the platform when this node is a relay or no relay responds. */
export class RelayedObjects implements Pick<PlatformObjects, 'snapshot' | 'changesSince'> {
  readonly #options: RelayedObjectsOptions;

  /** Prefixes whose last response came directly from the platform. */
  readonly #direct = new Set<string>();

  /** Relays that are not called for a time, by incarnation. */
  readonly #avoided = new Map<string, { readonly since: Stopwatch; readonly forMs: number }>();

  /** Decides when to call the platform directly, by prefix. */
  readonly #fallbacks = new Map<string, RelayFallback>();

  constructor(options: RelayedObjectsOptions) {
    this.#options = options;
  }

  /** Whether this node is a relay, which follows the platform directly. */
  get isRelay(): boolean {
    return this.#options.relays().length === 0;
  }

  /** Whether the last response for a prefix came directly from the platform, so that this node may serve others. */
  lastResponseWasDirect(prefix: string): boolean {
    return this.#direct.has(prefix);
  }

  async snapshot(prefix: string, options: SnapshotOptions = {}): Promise<PlatformSnapshot> {
    const { client } = this.#options;
    const { minVersion = 0 } = options;
    for (;;) {
      const relay = this.#selectRelay(prefix);
      if (relay === undefined) return this.#snapshotDirect(prefix, options);
      try {
        const response = await client(relay).snapshot({ prefix, minVersion: BigInt(minVersion) });
        if (response.status === RelayStatus.OK) {
          this.#recordResponse(prefix, 'relay');
          return decodeSnapshot(response);
        }
        this.#avoid(relay, RELAY_UNAVAILABLE, UNAVAILABLE_RELAY_AVOIDANCE_MS);
      } catch (error) {
        this.#avoid(relay, messageOf(error), FAILED_RELAY_AVOIDANCE_MS);
      }
    }
  }

  async changesSince(
    prefix: string,
    version: number,
    options: ChangesOptions,
  ): Promise<PlatformChanges> {
    const { platform, client } = this.#options;
    const relay = this.#selectRelay(prefix);
    if (relay === undefined) {
      const sinceSent = new Stopwatch(this.#options.clock);
      const changes = await platform.changesSince(prefix, version, options);
      this.#recordResponse(prefix, 'platform');
      return { ...changes, confirmation: directConfirmation(changes, options, sinceSent) };
    }
    const { waitMs, signal } = options;
    const response = await client(relay)
      .changes(
        { prefix, sinceVersion: BigInt(version), waitMs },
        { signal, timeoutMs: waitMs + RELAY_RESPONSE_MARGIN_MS },
      )
      .catch((error: unknown) => {
        if (!signal.aborted) this.#avoid(relay, messageOf(error), FAILED_RELAY_AVOIDANCE_MS);
        throw new PlatformError(`relay ${relay.host} failed: ${messageOf(error)}`);
      });
    if (response.status === RelayStatus.HISTORY_GONE) {
      throw new PlatformHistoryError(
        'the relay no longer has the changes since the requested version',
      );
    }
    if (response.status !== RelayStatus.OK) {
      this.#avoid(relay, RELAY_UNAVAILABLE, UNAVAILABLE_RELAY_AVOIDANCE_MS);
      throw new PlatformError(`relay ${relay.host}: ${RELAY_UNAVAILABLE}`);
    }
    this.#recordResponse(prefix, 'relay');
    return {
      events: response.events.flatMap(({ removed, object }) =>
        object === undefined
          ? []
          : [{ type: removed ? 'removed' : 'written', object: decodeObject(object) } as const],
      ),
      version: Number(response.version),
      confirmation: response,
    };
  }

  async #snapshotDirect(prefix: string, options: SnapshotOptions): Promise<PlatformSnapshot> {
    const snapshot = await this.#options.platform.snapshot(prefix, options);
    this.#recordResponse(prefix, 'platform');
    return snapshot;
  }

  #recordResponse(prefix: string, source: 'relay' | 'platform'): void {
    if (source === 'platform') this.#direct.add(prefix);
    else this.#direct.delete(prefix);
    this.#fallbackOf(prefix).recordResponse();
  }

  /**
   * The relay to call; undefined when the platform is to be called directly.
   *
   * @throws PlatformError when no relay is available and the platform may not be called yet
   */
  #selectRelay(prefix: string): RelayNode | undefined {
    const relays = this.#options.relays();
    if (relays.length === 0) return undefined;
    for (const [incarnation, { since, forMs }] of this.#avoided) {
      if (since.elapsedMs() > forMs) this.#avoided.delete(incarnation);
    }
    const relay = relays.find(({ incarnation }) => !this.#avoided.has(incarnation));
    if (relay !== undefined) return relay;
    if (this.#fallbackOf(prefix).tryStartPlatformCall()) return undefined;
    throw new PlatformError(
      'no relay is available, and the platform may not be called directly yet',
    );
  }

  #fallbackOf(prefix: string): RelayFallback {
    const fallback = this.#fallbacks.get(prefix) ?? new RelayFallback(this.#options.clock);
    this.#fallbacks.set(prefix, fallback);
    return fallback;
  }

  #avoid({ incarnation, host }: RelayNode, reason: string, forMs: number): void {
    const { logger, clock } = this.#options;
    logger.info('relay-avoided', { relay: host, reason });
    this.#avoided.set(incarnation, { since: new Stopwatch(clock), forMs });
  }
}
