import { newId } from '../src/shared/random.ts';
import {
  type ChangesOptions,
  type PlatformChanges,
  PlatformError,
  type PlatformEvent,
  PlatformHistoryError,
  type PlatformObject,
  type PlatformObjects,
  type PlatformSnapshot,
  type VmEntry,
  type WriteOptions,
  type WriteResult,
} from '../src/node/platform/platformClient.ts';

interface RecordedEvent {
  readonly version: number;
  readonly event: PlatformEvent;
}

/** The platform in memory, for simulations: objects with versions, changes, the list of VMs, faults, and call counts. */
export class MemoryPlatform implements PlatformObjects {
  readonly objects = new Map<string, PlatformObject>();

  vms: readonly VmEntry[] = [];

  /** Every call is refused. */
  outage = false;

  /** Writes that take effect and are not answered, before answers come again. */
  loseAnswers = 0;

  /** Changes up to this version can no longer be asked for. */
  historyFrom = 0;

  /** Calls for changes hear nothing. */
  silent = false;

  callCount = 0;

  /** Keys of all writes, in order. */
  readonly writes: string[] = [];

  #version = 0;

  readonly #events: RecordedEvent[] = [];

  #waiting: (() => void)[] = [];

  get version(): number {
    return this.#version;
  }

  read(key: string): Promise<PlatformObject | undefined> {
    return this.#call(() => this.objects.get(key));
  }

  list(prefix: string): Promise<readonly PlatformObject[]> {
    return this.#call(() => [...this.objects.values()].filter(({ key }) => key.startsWith(prefix)));
  }

  async snapshot(prefix: string): Promise<PlatformSnapshot> {
    return { objects: await this.list(prefix), version: this.#version };
  }

  async changesSince(
    prefix: string,
    version: number,
    { signal }: ChangesOptions,
  ): Promise<PlatformChanges> {
    await this.#call(() => undefined);
    if (version < this.historyFrom) throw new PlatformHistoryError('history gone');
    const pending = () =>
      this.silent
        ? []
        : this.#events.filter(
            ({ version: at, event }) => at > version && event.object.key.startsWith(prefix),
          );
    while (pending().length === 0) {
      await new Promise<void>((resolve, reject) => {
        this.#waiting.push(resolve);
        signal.addEventListener('abort', () => reject(new PlatformError('aborted')), {
          once: true,
        });
      });
      if (this.outage) throw new PlatformError('the call was cut');
    }
    return { events: pending().map(({ event }) => event), version: this.#version };
  }

  write(key: string, value: unknown, options: WriteOptions = {}): Promise<WriteResult> {
    return this.#change(key, options, (version, operationId) => {
      const { status } = this.objects.get(key) ?? {};
      const object = { key, version, operationId, value: structuredClone(value), status };
      this.objects.set(key, object);
      return { type: 'written', object };
    });
  }

  writeStatus(key: string, status: unknown, options: WriteOptions = {}): Promise<WriteResult> {
    return this.#change(key, options, (version, operationId) => {
      const object = {
        key,
        value: undefined,
        ...this.objects.get(key),
        version,
        operationId,
        status,
      };
      this.objects.set(key, object);
      return { type: 'written', object };
    });
  }

  remove(key: string, options: WriteOptions = {}): Promise<WriteResult> {
    return this.#change(key, options, (version, operationId) => {
      const object = { key, value: undefined, ...this.objects.get(key), version, operationId };
      this.objects.delete(key);
      return { type: 'removed', object };
    });
  }

  // eslint-disable-next-line class-methods-use-this
  watch(): Disposable {
    return { [Symbol.dispose]() {} };
  }

  listVms(): Promise<readonly VmEntry[]> {
    return this.#call(() => this.vms);
  }

  /** Ends the calls that wait for changes, as the platform does when it is cut off or drops its history. */
  cutWaiting(): void {
    const waiting = this.#waiting;
    this.#waiting = [];
    for (const resolve of waiting) resolve();
  }

  async #call<T>(answer: () => T): Promise<T> {
    this.callCount += 1;
    if (this.outage) throw new PlatformError('platform answered 503');
    return answer();
  }

  async #change(
    key: string,
    { ifVersion, operationId = newId() }: WriteOptions,
    apply: (version: number, operationId: string) => PlatformEvent,
  ): Promise<WriteResult> {
    this.callCount += 1;
    if (this.outage) return { status: 'unavailable', reason: 'platform answered 503' };
    const version = this.objects.get(key)?.version ?? 0;
    if (ifVersion !== undefined && ifVersion !== version) return { status: 'conflict', version };
    this.#version += 1;
    this.writes.push(key);
    this.#events.push({ version: this.#version, event: apply(this.#version, operationId) });
    if (!this.silent) this.cutWaiting();
    if (this.loseAnswers > 0) {
      this.loseAnswers -= 1;
      return { status: 'unknown', operationId };
    }
    return { status: 'written', version: this.#version };
  }
}
