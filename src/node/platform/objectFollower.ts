import { type Clock, sleep, Stopwatch } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import type { Random } from '../../shared/random.ts';
import type { Logger } from '../observability/logger.ts';
import { backoffMs } from './backoff.ts';
import {
  type PlatformEvent,
  PlatformHistoryError,
  type PlatformObject,
  type PlatformObjects,
} from './platformClient.ts';

/** Added to the wait of a call before its connection counts as silent, in ms: a slow platform answers within it. */
const SILENCE_MARGIN_MS = 600;

/** Bounds of the delay between attempts while the platform does not answer, in ms. */
const RETRY = { baseMs: 50, maxMs: 500 };

export interface ObjectFollowerOptions {
  readonly platform: Pick<PlatformObjects, 'snapshot' | 'changesSince'>;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  /** Kind of the objects with a slash, such as `nodes/`. */
  readonly prefix: string;
  /** How long one call waits for a change, in ms. Bounds how long a silent connection goes unnoticed. */
  readonly waitMs: () => number;
  /** Told of each change, also of those found by listing again. */
  readonly onEvent: (event: PlatformEvent) => void;
  /** Told when everything up to a version was taken in. */
  readonly onAdvanced?: (version: number) => void;
  /** Told when the platform answers after it did not, with the time for which it was away, in ms. */
  readonly onRegained?: (awayMs: number) => void;
}

/**
 * Keeps a copy of all objects of a kind: lists them, follows the changes, and lists again when the platform has dropped
 * the history in between.
 */
export class ObjectFollower implements Disposable {
  readonly #options: ObjectFollowerOptions;

  readonly #objects = new Map<string, PlatformObject>();

  readonly #stop = new AbortController();

  /** Ends the call in progress. */
  #call = new AbortController();

  #version: number | undefined;

  /** Largest version reached so far: a list must not fall behind it. */
  #highestVersion = 0;

  /** Started when the last answered call was sent. */
  #confirmed: Stopwatch | undefined;

  #failures = 0;

  #firstResult: (() => void) | undefined;

  constructor(options: ObjectFollowerOptions) {
    this.#options = options;
  }

  get objects(): ReadonlyMap<string, PlatformObject> {
    return this.#objects;
  }

  /** Version of the platform up to which changes are known; 0 before the first list. */
  get version(): number {
    return this.#version ?? 0;
  }

  /** Time in ms since the copy was last known to be current; Infinity before the first list. */
  get ageMs(): number {
    return this.#confirmed?.elapsedMs() ?? Infinity;
  }

  /** Whether the last call to the platform was answered. */
  get connected(): boolean {
    return this.#version !== undefined && this.#failures === 0;
  }

  /** Begins to follow. Resolves after the first answer or failure of the platform. */
  start(): Promise<void> {
    const first = new Promise<void>((resolve) => {
      this.#firstResult = resolve;
    });
    void this.#run();
    return first;
  }

  /** Lists the objects at once, because the copy may be behind without knowing it. */
  refresh(): void {
    this.#version = undefined;
    this.#call.abort();
  }

  [Symbol.dispose](): void {
    this.#stop.abort();
    this.#call.abort();
  }

  async #run(): Promise<void> {
    const { clock, random, logger, prefix } = this.#options;
    while (!this.#stop.signal.aborted) {
      const sentAt = new Stopwatch(clock);
      try {
        if (this.#version === undefined) await this.#list();
        else await this.#follow(this.#version);
        this.#answered(sentAt);
      } catch (error) {
        if (this.#stop.signal.aborted) return;
        if (error instanceof PlatformHistoryError) {
          logger.info('platform-history-gone', { prefix, version: this.#version });
          this.#version = undefined;
        } else if (!this.#call.signal.aborted) {
          this.#failures += 1;
          // The platform may have cut the call because it is about to drop its history: a call that continues from the
          // same version could then wait for a change that is gone.
          this.#version = undefined;
          if (this.#failures === 1) {
            logger.warn('platform-lost', { prefix, message: messageOf(error) });
          }
          this.#settleFirst();
          await sleep(clock, backoffMs(this.#failures, random, RETRY), this.#stop.signal);
        }
      }
    }
  }

  #answered(sentAt: Stopwatch): void {
    const { logger, prefix, onRegained } = this.#options;
    const awayMs = this.ageMs;
    this.#confirmed = sentAt;
    if (this.#failures > 0) {
      logger.info('platform-regained', { prefix, failures: this.#failures, awayMs });
      this.#failures = 0;
      onRegained?.(awayMs);
    }
    this.#settleFirst();
  }

  #settleFirst(): void {
    this.#firstResult?.();
    this.#firstResult = undefined;
  }

  async #list(): Promise<void> {
    const { platform, prefix } = this.#options;
    this.#call = new AbortController();
    const { signal } = this.#call;
    const { objects, version } = await platform.snapshot(prefix, {
      minVersion: this.#highestVersion,
    });
    // A refresh during the call may be about a change that the answer does not show yet.
    if (signal.aborted) return;
    const listed = new Map(objects.map((object) => [object.key, object]));
    for (const [key, object] of this.#objects) {
      if (!listed.has(key)) this.#take({ type: 'removed', object });
    }
    for (const object of objects) {
      if (this.#objects.get(object.key)?.version !== object.version) {
        this.#take({ type: 'written', object });
      }
    }
    this.#advance(version);
  }

  async #follow(sinceVersion: number): Promise<void> {
    const { platform, clock, logger, prefix, waitMs } = this.#options;
    const boundMs = waitMs();
    const call = new AbortController();
    this.#call = call;
    const timer = clock.schedule(boundMs + SILENCE_MARGIN_MS, () => {
      logger.info('platform-call-silent', { prefix, version: sinceVersion, waitMs: boundMs });
      call.abort();
    });
    try {
      const { signal } = call;
      const changes = await platform.changesSince(prefix, sinceVersion, {
        waitMs: boundMs,
        signal,
      });
      if (this.#version === undefined) return;
      for (const event of changes.events) this.#take(event);
      this.#advance(Math.max(sinceVersion, changes.version));
    } finally {
      timer[Symbol.dispose]();
    }
  }

  #advance(version: number): void {
    this.#version = version;
    this.#highestVersion = Math.max(this.#highestVersion, version);
    this.#options.onAdvanced?.(version);
  }

  #take(event: PlatformEvent): void {
    const { key } = event.object;
    if (event.type === 'removed') this.#objects.delete(key);
    else this.#objects.set(key, event.object);
    this.#options.onEvent(event);
  }
}
