import type { Clock } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import { type ConfigurationHead, HEAD_KEY } from '../decisions/configurationHead.ts';
import type { Logger } from '../observability/logger.ts';
import type { PlatformClient, PlatformEvent } from '../platform/platformClient.ts';
import type { Configuration } from './configuration.ts';

export interface ConfigurationFollowerOptions {
  readonly platform: PlatformClient;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly configuration: Configuration;
  /** Interval between reads of the head, in ms. */
  readonly headPollIntervalMs: number;
}

/** Keeps the configuration up to date by reading the head periodically and watching it in between. */
export class ConfigurationFollower implements Disposable {
  readonly #options: ConfigurationFollowerOptions;

  #watch: Disposable | undefined;

  #timer: Disposable | undefined;

  #disposed = false;

  constructor(options: ConfigurationFollowerOptions) {
    this.#options = options;
  }

  /** Starts watching and reading the head. Resolves after the first read, even if it failed. */
  async start(): Promise<void> {
    this.#watch = this.#options.platform.watch(HEAD_KEY, (event) => this.#onEvent(event));
    await this.#poll();
  }

  [Symbol.dispose](): void {
    this.#disposed = true;
    this.#timer?.[Symbol.dispose]();
    this.#watch?.[Symbol.dispose]();
  }

  #onEvent({ type, object }: PlatformEvent): void {
    if (this.#disposed || type !== 'written' || object.key !== HEAD_KEY) return;
    const { value, version } = object;
    this.#logErrors('configuration-watch-failed', () =>
      this.#options.configuration.processHead({ head: value as ConfigurationHead, version }),
    );
  }

  async #poll(): Promise<void> {
    const { configuration, clock, headPollIntervalMs, logger } = this.#options;
    try {
      await configuration.refresh();
    } catch (error) {
      logger.warn('head-read-failed', { message: messageOf(error) });
    }
    if (this.#disposed) return;
    this.#timer = clock.schedule(headPollIntervalMs, () => void this.#poll());
  }

  #logErrors(event: string, work: () => void): void {
    try {
      work();
    } catch (error) {
      this.#options.logger.error(event, { message: messageOf(error) });
    }
  }
}
