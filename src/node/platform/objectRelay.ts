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
import { messageOf } from '../../shared/errors.ts';
import { type Clock, Stopwatch } from '../../shared/clock.ts';
import type { Logger } from '../observability/logger.ts';
import { Notifier } from '../../shared/notifier.ts';
import type { ObjectFollower } from './objectFollower.ts';
import type { PlatformEvent, PlatformObject } from './platformClient.ts';

/** Maximum number of changes of a kind that a relay keeps. A node that is further behind lists the objects again. */
const MAX_HISTORY_LENGTH = 2048;

/**
 * Time within which a change that another relay announced must arrive here, in ms. After it this relay lists the
 * objects again.
 */
export const MAX_RELAY_LAG_MS = 100;

interface HistoricChange {
  /** Platform version at which this node received the change. */
  readonly version: number;
  readonly event: PlatformEvent;
}

export interface ObjectRelayOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly prefix: string;
  /**
   * Whether only the latest change of each object is kept, for objects of which each version is large and replaces the
   * one before it.
   *
   * @default false
   */
  readonly latestOnly?: boolean;
  /** Announces a change to the other relays. */
  readonly announce: (prefix: string, version: number) => void;
  /** Lists the objects again, because this node's connection to the platform may be dead. */
  readonly refresh: () => void;
  /** Platform version that this node's copy has reached. */
  readonly reachedVersion: () => number;
  /** Whether this node's copy comes directly from the platform and the platform responds. */
  readonly isCurrent: () => boolean;
}

/** Keeps the recent changes of one kind of objects for other nodes. */
export class ObjectRelay {
  readonly #options: ObjectRelayOptions;

  readonly #changeSignal: Notifier;

  /** Changes that wait for the next `publishChanges`. */
  #pending: PlatformEvent[] = [];

  #history: HistoricChange[] = [];

  /** Changes up to this version are not in the history; undefined before the first `publishChanges`. */
  #discardedVersion: number | undefined;

  /** Highest version of a changed object that this node has received. */
  #highestVersion = 0;

  /** Highest version that another relay announced and that did not arrive here in time. */
  #announcedVersion = 0;

  constructor(options: ObjectRelayOptions) {
    this.#options = options;
    this.#changeSignal = new Notifier(options.clock);
  }

  /** Whether this node may serve others: its copy comes directly from the platform, and no other relay is ahead. */
  get isCurrent(): boolean {
    const { reachedVersion, isCurrent } = this.#options;
    return reachedVersion() >= this.#announcedVersion && isCurrent();
  }

  /** Another relay announced a change. Lists the objects again when it does not arrive here within `MAX_RELAY_LAG_MS`. */
  handleAnnouncement(version: number): void {
    const { clock, logger, prefix, refresh, reachedVersion } = this.#options;
    clock.schedule(MAX_RELAY_LAG_MS, () => {
      if (reachedVersion() >= version) return;
      this.#announcedVersion = Math.max(this.#announcedVersion, version);
      logger.info('relay-behind', { prefix, version, reached: reachedVersion() });
      refresh();
      this.#changeSignal.notify();
    });
  }

  /** Adds a change; other nodes receive it after the next `publishChanges`. */
  addChange(event: PlatformEvent): void {
    this.#pending.push(event);
    this.#highestVersion = Math.max(this.#highestVersion, event.object.version);
  }

