import { newId } from '../src/shared/random.ts';
import { JsonText } from '../src/node/platform/jsonText.ts';
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

/** In-memory platform for tests and simulations: versioned objects, changes, the VM list, faults, and call counts. */
export class InMemoryPlatform implements PlatformObjects {
  readonly objects = new Map<string, PlatformObject>();

  vms: readonly VmEntry[] = [];

  /** Every call fails. */
  outage = false;

  /** Number of following writes that take effect but return `unknown`, as when the platform's response is lost. */
  loseResponses = 0;

  /** Oldest version since which changes can be read; the history before it is discarded. */
  oldestReadableVersion = 0;

  /** Calls for changes stay pending and see no changes. */
  withholdChanges = false;

  callCount = 0;

  /** Keys of all writes and removals, in order. */
  readonly writtenKeys: string[] = [];

  #version = 0;

  readonly #history: RecordedEvent[] = [];

  #pendingCalls: (() => void)[] = [];

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
    if (version < this.oldestReadableVersion) throw new PlatformHistoryError('history discarded');
    const pending = () =>
      this.withholdChanges
        ? []
        : this.#history.filter(
            ({ version: eventVersion, event }) =>
              eventVersion > version && event.object.key.startsWith(prefix),
          );
    while (pending().length === 0) {
      await new Promise<void>((resolve, reject) => {
        this.#pendingCalls.push(resolve);
        signal.addEventListener('abort', () => reject(new PlatformError('call aborted')), {
          once: true,
        });
      });
      if (this.outage) throw new PlatformError('connection to the platform closed during the call');
    }
    return { events: pending().map(({ event }) => event), version: this.#version };
  }

  write(key: string, value: unknown, options: WriteOptions = {}): Promise<WriteResult> {
    return this.#applyWrite(key, options, (version, operationId) => {
      const { status } = this.objects.get(key) ?? {};
      const stored = value instanceof JsonText ? value.toJSON() : structuredClone(value);
      const object = { key, version, operationId, value: stored, status };
      this.objects.set(key, object);
      return { type: 'written', object };
    });
  }

  writeStatus(key: string, status: unknown, options: WriteOptions = {}): Promise<WriteResult> {
    return this.#applyWrite(key, options, (version, operationId) => {
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
    return this.#applyWrite(key, options, (version, operationId) => {
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

  /** Wakes the pending calls for changes; during an outage they fail, as when the connection to the platform breaks. */
  wakePendingCalls(): void {
    const pendingCalls = this.#pendingCalls;
    this.#pendingCalls = [];
    for (const resolve of pendingCalls) resolve();
  }

  async #call<T>(getResult: () => T): Promise<T> {
    this.callCount += 1;
    if (this.outage) throw new PlatformError('platform responded with status 503');
    return getResult();
  }

  async #applyWrite(
    key: string,
    { ifVersion, operationId = newId() }: WriteOptions,
    apply: (version: number, operationId: string) => PlatformEvent,
  ): Promise<WriteResult> {
    this.callCount += 1;
    if (this.outage) return { status: 'unavailable', reason: 'platform responded with status 503' };
    const version = this.objects.get(key)?.version ?? 0;
    if (ifVersion !== undefined && ifVersion !== version) return { status: 'conflict', version };
    this.#version += 1;
    this.writtenKeys.push(key);
    this.#history.push({ version: this.#version, event: apply(this.#version, operationId) });
    if (!this.withholdChanges) this.wakePendingCalls();
    if (this.loseResponses > 0) {
      this.loseResponses -= 1;
      return { status: 'unknown', operationId };
    }
    return { status: 'written', version: this.#version };
  }
}
