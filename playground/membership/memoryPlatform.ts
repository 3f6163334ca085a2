import { newId } from '../../src/shared/random.ts';
import {
  type PlatformClient,
  PlatformError,
  type PlatformObject,
  type VmEntry,
  type WriteOptions,
  type WriteResult,
} from '../../src/node/platform/platformClient.ts';

/** The platform in memory, for simulations: objects with versions, the list of VMs, outages, and call counts. */
export class MemoryPlatform implements PlatformClient {
  readonly objects = new Map<string, PlatformObject>();

  vms: readonly VmEntry[] = [];

  outage = false;

  callCount = 0;

  #version = 0;

  read(key: string): Promise<PlatformObject | undefined> {
    return this.#call(() => this.objects.get(key));
  }

  list(prefix: string): Promise<readonly PlatformObject[]> {
    return this.#call(() => [...this.objects.values()].filter(({ key }) => key.startsWith(prefix)));
  }

  write(key: string, value: unknown, options: WriteOptions = {}): Promise<WriteResult> {
    return this.#change(key, options, (version, operationId) =>
      this.objects.set(key, { key, version, operationId, value: structuredClone(value) }),
    );
  }

  remove(key: string, options: WriteOptions = {}): Promise<WriteResult> {
    return this.#change(key, options, () => this.objects.delete(key));
  }

  // eslint-disable-next-line class-methods-use-this
  watch(): Disposable {
    return { [Symbol.dispose]() {} };
  }

  listVms(): Promise<readonly VmEntry[]> {
    return this.#call(() => this.vms);
  }

  async #call<T>(answer: () => T): Promise<T> {
    this.callCount += 1;
    if (this.outage) throw new PlatformError('platform answered 503');
    return answer();
  }

  async #change(
    key: string,
    { ifVersion, operationId = newId() }: WriteOptions,
    apply: (version: number, operationId: string) => unknown,
  ): Promise<WriteResult> {
    this.callCount += 1;
    if (this.outage) return { status: 'unavailable', reason: 'platform answered 503' };
    const version = this.objects.get(key)?.version ?? 0;
    if (ifVersion !== undefined && ifVersion !== version) return { status: 'conflict', version };
    this.#version += 1;
    apply(this.#version, operationId);
    return { status: 'written', version: this.#version };
  }
}
