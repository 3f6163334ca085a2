import { type Clock, sleep } from '../../shared/clock.ts';
import type { Random } from '../../shared/random.ts';
import { backoffMs } from './backoff.ts';
import { CallBudget } from './callBudget.ts';
import type { PlatformHealth } from './platformHealth.ts';
import {
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

/** Operations of the platform, as metric labels. */
export type PlatformOperation =
  'read' | 'list' | 'write' | 'status' | 'remove' | 'watch' | 'changes' | 'vms';

export interface BudgetedPlatformClientOptions {
  readonly platform: PlatformObjects;
  readonly clock: Clock;
  readonly random: Random;
  /** Calls a second that this node allows itself. */
  readonly callsPerSecond: number;
  /** Attempts of one read, list or VM list. @default 2 */
  readonly readAttempts?: number;
  /** Told of each call that is sent. */
  readonly onCall?: (operation: PlatformOperation) => void;
  /** Told of each call that the budget refused. */
  readonly onRefused?: (operation: PlatformOperation) => void;
  /** Told of calls and of whether the platform answers them. */
  readonly health?: Pick<PlatformHealth, 'begin' | 'end' | 'record'>;
}

const OVER_BUDGET = 'the call budget of this node is used up (platform.callsPerSecond)';

/** Keeps the calls of one node within its budget and repeats reads that failed. Writes are never repeated here. */
export class BudgetedPlatformClient implements PlatformObjects {
  readonly #options: BudgetedPlatformClientOptions;

  readonly #budget: CallBudget;

  constructor(options: BudgetedPlatformClientOptions) {
    this.#options = options;
    this.#budget = new CallBudget(options.clock, options);
  }

  /** Calls that may start now without waiting. */
  get availableCalls(): number {
    return this.#budget.available;
  }

  read(key: string, options?: ReadOptions): Promise<PlatformObject | undefined> {
    return this.#repeat('read', () => this.#options.platform.read(key, options));
  }

  list(prefix: string, options?: ReadOptions): Promise<readonly PlatformObject[]> {
    return this.#repeat('list', () => this.#options.platform.list(prefix, options));
  }

  listVms(): Promise<readonly VmEntry[]> {
    return this.#repeat('vms', () => this.#options.platform.listVms());
  }

  snapshot(prefix: string): Promise<PlatformSnapshot> {
    return this.#repeat('list', () => this.#options.platform.snapshot(prefix));
  }

  async changesSince(
    prefix: string,
    version: number,
    options: ChangesOptions,
  ): Promise<PlatformChanges> {
    if (!(await this.#mayCall('changes'))) throw new PlatformError(OVER_BUDGET);
    return this.#judged(() => this.#options.platform.changesSince(prefix, version, options));
  }

  write(key: string, value: unknown, options?: WriteOptions): Promise<WriteResult> {
    return this.#change('write', () => this.#options.platform.write(key, value, options));
  }

  writeStatus(key: string, status: unknown, options?: WriteOptions): Promise<WriteResult> {
    return this.#change('status', () => this.#options.platform.writeStatus(key, status, options));
  }

  remove(key: string, options?: WriteOptions): Promise<WriteResult> {
    return this.#change('remove', () => this.#options.platform.remove(key, options));
  }

  watch(prefix: string, onEvent: (event: PlatformEvent) => void): Disposable {
    // A watch holds no connection slot of the budget: it is counted when it is opened.
    this.#options.onCall?.('watch');
    return this.#options.platform.watch(prefix, onEvent);
  }

  async #repeat<T>(operation: PlatformOperation, call: () => Promise<T>): Promise<T> {
    const { clock, random, readAttempts = 2 } = this.#options;
    for (let attempt = 1; ; attempt += 1) {
      if (!(await this.#mayCall(operation))) throw new PlatformError(OVER_BUDGET);
      try {
        return await this.#tracked(() => this.#judged(call));
      } catch (error) {
        if (attempt >= readAttempts) throw error;
        await sleep(clock, backoffMs(attempt, random));
      }
    }
  }

  async #change(
    operation: PlatformOperation,
    call: () => Promise<WriteResult>,
  ): Promise<WriteResult> {
    if (!(await this.#mayCall(operation))) return { status: 'unavailable', reason: OVER_BUDGET };
    const result = await this.#tracked(call);
    // An answer to a write may be lost on a sound path; reads and calls for changes show whether the path is.
    if (result.status !== 'unknown') this.#options.health?.record(result.status !== 'unavailable');
    return result;
  }

  async #tracked<T>(call: () => Promise<T>): Promise<T> {
    const { health } = this.#options;
    health?.begin();
    try {
      return await call();
    } finally {
      health?.end();
    }
  }

  async #judged<T>(call: () => Promise<T>): Promise<T> {
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

  async #mayCall(operation: PlatformOperation): Promise<boolean> {
    const { clock, onCall, onRefused } = this.#options;
    const waitMs = this.#budget.take();
    if (waitMs === undefined) {
      onRefused?.(operation);
      return false;
    }
    if (waitMs > 0) await sleep(clock, waitMs);
    onCall?.(operation);
    return true;
  }
}
