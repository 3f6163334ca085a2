import type { Client } from '@connectrpc/connect';
import {
  type RelayedObject,
  type RelayService,
  RelayStatus,
} from '../../gen/hyssoppulley/v1/relay_pb.ts';
import { type Clock, Stopwatch } from '../../shared/clock.ts';
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

/** A node that watches the platform for others. */
export interface RelayNode extends PeerAddress {
  readonly incarnation: string;
}

export interface RelayedObjectsOptions {
  readonly platform: Pick<PlatformObjects, 'snapshot' | 'changesSince'>;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Relays to ask, the preferred first; none when this node watches itself. */
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

  /** Relays that failed, by incarnation, since when. */
  readonly #avoided = new Map<string, Stopwatch>();

  constructor(options: RelayedObjectsOptions) {
    this.#options = options;
  }

  /** Whether the next call goes to the platform itself. */
  get isDirect(): boolean {
    return this.#relay() === undefined;
  }

  /** Whether the last answer for a prefix came from the platform itself, so that this node may answer others. */
  wasDirect(prefix: string): boolean {
    return this.#direct.has(prefix);
  }

  async snapshot(prefix: string, options: SnapshotOptions = {}): Promise<PlatformSnapshot> {
    const { client } = this.#options;
    const relay = this.#relay();
    if (relay === undefined) return this.#snapshotDirect(prefix, options);
    const { minVersion = 0 } = options;
    try {
      const answer = await client(relay).snapshot({ prefix, minVersion: BigInt(minVersion) });
      if (answer.status === RelayStatus.OK) {
        this.#direct.delete(prefix);
        return { objects: answer.objects.map(decodeObject), version: Number(answer.version) };
      }
      this.#avoid(relay, 'it cannot answer for the platform');
    } catch (error) {
      this.#avoid(relay, messageOf(error));
    }
    return this.#snapshotDirect(prefix, options);
  }

  async changesSince(
    prefix: string,
    version: number,
    options: ChangesOptions,
  ): Promise<PlatformChanges> {
    const { platform, client } = this.#options;
    const relay = this.#relay();
    if (relay === undefined) {
      const changes = await platform.changesSince(prefix, version, options);
      this.#direct.add(prefix);
      return changes;
    }
    const { waitMs, signal } = options;
    const answer = await client(relay)
      .changes(
        { prefix, sinceVersion: BigInt(version), waitMs },
        { signal, timeoutMs: waitMs + RELAY_MARGIN_MS },
      )
      .catch((error: unknown) => {
        if (!signal.aborted) this.#avoid(relay, messageOf(error));
        throw new PlatformError(`relay ${relay.host} failed: ${messageOf(error)}`);
      });
    if (answer.status === RelayStatus.HISTORY_GONE) {
      throw new PlatformHistoryError('the relay no longer has the changes');
    }
    if (answer.status !== RelayStatus.OK) {
      this.#avoid(relay, 'it cannot answer for the platform');
      throw new PlatformError(`relay ${relay.host} cannot answer for the platform`);
    }
    this.#direct.delete(prefix);
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
    this.#direct.add(prefix);
    return snapshot;
  }

  #relay(): RelayNode | undefined {
    for (const [incarnation, since] of this.#avoided) {
      if (since.elapsedMs() > AVOID_MS) this.#avoided.delete(incarnation);
    }
    return this.#options.relays().find(({ incarnation }) => !this.#avoided.has(incarnation));
  }

  #avoid({ incarnation, host }: RelayNode, reason: string): void {
    this.#options.logger.info('relay-passed-over', { relay: host, reason });
    this.#avoided.set(incarnation, new Stopwatch(this.#options.clock));
  }
}
