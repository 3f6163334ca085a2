import type {
  PlatformClient,
  PlatformEvent,
  PlatformObject,
  WriteOptions,
  WriteResult,
} from '../../../src/node/platform/platformClient.ts';
import { PlatformError } from '../../../src/node/platform/platformClient.ts';
import type { Clock } from '../../../src/shared/clock.ts';
import type { Random } from '../../../src/shared/random.ts';
import type { ModelProcess } from './modelProcess.ts';

export interface PlatformFaults {
  outage: boolean;
  /** Fraction of calls that take effect but whose response is lost. */
  lostAnswers: number;
  /** Maximum one-way latency of a call, in ms. */
  latencyMs: number;
}

/** Timeout of a client's call, in ms. A call that has timed out can still take effect later. */
const CALL_TIMEOUT_MS = 600;

/** In-memory model of the platform's object API with injectable faults. */
export class ModelPlatform {
  readonly faults: PlatformFaults = { outage: false, lostAnswers: 0, latencyMs: 5 };

  readonly objects = new Map<string, PlatformObject>();

  /** Number of writes that took effect and bytes of their values, by the first segment of the key. */
  readonly writeStats = new Map<string, { count: number; bytes: number }>();

  readonly #clock: Clock;

  readonly #random: Random;

  readonly #onWrite: (before: PlatformObject | undefined, after: PlatformObject) => void;

  readonly #watchers = new Set<(event: PlatformEvent) => void>();

  #version = 0;

  constructor(
    clock: Clock,
    random: Random,
    onWrite: (before: PlatformObject | undefined, after: PlatformObject) => void = () => {},
  ) {
    this.#clock = clock;
    this.#random = random;
    this.#onWrite = onWrite;
  }

  /** Returns a client of this platform for one process. */
  clientOf(process: ModelProcess): PlatformClient {
    const read = async <T>(get: () => T): Promise<T> => {
      const answer = await this.#call(process, get);
      if (answer.status === 'answered') return answer.value;
      throw new PlatformError(answer.status);
    };
    return {
      read: (key) => read(() => this.objects.get(key)),
      list: (prefix) =>
        read(() => [...this.objects.values()].filter(({ key }) => key.startsWith(prefix))),
      write: async (key, value, options = {}) => {
        const operationId = options.operationId ?? '';
        const answer = await this.#call(process, () => this.#write(key, value, options));
        if (answer.status === 'answered') return answer.value;
        if (answer.status === 'refused') return { status: 'unavailable', reason: 'outage' };
        return { status: 'unknown', operationId };
      },
      remove: () => Promise.reject(new PlatformError('not modelled')),
      watch: (prefix, onEvent) => this.#watch(process, prefix, onEvent),
      listVms: () => Promise.resolve([]),
    };
  }

  #call<T>(
    process: ModelProcess,
    effect: () => T,
  ): Promise<{ status: 'answered'; value: T } | { status: 'refused' | 'lost' }> {
    return new Promise((resolve) => {
      let timeout: Disposable | undefined;
      const answer = (result: Parameters<typeof resolve>[0]) => {
        timeout?.[Symbol.dispose]();
        process.deliver(() => resolve(result));
      };
      timeout = this.#clock.schedule(CALL_TIMEOUT_MS, () => answer({ status: 'lost' }));
      this.#clock.schedule(this.#latencyMs(), () => {
        if (this.faults.outage) {
          // Half of the calls fail immediately, the others get no response.
          if (this.#random() < 0.5) answer({ status: 'refused' });
          return;
        }
        const value = effect();
        if (this.#random() < this.faults.lostAnswers) return;
        this.#clock.schedule(this.#latencyMs(), () => answer({ status: 'answered', value }));
      });
    });
  }

  #write(key: string, value: unknown, { ifVersion, operationId = '' }: WriteOptions): WriteResult {
    const before = this.objects.get(key);
    if (ifVersion !== undefined && ifVersion !== (before?.version ?? 0)) {
      return { status: 'conflict', version: before?.version ?? 0 };
    }
    this.#version += 1;
    const text = JSON.stringify(value);
    const after = {
      key,
      version: this.#version,
      operationId,
      value: JSON.parse(text) as unknown,
    };
    this.objects.set(key, after);
    const kind = key.split('/', 1)[0] ?? '';
    const { count, bytes } = this.writeStats.get(kind) ?? { count: 0, bytes: 0 };
    this.writeStats.set(kind, { count: count + 1, bytes: bytes + text.length });
    this.#onWrite(before, after);
    for (const watcher of this.#watchers) watcher({ type: 'written', object: after });
    return { status: 'written', version: this.#version };
  }

  #watch(
    process: ModelProcess,
    prefix: string,
    onEvent: (event: PlatformEvent) => void,
  ): Disposable {
    const watcher = (event: PlatformEvent) => {
      if (this.faults.outage || !event.object.key.startsWith(prefix)) return;
      this.#clock.schedule(this.#latencyMs(), () => process.deliver(() => onEvent(event)));
    };
    this.#watchers.add(watcher);
    return { [Symbol.dispose]: () => this.#watchers.delete(watcher) };
  }

  #latencyMs(): number {
    return 1 + this.#random() * this.faults.latencyMs;
  }
}
