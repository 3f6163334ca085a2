import { BaseError } from '../../shared/errors.ts';
import type { LongStrings } from '../../shared/longStrings.ts';

/** A platform call without a usable response. Thrown by reads; writes report a failure in their result. */
export const PlatformError = BaseError.subclass('PlatformError');

/** The platform no longer has the changes since the requested version; the objects must be listed again. */
export const PlatformHistoryError = PlatformError.subclass('PlatformHistoryError');

/** An object stored on the platform. */
export interface PlatformObject {
  readonly key: string;
  /** Increases with every write of the object; used for conditional writes. */
  readonly version: number;
  /** Identifies the write that created this version, so that a lost response can be resolved by reading back. */
  readonly operationId: string;
  readonly value: unknown;
  /** What the consumer of the object reports to its writer, if the platform stores that separately from the value. */
  readonly status?: unknown;
  /** The strings that `longField` of the read left out of the value. @default the value is complete */
  readonly strings?: LongStrings;
}

/** Result of a write. Callers must handle all four cases. */
export type WriteResult =
  | { readonly status: 'written'; readonly version: number }
  /** The object had another version; nothing was written. `version` is 0 when it does not exist. */
  | { readonly status: 'conflict'; readonly version: number }
  /** No response arrived: the write may or may not have taken effect. */
  | { readonly status: 'unknown'; readonly operationId: string }
  /** The write definitely did not take effect. */
  | { readonly status: 'unavailable'; readonly reason: string };

/** How urgent a call is when the call budget of the node is short. */
export type CallPriority =
  /** Concerns a lease, which is lost if it comes late; has a part of the budget to itself. */
  | { readonly kind: 'lease' }
  /** Fails when it would have to wait for long. */
  | { readonly kind: 'normal' }
  /**
   * One of many that read or remove what is stored: leaves room for other calls, and waits as long as it takes or until `signal`
   * is aborted. Those of lower orders go first.
   */
  | { readonly kind: 'bulk'; readonly order: number; readonly signal?: AbortSignal };

export interface CallOptions {
  /** @default normal */
  readonly priority?: CallPriority;
}

export interface WriteOptions extends CallOptions {
  /** Version that the object must have, 0 when it must not exist; absent for an unconditional write. */
  readonly ifVersion?: number;
  /** Identifies the write. @default a new id */
  readonly operationId?: string;
}

/** A VM in the platform's VM list, which may be outdated. */
export interface VmEntry {
  readonly name: string;
  /** IP address. */
  readonly address: string;
  readonly label: string;
  readonly availabilityZone: string;
  readonly state: 'live' | 'leaving' | 'gone';
}

/** A change of an object. */
export interface PlatformEvent {
  readonly type: 'written' | 'removed';
  readonly object: PlatformObject;
}

/** How a list of several pages is read. */
export interface PageOptions {
  /** Called before each page after the first; the list fails if it throws. @default nothing */
  readonly beforePage?: () => Promise<void>;
}

export interface ReadOptions extends CallOptions, PageOptions {
  /** Whether the response may be seconds old, which is cheaper for the platform. @default false */
  readonly allowStale?: boolean;
  /** Field whose long strings may be left out of the value. @default none */
  readonly longField?: string;
}

/** Client of the platform's object API. Calls count against the call budget of the node. */
export interface PlatformClient {
  /** @throws PlatformError when no response arrived in time */
  read(key: string, options?: ReadOptions): Promise<PlatformObject | undefined>;
  /** @throws PlatformError when no response arrived in time */
  list(prefix: string, options?: ReadOptions): Promise<readonly PlatformObject[]>;
  /** @param value - a JSON value, or the `JsonText` of one */
  write(key: string, value: unknown, options?: WriteOptions): Promise<WriteResult>;
  remove(key: string, options?: WriteOptions): Promise<WriteResult>;
  /**
   * Reports changes of the objects with a key prefix until disposed. A watch may stop reporting without an error, so
   * its owner must compare with a cheap read at a bounded interval.
   */
  watch(prefix: string, onEvent: (event: PlatformEvent) => void): Disposable;
  /** @throws PlatformError when no response arrived in time */
  listVms(): Promise<readonly VmEntry[]>;
}

/**
 * When the responder knew that its copy is current: `ageMs` before it responded, which it did `heldMs` after it got the
 * call at the earliest. Both in ms.
 */
export interface Confirmation {
  readonly ageMs: number;
  readonly heldMs: number;
}

/** All objects with a key prefix, and the platform version from which to follow changes. */
export interface PlatformSnapshot {
  readonly objects: readonly PlatformObject[];
  readonly version: number;
  /** @default the copy was current when the call was sent */
  readonly confirmation?: Confirmation;
}

/** Changes after a version, and the version from which to continue. */
export interface PlatformChanges {
  readonly events: readonly PlatformEvent[];
  readonly version: number;
  /** @default the copy was current when the call was sent */
  readonly confirmation?: Confirmation;
}

export interface ChangesOptions {
  /** Maximum time that the platform waits for a change before it responds without one, in ms. */
  readonly waitMs: number;
  readonly signal: AbortSignal;
}

export interface SnapshotOptions extends PageOptions {
  /** Minimum version of the response; relevant only when a relay responds instead of the platform. */
  readonly minVersion?: number;
}

/** Adds the calls for following objects without gaps, and for writing the status of objects that others own. */
export interface PlatformObjects extends PlatformClient {
  /** @throws PlatformError when no response arrived in time */
  snapshot(prefix: string, options?: SnapshotOptions): Promise<PlatformSnapshot>;
  /**
   * @throws PlatformHistoryError when the changes since `version` are gone
   * @throws PlatformError when no response arrived in time
   */
  changesSince(prefix: string, version: number, options: ChangesOptions): Promise<PlatformChanges>;
  /** Replaces the status of an object; its value does not change. */
  writeStatus(key: string, status: unknown, options?: WriteOptions): Promise<WriteResult>;
}
