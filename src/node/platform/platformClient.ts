import { BaseError } from '../../shared/errors.ts';

/** A call to the platform that gave no usable answer. Reads only; writes report it as a result. */
export const PlatformError = BaseError.subclass('PlatformError');

/** One object of the platform. */
export interface PlatformObject {
  readonly key: string;
  /** Grows with every write of the object; used in conditional updates. */
  readonly version: number;
  /** Identifies the write that made this version, so that a lost answer can be resolved by reading back. */
  readonly operationId: string;
  readonly value: unknown;
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

/** Client of the platform's object API. Each call is counted against the node's call budget. */
export interface PlatformClient {
  /** @throws PlatformError when no answer arrived in time */
  read(key: string): Promise<PlatformObject | undefined>;
  /** @throws PlatformError when no answer arrived in time */
  list(prefix: string): Promise<readonly PlatformObject[]>;
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
