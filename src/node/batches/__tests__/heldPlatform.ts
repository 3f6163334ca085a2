import { InMemoryPlatform } from '../../../../playground/inMemoryPlatform.ts';
import type { PlatformObject } from '../../platform/platformClient.ts';

/** A platform that answers reads and lists of some objects only when they are released. */
export class HeldPlatform extends InMemoryPlatform {
  #heldPrefix: string | undefined;

  #waiting: (() => void)[] = [];

  /** Number of calls that wait to be released. */
  get heldCount(): number {
    return this.#waiting.length;
  }

  /** Leaves calls for objects with this prefix unanswered until they are released. */
  hold(prefix: string): void {
    this.#heldPrefix = prefix;
  }

  release(): void {
    this.#heldPrefix = undefined;
    for (const resolve of this.#waiting) resolve();
  }

  override async read(key: string): Promise<PlatformObject | undefined> {
    await this.#whileHeld(key);
    return super.read(key);
  }

  override async list(prefix: string): Promise<readonly PlatformObject[]> {
    await this.#whileHeld(prefix);
    return super.list(prefix);
  }

  async #whileHeld(key: string): Promise<void> {
    if (this.#heldPrefix === undefined || !key.startsWith(this.#heldPrefix)) return;
    await new Promise<void>((resolve) => {
      this.#waiting.push(resolve);
    });
  }
}
