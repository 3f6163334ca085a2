import { create } from '@bufbuild/protobuf';
import type { ServiceImpl } from '@connectrpc/connect';
import {
  RelayChangesResponseSchema,
  type RelayedObject,
  RelayedObjectSchema,
  type RelayService,
  RelaySnapshotResponseSchema,
  RelayStatus,
} from '../../gen/hyssoppulley/v1/relay_pb.ts';
import type { Clock } from '../../shared/clock.ts';
import { WakeUp } from '../training/wakeUp.ts';
import type { ObjectFollower } from './objectFollower.ts';
import type { PlatformEvent, PlatformObject } from './platformClient.ts';

/** Changes of a kind that a relay remembers. A node that is further behind lists the objects again. */
const MAX_REMEMBERED = 2048;

/** A relay whose last answered call is older does not answer for the platform, in ms. */
export const MAX_RELAY_AGE_MS = 2500;

interface Remembered {
  /** Version of the platform at which this node learned of the change. */
  readonly version: number;
  readonly event: PlatformEvent;
}

/** What a follower tells its relay. */
export interface FollowedObjects {
  readonly follower: ObjectFollower;
  /** Whether this node follows the platform itself and not another relay. */
  readonly isDirect: () => boolean;
}

/** Changes of one kind for other nodes. */
export class ObjectRelay {
  readonly #changes: WakeUp;

  #pending: PlatformEvent[] = [];

  #remembered: Remembered[] = [];

  /** Changes up to this version are no longer remembered. */
  #forgottenVersion: number | undefined;

  constructor(clock: Clock) {
    this.#changes = new WakeUp(clock);
  }

  /** Takes in a change; it is passed on with the next `advanced`. */
  take(event: PlatformEvent): void {
    this.#pending.push(event);
  }

  /** The follower has taken in everything up to a version. */
  advanced(version: number): void {
    this.#forgottenVersion ??= version;
    for (const event of this.#pending) this.#remembered.push({ version, event });
    const hasNews = this.#pending.length > 0;
    this.#pending = [];
    const excess = this.#remembered.length - MAX_REMEMBERED;
    if (excess > 0) {
      const forgotten = this.#remembered.splice(0, excess).at(-1);
      this.#forgottenVersion = forgotten?.version ?? this.#forgottenVersion;
    }
    if (hasNews) this.#changes.notify();
  }

  /** Changes after a version; undefined: they are no longer known. */
  since(version: number): readonly PlatformEvent[] | undefined {
    if (this.#forgottenVersion === undefined || version < this.#forgottenVersion) return undefined;
    return this.#remembered.filter((change) => change.version > version).map(({ event }) => event);
  }

  /** Waits for a change, at most `waitMs`. */
  wait(waitMs: number): Promise<void> {
    return this.#changes.wait(waitMs);
  }
}

const encodeObject = ({ key, version, operationId, value }: PlatformObject): RelayedObject =>
  create(RelayedObjectSchema, {
    key,
    version: BigInt(version),
    operationId,
    value: JSON.stringify(value ?? null),
  });

/** Answers other nodes for the kinds that this node follows. */
export const createRelayHandlers = (
  find: (prefix: string) => (FollowedObjects & { readonly relay: ObjectRelay }) | undefined,
): ServiceImpl<typeof RelayService> => {
  const findCurrent = (prefix: string) => {
    const found = find(prefix);
    const isCurrent =
      found?.isDirect() && found.follower.connected && found.follower.ageMs < MAX_RELAY_AGE_MS;
    return isCurrent ? found : undefined;
  };
  return {
    snapshot({ prefix, minVersion }) {
      const found = findCurrent(prefix);
      if (found === undefined || BigInt(found.follower.version) < minVersion) {
        return create(RelaySnapshotResponseSchema, { status: RelayStatus.UNAVAILABLE });
      }
      const { follower } = found;
      return create(RelaySnapshotResponseSchema, {
        status: RelayStatus.OK,
        objects: [...follower.objects.values()].map(encodeObject),
        version: BigInt(follower.version),
      });
    },
    async changes({ prefix, sinceVersion, waitMs }) {
      const since = Number(sinceVersion);
      const before = findCurrent(prefix);
      if (before?.relay.since(since)?.length === 0) await before.relay.wait(waitMs);
      const found = findCurrent(prefix);
      if (found === undefined) {
        return create(RelayChangesResponseSchema, { status: RelayStatus.UNAVAILABLE });
      }
      const events = found.relay.since(since);
      if (events === undefined) {
        return create(RelayChangesResponseSchema, { status: RelayStatus.HISTORY_GONE });
      }
      return create(RelayChangesResponseSchema, {
        status: RelayStatus.OK,
        events: events.map(({ type, object }) => ({
          removed: type === 'removed',
          object: encodeObject(object),
        })),
        version: BigInt(found.follower.version),
      });
    },
  };
};
