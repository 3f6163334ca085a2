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

/** Time after which a call without answer fails, in ms. */
const CALL_TIMEOUT_MS = 2000;

/** How the platform treats the next calls. */
export interface ModelPlatformFaults {
  /** Nobody gets an answer and nothing takes effect. */
  outage: boolean;
  /** Share of writes that take effect without an answer. */
  lostAnswers: number;
  /** Share of writes that take effect seconds after their caller has given up. */
  lateWrites: number;
  /** Largest one-way latency, in ms. */
  latencyMs: number;
}

/** The platform's objects in memory, with the faults of section 4. */
export class ModelPlatform {
  readonly objects = new Map<string, PlatformObject>();

  readonly faults: ModelPlatformFaults = {
    outage: false,
    lostAnswers: 0,
    lateWrites: 0,
    latencyMs: 5,
  };

  vms: VmEntry[] = [];

  /** Told of each write, before any watch. */
  onWrite: ((object: PlatformObject) => void) | undefined;

  readonly #watchers = new Set<(event: PlatformEvent) => void>();

  #version = 0;

  write(key: string, value: unknown, { ifVersion, operationId = '' }: WriteOptions): WriteResult {
    const version = this.objects.get(key)?.version ?? 0;
    if (ifVersion !== undefined && ifVersion !== version) return { status: 'conflict', version };
    this.#version += 1;
    // Values travel as JSON; a copy keeps nodes from sharing memory.
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

/** What connects a node to the platform. */
export interface ModelPlatformLink {
  /** Time of the model; runs on while the node is paused. */
  readonly clock: Clock;
  readonly random: Random;
  /** Whether the node can reach the platform now. */
  readonly isConnected: () => boolean;
  /** Runs `callback` when the node runs: later when it is paused, never when it has ended. */
  readonly deliver: (callback: () => void) => void;
}

/** The platform as one incarnation of a node sees it. */
export const connectToPlatform = (
  platform: ModelPlatform,
  { clock, random, isConnected, deliver }: ModelPlatformLink,
): PlatformClient => {
  const latencyMs = () => random() * platform.faults.latencyMs;
  const reaches = () => isConnected() && !platform.faults.outage;

  /** Resolves to what `work` returned at the platform, or to undefined when no answer arrives in time. */
  const call = <T>(work: () => T, isAnswered: () => boolean = () => true): Promise<T | undefined> =>
    new Promise((resolve) => {
      const fail = () => clock.schedule(CALL_TIMEOUT_MS, () => deliver(() => resolve(undefined)));
      clock.schedule(latencyMs(), () => {
        if (!reaches()) {
          fail();
          return;
        }
        const result = work();
        if (!isAnswered()) {
          fail();
          return;
        }
        clock.schedule(latencyMs(), () => {
          if (reaches()) deliver(() => resolve(result));
          else fail();
        });
      });
    });
  const read = async <T>(work: () => T): Promise<T> => {
    const result = await call(() => ({ value: work() }));
    if (result === undefined) throw new PlatformError('no answer');
    return result.value;
  };
  const change = async (work: () => WriteResult, operationId = ''): Promise<WriteResult> => {
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
      change(() => platform.write(key, value, options), options.operationId),
    remove: (key) =>
      change(() => {
        platform.objects.delete(key);
        return { status: 'written', version: 0 };
      }),
    watch: (prefix, onEvent) =>
      platform.watch((event) => {
        if (!event.object.key.startsWith(prefix)) return;
        clock.schedule(latencyMs(), () => {
          if (reaches()) deliver(() => onEvent(event));
        });
      }),
  };
};
