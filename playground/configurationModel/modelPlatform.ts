import type {
  PlatformClient,
  PlatformEvent,
  PlatformObject,
  VmEntry,
  WriteOptions,
  WriteResult,
} from '../../src/node/platform/platformClient.ts';
import { PlatformError } from '../../src/node/platform/platformClient.ts';
import type { Clock } from '../../src/shared/clock.ts';
import type { Random } from '../../src/shared/random.ts';

/** Timeout of a call, in ms. */
const CALL_TIMEOUT_MS = 2000;

/** Faults of the platform, applied to new calls. */
export interface ModelPlatformFaults {
  /** No call takes effect or gets a response. */
  outage: boolean;
  /** Fraction of writes that take effect but get no response. */
  lostAnswers: number;
  /** Fraction of writes that take effect up to 10 s after the caller's timeout. */
  lateWrites: number;
  /** Maximum one-way latency, in ms. */
  latencyMs: number;
}

/** In-memory model of the platform's objects with injectable faults. */
export class ModelPlatform {
  readonly objects = new Map<string, PlatformObject>();

  readonly faults: ModelPlatformFaults = {
    outage: false,
    lostAnswers: 0,
    lateWrites: 0,
    latencyMs: 5,
  };

  vms: VmEntry[] = [];

  /** Called for each write, before the watchers. */
  onWrite: ((object: PlatformObject) => void) | undefined;

  readonly #watchers = new Set<(event: PlatformEvent) => void>();

  #version = 0;

  write(key: string, value: unknown, { ifVersion, operationId = '' }: WriteOptions): WriteResult {
    const version = this.objects.get(key)?.version ?? 0;
    if (ifVersion !== undefined && ifVersion !== version) return { status: 'conflict', version };
    this.#version += 1;
    // Values are transferred as JSON; the copy prevents nodes from sharing objects.
    const copy: unknown = JSON.parse(JSON.stringify(value));
    const object = { key, version: this.#version, operationId, value: copy };
    this.objects.set(key, object);
    this.onWrite?.(object);
    for (const watcher of this.#watchers) watcher({ type: 'written', object });
    return { status: 'written', version: this.#version };
  }

  watch(onEvent: (event: PlatformEvent) => void): Disposable {
    this.#watchers.add(onEvent);
    return { [Symbol.dispose]: () => this.#watchers.delete(onEvent) };
  }
}

/** Connection of a node to the platform. */
export interface ModelPlatformLink {
  /** Clock of the model; it advances also while the node is paused. */
  readonly clock: Clock;
  readonly random: Random;
  /** Whether the network lets the node reach the platform now. */
  readonly isConnected: () => boolean;
  /** Runs `callback` immediately, or after the pause if the node is paused. Drops it if the node has ended. */
  readonly deliver: (callback: () => void) => void;
}

/** Creates the platform client of one incarnation of a node. */
export const connectToPlatform = (
  platform: ModelPlatform,
  { clock, random, isConnected, deliver }: ModelPlatformLink,
): PlatformClient => {
  const latencyMs = () => random() * platform.faults.latencyMs;
  const isReachable = () => isConnected() && !platform.faults.outage;

  /** Runs `work` at the platform. Resolves to its result, or to undefined if no response arrives within the timeout. */
  const call = <T>(work: () => T, isAnswered: () => boolean = () => true): Promise<T | undefined> =>
    new Promise((resolve) => {
      const timeOut = () =>
        clock.schedule(CALL_TIMEOUT_MS, () => deliver(() => resolve(undefined)));
      clock.schedule(latencyMs(), () => {
        if (!isReachable()) {
          timeOut();
          return;
        }
        const result = work();
        if (!isAnswered()) {
          timeOut();
          return;
        }
        clock.schedule(latencyMs(), () => {
          if (isReachable()) deliver(() => resolve(result));
          else timeOut();
        });
      });
    });
  const read = async <T>(work: () => T): Promise<T> => {
    const result = await call(() => ({ value: work() }));
    if (result === undefined) throw new PlatformError('no response');
    return result.value;
  };
  const performWrite = async (work: () => WriteResult, operationId = ''): Promise<WriteResult> => {
    const { lateWrites, lostAnswers } = platform.faults;
    if (random() < lateWrites) {
      clock.schedule(CALL_TIMEOUT_MS + random() * 10_000, () => void work());
      await call(
        () => undefined,
        () => false,
      );
      return { status: 'unknown', operationId };
    }
    const isLost = random() < lostAnswers;
    return (await call(work, () => !isLost)) ?? { status: 'unknown', operationId };
  };

  return {
    read: (key) => read(() => platform.objects.get(key)),
    list: (prefix) =>
      read(() => [...platform.objects.values()].filter(({ key }) => key.startsWith(prefix))),
    listVms: () => read(() => platform.vms),
    write: (key, value, options = {}) =>
      performWrite(() => platform.write(key, value, options), options.operationId),
    remove: (key) =>
      performWrite(() => {
        platform.objects.delete(key);
        return { status: 'written', version: 0 };
      }),
    watch: (prefix, onEvent) =>
      platform.watch((event) => {
        if (!event.object.key.startsWith(prefix)) return;
        clock.schedule(latencyMs(), () => {
          if (isReachable()) deliver(() => onEvent(event));
        });
      }),
  };
};