  /** The follower has applied all changes up to a version. Makes the added changes available to other nodes. */
  publishChanges(version: number): void {
    this.#discardedVersion ??= version;
    if (this.#options.latestOnly) this.#dropReplaced();
    for (const event of this.#pending) this.#history.push({ version, event });
    const hasChanges = this.#pending.length > 0;
    this.#pending = [];
    const excess = this.#history.length - MAX_HISTORY_LENGTH;
    if (excess > 0) {
      const lastDiscarded = this.#history.splice(0, excess).at(-1);
      this.#discardedVersion = lastDiscarded?.version ?? this.#discardedVersion;
    }
    if (!hasChanges) return;
    this.#changeSignal.notify();
    const { announce, prefix } = this.#options;
    if (this.isCurrent) announce(prefix, this.#highestVersion);
  }

  #dropReplaced(): void {
    if (this.#pending.length === 0) return;
    const latest = new Map(this.#pending.map((event) => [event.object.key, event]));
    this.#pending = [...latest.values()];
    this.#history = this.#history.filter(({ event }) => !latest.has(event.object.key));
  }

  /** Changes after a version; undefined when the history no longer contains all of them. */
  changesSince(version: number): readonly PlatformEvent[] | undefined {
    if (this.#discardedVersion === undefined || version < this.#discardedVersion) return undefined;
    return this.#history.filter((change) => change.version > version).map(({ event }) => event);
  }

  /** Waits for a change, at most `waitMs`. */
  waitForChange(waitMs: number): Promise<void> {
    return this.#changeSignal.wait(waitMs);
  }
}

/** Length from which the encoding of a value is kept, because a relay sends it to every other node. */
const MIN_KEPT_CHARS = 65_536;

/** Encodings of large values, for as long as the objects are kept. */
const encodings = new WeakMap<PlatformObject, string>();

/** Encodes a value; one that is nested too deeply for it, written by another program, becomes null. */
const encodeValue = (object: PlatformObject, logger: Logger): string => {
  const { key, value } = object;
  const kept = encodings.get(object);
  if (kept !== undefined) return kept;
  try {
    const encoded = JSON.stringify(value ?? null);
    if (encoded.length >= MIN_KEPT_CHARS) encodings.set(object, encoded);
    return encoded;
  } catch (error) {
    logger.warn('relayed-object-unreadable', { key, message: messageOf(error) });
    return 'null';
  }
};

const encodeObject = (object: PlatformObject, logger: Logger): RelayedObject =>
  create(RelayedObjectSchema, {
    key: object.key,
    version: BigInt(object.version),
    operationId: object.operationId,
    value: encodeValue(object, logger),
  });

/** A kind of objects that this node follows and relays to others. */
export interface RelayedKind {
  readonly relay: ObjectRelay;
  readonly follower: Pick<ObjectFollower, 'objects' | 'version' | 'highestVersion' | 'ageMs'>;
}

/** Largest age that a message can hold, in ms. */
const MAX_AGE_MS = 0xffffffff;

const toAgeMs = ({ ageMs }: Pick<ObjectFollower, 'ageMs'>): number =>
  Math.min(MAX_AGE_MS, Math.ceil(ageMs));

/** Creates the RPC handlers that serve other nodes with the kinds that this node follows. */
export const createRelayHandlers = (
  find: (prefix: string) => RelayedKind | undefined,
  logger: Logger,
  clock: Clock,
): ServiceImpl<typeof RelayService> => {
  const findCurrent = (prefix: string) => {
    const found = find(prefix);
    return found?.relay.isCurrent ? found : undefined;
  };
  return {
    snapshot({ prefix, minVersion, anyCopy }) {
      const found = anyCopy ? find(prefix) : findCurrent(prefix);
      const version = (anyCopy ? found?.follower.highestVersion : found?.follower.version) ?? 0;
      if (found === undefined || version === 0 || BigInt(version) < minVersion) {
        return create(RelaySnapshotResponseSchema, { status: RelayStatus.UNAVAILABLE });
      }
      const { follower } = found;
      return create(RelaySnapshotResponseSchema, {
        status: RelayStatus.OK,
        objects: [...follower.objects.values()].map((object) => encodeObject(object, logger)),
        version: BigInt(version),
        ageMs: toAgeMs(follower),
      });
    },
    async changes({ prefix, sinceVersion, waitMs }) {
      const since = Number(sinceVersion);
      const sinceReceived = new Stopwatch(clock);
      const before = findCurrent(prefix);
      if (before?.relay.changesSince(since)?.length === 0) await before.relay.waitForChange(waitMs);
      const found = findCurrent(prefix);
      if (found === undefined) {
        return create(RelayChangesResponseSchema, { status: RelayStatus.UNAVAILABLE });
      }
      const events = found.relay.changesSince(since);
      if (events === undefined) {
        return create(RelayChangesResponseSchema, { status: RelayStatus.HISTORY_GONE });
      }
      return create(RelayChangesResponseSchema, {
        status: RelayStatus.OK,
        events: events.map(({ type, object }) => ({
          removed: type === 'removed',
          object: encodeObject(object, logger),
        })),
        version: BigInt(found.follower.version),
        ageMs: toAgeMs(found.follower),
        heldMs: Math.floor(sinceReceived.minElapsedMs()),
      });
    },
    advanced({ prefix, version }) {
      find(prefix)?.relay.handleAnnouncement(Number(version));
      return create(RelayAdvancedResponseSchema);
    },
  };
};
