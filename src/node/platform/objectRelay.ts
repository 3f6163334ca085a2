import { create } from '@bufbuild/protobuf';
import type { ServiceImpl } from '@connectrpc/connect';
import {
  RelayAdvancedResponseSchema,
  RelayChangesResponseSchema,
  type RelayedObject,
  RelayedObjectSchema,
  type RelayService,
  RelaySnapshotResponseSchema,
  RelayStatus,
} from '../../gen/hyssoppulley/v1/relay_pb.ts';
import type { Clock } from '../../shared/clock.ts';
import type { Logger } from '../observability/logger.ts';
import { WakeUp } from '../../shared/wakeUp.ts';
import type { ObjectFollower } from './objectFollower.ts';
import type { PlatformEvent, PlatformObject } from './platformClient.ts';

/** Changes of a kind that a relay remembers. A node that is further behind lists the objects again. */
const MAX_REMEMBERED = 2048;

/** Time that a change which another relay has may take to arrive here, in ms, before this relay checks its own watch. */
export const RELAY_LAG_MS = 100;

interface Remembered {
  /** Version of the platform at which this node learned of the change. */
  readonly version: number;
  readonly event: PlatformEvent;
}

export interface ObjectRelayOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly prefix: string;
  /** Tells the other relays of a change. */
  readonly announce: (prefix: string, version: number) => void;
  /** Reads again, because this node's watch may have gone silent. */
  readonly refresh: () => void;
  /** Version of the platform that this node's view has reached. */
  readonly reachedVersion: () => number;
  /** Whether this node's view comes from the platform itself, and the platform answers. */
  readonly isCurrent: () => boolean;
}

/** Changes of one kind for other nodes. */
export class ObjectRelay {
  readonly #options: ObjectRelayOptions;

  readonly #changes: WakeUp;

  #pending: PlatformEvent[] = [];

  #remembered: Remembered[] = [];

  /** Changes up to this version are no longer remembered. */
  #forgottenVersion: number | undefined;

  /** Largest version of a changed object that this node has. */
  #seenVersion = 0;

  /** Largest version of a change that another relay has told of and that was not here in time. */
  #announcedVersion = 0;

  constructor(options: ObjectRelayOptions) {
    this.#options = options;
    this.#changes = new WakeUp(options.clock);
  }

  /** Whether this node may answer others: its view is its own, and no other relay is ahead of it. */
  get isCurrent(): boolean {
    const { reachedVersion, isCurrent } = this.#options;
    return reachedVersion() >= this.#announcedVersion && isCurrent();
  }

  /** Another relay has a change of this version. */
  announced(version: number): void {
    const { clock, logger, prefix, refresh, reachedVersion } = this.#options;
    clock.schedule(RELAY_LAG_MS, () => {
      if (reachedVersion() >= version) return;
      this.#announcedVersion = Math.max(this.#announcedVersion, version);
      logger.info('relay-behind', { prefix, version, reached: reachedVersion() });
      refresh();
      this.#changes.notify();
    });
  }

  /** Takes in a change; it is passed on with the next `advanced`. */
  take(event: PlatformEvent): void {
    this.#pending.push(event);
    this.#seenVersion = Math.max(this.#seenVersion, event.object.version);
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
    if (!hasNews) return;
    this.#changes.notify();
    const { announce, prefix } = this.#options;
    if (this.isCurrent) announce(prefix, this.#seenVersion);
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

/** What a node can tell others of a kind that it follows. */
export interface RelayedKind {
  readonly relay: ObjectRelay;
  readonly follower: Pick<ObjectFollower, 'objects' | 'version'>;
}

/** Answers other nodes for the kinds that this node follows. */
export const createRelayHandlers = (
  find: (prefix: string) => RelayedKind | undefined,
): ServiceImpl<typeof RelayService> => {
  const findCurrent = (prefix: string) => {
    const found = find(prefix);
    return found?.relay.isCurrent ? found : undefined;
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
    advanced({ prefix, version }) {
      find(prefix)?.relay.announced(Number(version));
      return create(RelayAdvancedResponseSchema);
    },
  };
};
