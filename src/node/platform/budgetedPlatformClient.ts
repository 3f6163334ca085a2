import { type Clock, sleep } from '../../shared/clock.ts';
import type { Random } from '../../shared/random.ts';
import { backoffMs } from './backoff.ts';
import { BulkCalls } from './bulkCalls.ts';
import { CallBudget } from './callBudget.ts';
import type { PlatformHealth } from './platformHealth.ts';
import {
  type CallPriority,
  type ChangesOptions,
  type PlatformChanges,
  PlatformError,
  type PlatformEvent,
  PlatformHistoryError,
  type PlatformObject,
  type PlatformObjects,
  type PlatformSnapshot,
  type ReadOptions,
  type VmEntry,
  type WriteOptions,
  type WriteResult,
} from './platformClient.ts';

/** Platform operations, as values of the metric label `operation`. */
export type PlatformOperation =
  'read' | 'list' | 'write' | 'status' | 'remove' | 'watch' | 'changes' | 'vms';

export interface BudgetedPlatformClientOptions {
  readonly platform: PlatformObjects;
  readonly clock: Clock;
  readonly random: Random;
  /** Maximum number of platform calls of this node per second. */
  readonly callsPerSecond: number;
  /** Maximum number of attempts of a read, list or VM list call. @default 2 */
  readonly readAttempts?: number;
  /** Called for each call that is sent. */
  readonly onCall?: (operation: PlatformOperation) => void;
  /** Called for each call that the budget refuses. */
  readonly onRefused?: (operation: PlatformOperation) => void;
  /** Records the start, the end and the outcome of calls. */
  readonly health?: Pick<PlatformHealth, 'begin' | 'end' | 'record'>;
}

/** Part of the budget that is kept for calls for leases, and part of it that bulk calls leave to all others. */
const LEASE_SHARE = 0.15;
const BULK_SHARE = 0.25;

/** A call that may start and that no other call waits for. */
const UNQUEUED: Disposable = { [Symbol.dispose]() {} };

/** Why a call was not sent. */
const notSentReason = (priority: CallPriority | undefined): string =>
  priority?.kind === 'bulk'
    ? 'the call was cancelled'
    : 'the call budget of this node is exhausted (platform.callsPerSecond)';

/** Keeps the calls of a node within its call budget and retries failed reads. Writes are never retried here. */
export class BudgetedPlatformClient implements PlatformObjects {
  readonly #options: BudgetedPlatformClientOptions;

  readonly #budget: CallBudget;

  readonly #bulkCalls: BulkCalls;

