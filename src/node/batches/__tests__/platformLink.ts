import { type InMemoryPlatform } from '../../../../playground/inMemoryPlatform.ts';
import { type Clock, sleep } from '../../../shared/clock.ts';
import type { Random } from '../../../shared/random.ts';
import {
  type ChangesOptions,
  type PlatformChanges,
  PlatformError,
  type PlatformObject,
  type PlatformObjects,
  type PlatformSnapshot,
  type ReadOptions,
  type VmEntry,
  type WriteOptions,
  type WriteResult,
} from '../../platform/platformClient.ts';
import type { ObjectHistory } from './objectHistory.ts';

/** Time after which a call without a response fails, in ms; the default of the settings. */
const CALL_TIMEOUT_MS = 2000;

/** Longest time after which a write whose response was lost is carried out, in ms. */
const MAX_LATE_WRITE_MS = 5000;

/** Greatest age of a response that may be stale, in ms. */
const MAX_STALE_MS = 3000;

/** What the calls of all nodes are subject to. */
export interface PlatformFaults {
  /** Share of the calls that get no response; the platform may carry them out, also late. */
  lossRate: number;
  /** Longest time of one direction of a call, in ms. */
  maxLatencyMs: number;
}

export interface PlatformLinkOptions {
  readonly platform: InMemoryPlatform;
  readonly history: ObjectHistory;
  readonly faults: PlatformFaults;
  /** Clock of the node, whose process may be paused. */
  readonly clock: Clock;
  readonly platformClock: Clock;
  readonly random: Random;
}

/** The way of one node to a platform that all nodes share. */
export class PlatformLink implements PlatformObjects {
  /** Whether the platform is within this node's reach. */
  reachable = true;

  readonly #options: PlatformLinkOptions;

  constructor(options: PlatformLinkOptions) {
    this.#options = options;
  }

  read(key: string, { allowStale = false }: ReadOptions = {}): Promise<PlatformObject | undefined> {
    const { random, history, platformClock } = this.#options;
    const ageMs = allowStale && random() < 0.5 ? random() * MAX_STALE_MS : 0;
    return this.#call(async (platform) => {
      const latest = await platform.read(key);
      return ageMs > 0 ? history.stateAt(key, platformClock.monotonicMs() - ageMs) : latest;
    });
  }

  list(prefix: string): Promise<readonly PlatformObject[]> {
    return this.#call((platform) => platform.list(prefix));
  }

  snapshot(prefix: string): Promise<PlatformSnapshot> {
    return this.#call((platform) => platform.snapshot(prefix));
  }

  async changesSince(
    prefix: string,
    version: number,
    { waitMs, signal }: ChangesOptions,
  ): Promise<PlatformChanges> {
    const { platform, clock, platformClock } = this.#options;
    const aborted = new Promise<never>((_resolve, reject) => {
      const fail = () => reject(new PlatformError('call aborted'));
      if (signal.aborted) fail();
      signal.addEventListener('abort', fail, { once: true });
    });
    const isLost = this.#isLost();
    await Promise.race([aborted, sleep(clock, this.#latencyMs())]);
    const ended = new AbortController();
    const changes = platform.changesSince(prefix, version, { waitMs, signal: ended.signal });
    const unchanged = sleep(platformClock, waitMs, ended.signal).then((): PlatformChanges => ({
      events: [],
      version: platform.version,
    }));
    try {
      const result = await Promise.race([changes, unchanged, aborted]);
      if (isLost || this.#isLost()) return await aborted;
      await Promise.race([aborted, sleep(clock, this.#latencyMs())]);
      return result;
    } finally {
      changes.catch(() => {});
      ended.abort();
    }
  }

  write(key: string, value: unknown, options?: WriteOptions): Promise<WriteResult> {
    return this.#change(key, options, (platform) => platform.write(key, value, options));
  }

  writeStatus(key: string, status: unknown, options?: WriteOptions): Promise<WriteResult> {
    return this.#change(key, options, (platform) => platform.writeStatus(key, status, options));
  }

  remove(key: string, options?: WriteOptions): Promise<WriteResult> {
    return this.#change(key, options, (platform) => platform.remove(key, options));
  }

  // eslint-disable-next-line class-methods-use-this
  watch(): Disposable {
    return { [Symbol.dispose]() {} };
  }

  // eslint-disable-next-line class-methods-use-this
  listVms(): Promise<readonly VmEntry[]> {
    return Promise.resolve([]);
  }

  #latencyMs(): number {
    return 1 + this.#options.random() * this.#options.faults.maxLatencyMs;
  }

  #isLost(): boolean {
    return !this.reachable || this.#options.random() < this.#options.faults.lossRate;
  }

  async #call<T>(run: (platform: InMemoryPlatform) => Promise<T>): Promise<T> {
    const { clock, platform } = this.#options;
    const isLost = this.#isLost();
    await sleep(clock, isLost ? CALL_TIMEOUT_MS : this.#latencyMs());
    if (isLost) throw new PlatformError('no response');
    const result = await run(platform);
    await sleep(clock, this.#latencyMs());
    return result;
  }

  async #change(
    key: string,
    options: WriteOptions | undefined,
    change: (platform: InMemoryPlatform) => Promise<WriteResult>,
  ): Promise<WriteResult> {
    const { clock, platform, platformClock, random, history } = this.#options;
    const run = async () => {
      const result = await change(platform);
      history.record(key, platformClock.monotonicMs(), platform.objects.get(key));
      return result;
    };
    if (!this.#isLost()) {
      await sleep(clock, this.#latencyMs());
      const result = await run();
      await sleep(clock, this.#latencyMs());
      return result;
    }
    // Of the writes that the platform receives, some are carried out at once, some late, and some never.
    if (this.reachable && random() < 0.8) {
      const delayMs = random() < 0.3 ? 0 : random() * MAX_LATE_WRITE_MS;
      platformClock.schedule(delayMs, () => void run());
    }
    await sleep(clock, CALL_TIMEOUT_MS);
    return { status: 'unknown', operationId: options?.operationId ?? '' };
  }
}
