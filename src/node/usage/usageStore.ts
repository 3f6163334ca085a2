import { create, fromJson, type JsonValue, toJson } from '@bufbuild/protobuf';
import { type StoredReport, StoredReportSchema } from '../../gen/hyssoppulley/v1/usage_pb.ts';
import { type Clock, Stopwatch } from '../../shared/clock.ts';
import { newId, type Random } from '../../shared/random.ts';
import type { PlatformClient } from '../platform/platformClient.ts';
import { writeUntilResolved } from '../platform/writeUntilResolved.ts';

/** Key prefix under which reports are stored at the platform. */
export const USAGE_PREFIX = 'usage/';

/** Time limit for storing a report and determining the outcome, in ms; then the next attempt follows. */
const STORE_LIMIT_MS = 1000;

const decodeReport = (value: unknown): StoredReport =>
  fromJson(StoredReportSchema, value as JsonValue, { ignoreUnknownFields: true });

const keyOf = (window: number): string => `${USAGE_PREFIX}${window}`;

export interface UsageStoreOptions {
  readonly platform: PlatformClient;
  readonly clock: Clock;
  readonly random: Random;
}

/**
 * Reports as they are sent, each created once before its first send. Whoever sends a window's report sends the stored
 * counts, so that no two accepted reports differ.
 */
export class UsageStore {
  readonly #options: UsageStoreOptions;

  constructor(options: UsageStoreOptions) {
    this.#options = options;
  }

  /**
   * The reports that are stored, by window.
   *
   * @throws PlatformError when the platform does not respond
   */
  async list(): Promise<Map<number, ReadonlyMap<string, number>>> {
    const objects = await this.#options.platform.list(USAGE_PREFIX);
    return new Map(
      objects.map(({ value }) => {
        const { window, requests } = decodeReport(value);
        return [Number(window), new Map(Object.entries(requests))] as const;
      }),
    );
  }

  /**
   * Stores the report of a window, unless there is one.
   *
   * @returns the stored counts, which may be those of another node; undefined when the outcome is not certain
   * @throws PlatformError when the platform does not respond
   */
  async createOnce(
    window: number,
    counts: ReadonlyMap<string, number>,
  ): Promise<ReadonlyMap<string, number> | undefined> {
    const { platform, clock, random } = this.#options;
    const report = create(StoredReportSchema, {
      window: BigInt(window),
      requests: Object.fromEntries(counts),
      decidedAtMs: BigInt(Math.floor(clock.nowMs())),
    });
    const { status } = await writeUntilResolved({
      ...{ platform, clock, random, key: keyOf(window) },
      ...{ value: toJson(StoredReportSchema, report), ifVersion: 0, operationId: newId() },
      ...{ started: new Stopwatch(clock), limitMs: STORE_LIMIT_MS },
    });
    if (status === 'written') return counts;
    if (status !== 'conflict') return undefined;
    const object = await platform.read(keyOf(window));
    return object && new Map(Object.entries(decodeReport(object.value).requests));
  }

  /** Removes the report of a window; false when that is not certain. */
  async remove(window: number): Promise<boolean> {
    const { status } = await this.#options.platform.remove(keyOf(window));
    return status === 'written' || status === 'conflict';
  }
}