  constructor(options: BudgetedPlatformClientOptions) {
    this.#options = options;
    const { clock, callsPerSecond } = options;
    this.#budget = new CallBudget(clock, {
      callsPerSecond,
      leaseReserve: Math.floor(callsPerSecond * LEASE_SHARE),
      bulkReserve: Math.floor(callsPerSecond * BULK_SHARE),
    });
    this.#bulkCalls = new BulkCalls(clock, this.#budget);
  }

  /** Calls that may start now without waiting. */
  get availableCalls(): number {
    return this.#budget.available;
  }

  read(key: string, options?: ReadOptions): Promise<PlatformObject | undefined> {
    return this.#readWithRetry(
      'read',
      () => this.#options.platform.read(key, options),
      options?.priority,
    );
  }

  list(prefix: string, options?: ReadOptions): Promise<readonly PlatformObject[]> {
    const beforePage = () => this.#acquirePage(options?.priority);
    return this.#readWithRetry(
      'list',
      () => this.#options.platform.list(prefix, { ...options, beforePage }),
      options?.priority,
    );
  }

  listVms(): Promise<readonly VmEntry[]> {
    return this.#readWithRetry('vms', () => this.#options.platform.listVms());
  }

  snapshot(prefix: string): Promise<PlatformSnapshot> {
    const beforePage = () => this.#acquirePage(undefined);
    return this.#readWithRetry('list', () =>
      this.#options.platform.snapshot(prefix, { beforePage }),
    );
  }

  async changesSince(
    prefix: string,
    version: number,
    options: ChangesOptions,
  ): Promise<PlatformChanges> {
    if ((await this.#acquire('changes')) === undefined) {
      throw new PlatformError(notSentReason(undefined));
    }
    return this.#recordOutcome(() => this.#options.platform.changesSince(prefix, version, options));
  }

  write(key: string, value: unknown, options?: WriteOptions): Promise<WriteResult> {
    return this.#sendWrite(
      'write',
      () => this.#options.platform.write(key, value, options),
      options?.priority,
    );
  }

  writeStatus(key: string, status: unknown, options?: WriteOptions): Promise<WriteResult> {
    return this.#sendWrite(
      'status',
      () => this.#options.platform.writeStatus(key, status, options),
      options?.priority,
    );
  }

  remove(key: string, options?: WriteOptions): Promise<WriteResult> {
    return this.#sendWrite(
      'remove',
      () => this.#options.platform.remove(key, options),
      options?.priority,
    );
  }

  watch(prefix: string, onEvent: (event: PlatformEvent) => void): Disposable {
    // Opening a watch is counted as a call but takes nothing from the budget.
    this.#options.onCall?.('watch');
    return this.#options.platform.watch(prefix, onEvent);
  }

  async #readWithRetry<T>(
    operation: PlatformOperation,
    call: () => Promise<T>,
    priority?: CallPriority,
  ): Promise<T> {
    const { clock, random, readAttempts = 2 } = this.#options;
    for (let attempt = 1; ; attempt += 1) {
      const acquired = await this.#acquire(operation, priority);
      if (acquired === undefined) throw new PlatformError(notSentReason(priority));
      try {
        return await this.#countPending(() => this.#recordOutcome(call));
      } catch (error) {
        if (attempt >= readAttempts) throw error;
      } finally {
        acquired[Symbol.dispose]();
      }
      await sleep(clock, backoffMs(attempt, random));
    }
  }

  async #sendWrite(
    operation: PlatformOperation,
    call: () => Promise<WriteResult>,
    priority?: CallPriority,
  ): Promise<WriteResult> {
    using acquired = await this.#acquire(operation, priority);
    if (acquired === undefined) return { status: 'unavailable', reason: notSentReason(priority) };
    const result = await this.#countPending(call);
    // The response to a write may get lost although the platform is reachable. Whether it is reachable is decided by
    // reads and long polls.
    if (result.status !== 'unknown') this.#options.health?.record(result.status !== 'unavailable');
    return result;
  }

  async #countPending<T>(call: () => Promise<T>): Promise<T> {
    const { health } = this.#options;
    health?.begin();
    try {
      return await call();
    } finally {
      health?.end();
    }
  }

  async #recordOutcome<T>(call: () => Promise<T>): Promise<T> {
    const { health } = this.#options;
    try {
      const result = await call();
      health?.record(true);
      return result;
    } catch (error) {
      health?.record(error instanceof PlatformHistoryError);
      throw error;
    }
  }

  /** Waits until another page of a list that is being read may be read. @throws PlatformError */
  async #acquirePage(priority: CallPriority | undefined): Promise<void> {
    const { clock, onCall } = this.#options;
    if (priority?.kind !== 'bulk') {
      const acquired = await this.#acquire('list', priority);
      if (acquired === undefined) throw new PlatformError(notSentReason(priority));
      return;
    }
    // The list has its place among the bulk calls in progress already.
    for (;;) {
      const waitMs = this.#budget.tryReserveBulk();
      if (waitMs === 0) break;
      await sleep(clock, waitMs, priority.signal);
      if (priority.signal?.aborted) throw new PlatformError(notSentReason(priority));
    }
    onCall?.('list');
  }

  /** Waits until a call may start; undefined if it would have to wait too long or was cancelled. */
  async #acquire(
    operation: PlatformOperation,
    priority?: CallPriority,
  ): Promise<Disposable | undefined> {
    const { clock, onCall, onRefused } = this.#options;
    if (priority?.kind === 'bulk') {
      const acquired = await this.#bulkCalls.acquire(priority.order, priority.signal);
      if (acquired !== undefined) onCall?.(operation);
      return acquired;
    }
    const waitMs =
      priority?.kind === 'lease' ? this.#budget.reserveForLease() : this.#budget.reserve();
    if (waitMs === undefined) {
      onRefused?.(operation);
      return undefined;
    }
    if (waitMs > 0) await sleep(clock, waitMs);
    onCall?.(operation);
    return UNQUEUED;
  }
}
