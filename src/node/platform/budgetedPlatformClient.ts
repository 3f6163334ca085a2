import { type Clock, sleep } from '../../shared/clock.ts';
import type { Random } from '../../shared/random.ts';
import { backoffMs } from './backoff.ts';
import { CallBudget } from './callBudget.ts';
import {
  type PlatformClient,
  PlatformError,
  type PlatformEvent,
  type PlatformObject,
  type VmEntry,
  type WriteOptions,
  type WriteResult,
} from './platformClient.ts';

/** Operations of the platform, as metric labels. */
export type PlatformOperation = 'read' | 'list' | 'write' | 'remove' | 'watch' | 'vms';

export interface BudgetedPlatformClientOptions {
  readonly platform: PlatformClient;
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
}

const OVER_BUDGET = 'the call budget of this node is used up (platform.callsPerSecond)';

/** Keeps the calls of one node within its budget and repeats reads that failed. Writes are never repeated here. */
export class BudgetedPlatformClient implements PlatformClient {
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

  read(key: string): Promise<PlatformObject | undefined> {
    return this.#repeat('read', () => this.#options.platform.read(key));
  }

  list(prefix: string): Promise<readonly PlatformObject[]> {
    return this.#repeat('list', () => this.#options.platform.list(prefix));
  }

  listVms(): Promise<readonly VmEntry[]> {
    return this.#repeat('vms', () => this.#options.platform.listVms());
  }

  async write(key: string, value: unknown, options?: WriteOptions): Promise<WriteResult> {
    if (await this.#mayCall('write')) return this.#options.platform.write(key, value, options);
    return { status: 'unavailable', reason: OVER_BUDGET };
  }

  async remove(key: string, options?: WriteOptions): Promise<WriteResult> {
    if (await this.#mayCall('remove')) return this.#options.platform.remove(key, options);
    return { status: 'unavailable', reason: OVER_BUDGET };
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
        return await call();
      } catch (error) {
        if (attempt >= readAttempts) throw error;
        await sleep(clock, backoffMs(attempt, random));
      }
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
