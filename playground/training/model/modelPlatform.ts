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
  /** Share of calls whose answer is lost after they took effect. */
  lostAnswers: number;
  /** Longest time of one way of a call, in ms. */
  latencyMs: number;
}

/** Time after which a client gives a call up, in ms. A call that is still under way may take effect later. */
const CALL_TIMEOUT_MS = 600;

/** The platform's object API in memory, with faults, on the clock that is passed in. */
export class ModelPlatform {
  readonly faults: PlatformFaults = { outage: false, lostAnswers: 0, latencyMs: 5 };

  readonly objects = new Map<string, PlatformObject>();

  /** Writes that took effect and the bytes of their values, by the first part of the key. */
  readonly written = new Map<string, { count: number; bytes: number }>();

  readonly #world: Clock;

  readonly #random: Random;

  readonly #onWrite: (before: PlatformObject | undefined, after: PlatformObject) => void;

  readonly #watchers = new Set<(event: PlatformEvent) => void>();

  #version = 0;

  constructor(
    world: Clock,
    random: Random,
    onWrite: (before: PlatformObject | undefined, after: PlatformObject) => void = () => {},
  ) {
    this.#world = world;
    this.#random = random;
    this.#onWrite = onWrite;
  }

  /** The platform as a process reaches it. */
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
      timeout = this.#world.schedule(CALL_TIMEOUT_MS, () => answer({ status: 'lost' }));
      this.#world.schedule(this.#latencyMs(), () => {
        if (this.faults.outage) {
          // Some calls are refused at once, others never answered.
          if (this.#random() < 0.5) answer({ status: 'refused' });
          return;
        }
        const value = effect();
        if (this.#random() < this.faults.lostAnswers) return;
        this.#world.schedule(this.#latencyMs(), () => answer({ status: 'answered', value }));
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
    const { count, bytes } = this.written.get(kind) ?? { count: 0, bytes: 0 };
    this.written.set(kind, { count: count + 1, bytes: bytes + text.length });
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
      this.#world.schedule(this.#latencyMs(), () => process.deliver(() => onEvent(event)));
    };
    this.#watchers.add(watcher);
    return { [Symbol.dispose]: () => this.#watchers.delete(watcher) };
  }

  #latencyMs(): number {
    return 1 + this.#random() * this.faults.latencyMs;
  }
}
