import { InMemoryPlatform } from '../../../../playground/inMemoryPlatform.ts';
import type { PlatformObject, WriteOptions, WriteResult } from '../../platform/platformClient.ts';

/** Largest size of an object's value, in bytes. */
export const MAX_VALUE_BYTES = 100_000;

/**
 * A platform that answers reads and lists of some objects only when they are released, and refuses some removals and values that are
 * too large.
 */
export class HeldPlatform extends InMemoryPlatform {
  #heldPrefix: string | undefined;

  #waiting: (() => void)[] = [];

  #refusedRemovals = 0;

  /** Number of calls that wait to be released. */
  get heldCount(): number {
    return this.#waiting.length;
  }

  /** Leaves calls for objects with this prefix unanswered until they are released. */
  hold(prefix: string): void {
    this.#heldPrefix = prefix;
  }

  /** Refuses the next removals. */
  refuseRemovals(count: number): void {
    this.#refusedRemovals = count;
  }

  override async write(key: string, value: unknown, options?: WriteOptions): Promise<WriteResult> {
    const isTooLarge = Buffer.byteLength(JSON.stringify(value)) > MAX_VALUE_BYTES;
    if (isTooLarge) return { status: 'unavailable', reason: 'the value is too large' };
    return super.write(key, value, options);
  }

  override async remove(key: string, options?: WriteOptions): Promise<WriteResult> {
    if (this.#refusedRemovals === 0) return super.remove(key, options);
    this.#refusedRemovals -= 1;
    return { status: 'unavailable', reason: 'refused' };
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
