import { BaseError } from '../../shared/errors.ts';

/** A call to the platform that gave no usable answer. Reads only; writes report it as a result. */
export const PlatformError = BaseError.subclass('PlatformError');

/** The platform no longer has the changes since the version that was asked for; the objects must be listed again. */
export const PlatformHistoryError = PlatformError.subclass('PlatformHistoryError');

/** One object of the platform. */
export interface PlatformObject {
  readonly key: string;
  /** Grows with every write of the object; used in conditional updates. */
  readonly version: number;
  /** Identifies the write that made this version, so that a lost answer can be resolved by reading back. */
  readonly operationId: string;
  readonly value: unknown;
  /** What the object's user reports back to its writer, where the platform keeps that apart. */
  readonly status?: unknown;
}

/** Result of a write. Every caller handles all four. */
export type WriteResult =
  | { readonly status: 'written'; readonly version: number }
  /** The object had another version; nothing was written. `version` 0: it does not exist. */
  | { readonly status: 'conflict'; readonly version: number }
  /** No answer arrived: the write may or may not have taken effect. */
  | { readonly status: 'unknown'; readonly operationId: string }
  /** The write certainly did not take effect. */
  | { readonly status: 'unavailable'; readonly reason: string };

export interface WriteOptions {
  /** Version that the object must have; 0: it must not exist. Absent: unconditional. */
  readonly ifVersion?: number;
  /** Identifies the write. @default a new id */
  readonly operationId?: string;
}

/** A VM as the platform's lagging list shows it. */
export interface VmEntry {
  readonly name: string;
  /** IP number. */
  readonly address: string;
  readonly label: string;
  readonly availabilityZone: string;
  readonly state: 'live' | 'leaving' | 'gone';
}

/** A change that a watch reports. */
export interface PlatformEvent {
  readonly type: 'written' | 'removed';
  readonly object: PlatformObject;
}

export interface ReadOptions {
  /** Whether the answer may be seconds old, which costs the platform less. @default false */
  readonly mayBeStale?: boolean;
}

/** Client of the platform's object API. Each call is counted against the node's call budget. */
export interface PlatformClient {
  /** @throws PlatformError when no answer arrived in time */
  read(key: string, options?: ReadOptions): Promise<PlatformObject | undefined>;
  /** @throws PlatformError when no answer arrived in time */
  list(prefix: string, options?: ReadOptions): Promise<readonly PlatformObject[]>;
  write(key: string, value: unknown, options?: WriteOptions): Promise<WriteResult>;
  remove(key: string, options?: WriteOptions): Promise<WriteResult>;
  /**
   * Reports changes of objects below a prefix until disposed. May go silent without an error: the owner compares with
   * a cheap read at a bounded interval.
   */
  watch(prefix: string, onEvent: (event: PlatformEvent) => void): Disposable;
  /** @throws PlatformError when no answer arrived in time */
  listVms(): Promise<readonly VmEntry[]>;
}

/** All objects below a prefix, and the version of the platform from which changes are to be followed. */
export interface PlatformSnapshot {
  readonly objects: readonly PlatformObject[];
  readonly version: number;
}

/** Changes after a version, and the version to continue from. */
export interface PlatformChanges {
  readonly events: readonly PlatformEvent[];
  readonly version: number;
}

export interface ChangesOptions {
  /** How long the platform may wait for a change before it answers with none, in ms. */
  readonly waitMs: number;
  readonly signal: AbortSignal;
}

export interface SnapshotOptions {
  /** Version that the answer must have reached; matters only where another node answers for the platform. */
  readonly minVersion?: number;
}

/** The calls by which objects are followed without a gap, and status is written to objects of others. */
export interface PlatformObjects extends PlatformClient {
  /** @throws PlatformError when no answer arrived in time */
  snapshot(prefix: string, options?: SnapshotOptions): Promise<PlatformSnapshot>;
  /**
   * @throws PlatformHistoryError when the changes since `version` are gone
   * @throws PlatformError when no answer arrived in time
   */
  changesSince(prefix: string, version: number, options: ChangesOptions): Promise<PlatformChanges>;
  /** Replaces the status of an object; the value stays as it is. */
  writeStatus(key: string, status: unknown, options?: WriteOptions): Promise<WriteResult>;
}
