import { create } from '@bufbuild/protobuf';
import { type DrainList, DrainListSchema } from '../../gen/hyssoppulley/v1/peer_pb.ts';
import { BaseError } from '../../shared/errors.ts';
import { newId } from '../../shared/random.ts';
import type { PlatformClient, PlatformObject } from '../platform/platformClient.ts';

/** Key of the platform object that holds the drained workers and nodes. */
export const DRAINS_KEY = 'drains/all';

/** Maximum number of names in the drain list; to drain more workers, remove them from the tables. */
const MAX_DRAINED = 4096;

/** Maximum number of attempts at a conditional write, after which the change counts as not stored. */
const MAX_ATTEMPTS = 3;

export type DrainKind = 'worker' | 'node';

/** Thrown when a drain cannot be set. */
export const DrainError = BaseError.subclass('DrainError');

interface DrainNames {
  readonly version: number;
  readonly workers: readonly string[];
  readonly nodes: readonly string[];
}

/** FNV-1a hash of the names, which distinguishes two lists with the same version. */
const checksumOf = (workers: readonly string[], nodes: readonly string[]): number => {
  let hash = 0x811c9dc5;
  /* eslint-disable no-bitwise */
  for (const character of `${workers.join(',')};${nodes.join(',')}`) {
    hash = Math.imul(hash ^ character.charCodeAt(0), 0x01000193) >>> 0;
  }
  /* eslint-enable no-bitwise */
  return hash;
};

const drainList = (version: number, workers: Iterable<string>, nodes: Iterable<string>) => {
  const sortedWorkers = [...workers].sort();
  const sortedNodes = [...nodes].sort();
  return create(DrainListSchema, {
    version,
    workers: sortedWorkers,
    nodes: sortedNodes,
    checksum: checksumOf(sortedWorkers, sortedNodes),
  });
};

/** Workers and nodes drained by operators. Stored on the platform and spread by heartbeats; the highest version wins. */
export class Drains {
  readonly #platform: PlatformClient;

  readonly #onChange: () => void;

  #list: DrainList = drainList(0, [], []);

  #workers: ReadonlySet<string> = new Set();

  #nodes: ReadonlySet<string> = new Set();

  /** @param onChange - called after each change of the list */
  constructor(platform: PlatformClient, onChange: () => void) {
    this.#platform = platform;
    this.#onChange = onChange;
  }

  hasWorker(name: string): boolean {
    return this.#workers.has(name);
  }

  hasNode(name: string): boolean {
    return this.#nodes.has(name);
  }

  /** The complete list, including the names. */
  get list(): DrainList {
    return this.#list;
  }

  /** Version and checksum without the names, as sent in heartbeats. */
  get summary(): DrainList {
    const { version, checksum } = this.#list;
    return create(DrainListSchema, { version, checksum });
  }

  /** Whether a node with this summary needs the names of this list. */
  hasUpdateFor(summary: DrainList | undefined): boolean {
    return (summary?.version ?? 0) < this.#list.version || this.#conflictsWith(summary);
  }

  /** Whether merging the list with this summary would change this list. */
  needsUpdateFrom(summary: DrainList | undefined): boolean {
    return (summary?.version ?? 0) > this.#list.version || this.#conflictsWith(summary);
  }

  /** Adopts a newer list. Two lists that got the same version during a platform outage are merged into their union. */
  merge(other: DrainNames): void {
    if (other.version < this.#list.version) return;
    if (other.version > this.#list.version) {
      this.#setList(drainList(other.version, other.workers, other.nodes));
      return;
    }
    const workers = new Set([...this.#list.workers, ...other.workers]);
    const nodes = new Set([...this.#list.nodes, ...other.nodes]);
    const merged = drainList(other.version, workers, nodes);
    if (merged.checksum !== this.#list.checksum) this.#setList(merged);
  }

  /** Merges the list of a heartbeat response, which contains names only if this node needs them. */
  mergeResponse(list: DrainList | undefined): void {
    if (list && checksumOf(list.workers, list.nodes) === list.checksum) this.merge(list);
  }

  /** Reads and merges the stored list. @throws PlatformError when no response arrived in time */
  async refresh(): Promise<void> {
    this.#mergeObject(await this.#platform.read(DRAINS_KEY));
  }

  /**
   * Sets or removes a drain. It takes effect on this node at once; `kept` tells whether the platform stored it.
   *
   * @throws DrainError when the list is full
   */
  async set(
    kind: DrainKind,
    name: string,
    drained: boolean,
  ): Promise<{ kept: boolean; version: number }> {
    const operationId = newId();
    let kept = false;
    for (let attempt = 0; attempt < MAX_ATTEMPTS && !kept; attempt += 1) {
      const found = await this.#readAndMerge();
      if (found === 'unreachable') break;
      kept = attempt > 0 && found?.operationId === operationId;
      if (kept) break;
      const next = this.#withChange(kind, name, drained);
      const { version, workers, nodes } = next;
      const ifVersion = found?.version ?? 0;
      const result = await this.#platform.write(
        DRAINS_KEY,
        { version, workers, nodes },
        { ifVersion, operationId },
      );
      if (result.status === 'written') {
        this.#setList(next);
        kept = true;
      }
      // After `conflict` and `unknown` the object is read again; the operation id shows whether the write took effect.
      if (result.status === 'unavailable') break;
    }
    if (!kept) this.#setList(this.#withChange(kind, name, drained));
    return { kept, version: this.#list.version };
  }

  async #readAndMerge(): Promise<PlatformObject | undefined | 'unreachable'> {
    try {
      const found = await this.#platform.read(DRAINS_KEY);
      this.#mergeObject(found);
      return found;
    } catch {
      return 'unreachable';
    }
  }

  #mergeObject(found: PlatformObject | undefined): void {
    if (found !== undefined) this.merge(found.value as DrainNames);
  }

  #withChange(kind: DrainKind, name: string, drained: boolean): DrainList {
    const workers = new Set(this.#list.workers);
    const nodes = new Set(this.#list.nodes);
    const names = kind === 'worker' ? workers : nodes;
    if (drained) names.add(name);
    else names.delete(name);
    if (workers.size + nodes.size > MAX_DRAINED) {
      throw new DrainError(
        `${MAX_DRAINED} names are already drained; undrain some, or remove workers from the tables`,
      );
    }
    return drainList(this.#list.version + 1, workers, nodes);
  }

  #conflictsWith(summary: DrainList | undefined): boolean {
    return (
      summary !== undefined &&
      summary.version === this.#list.version &&
      summary.checksum !== this.#list.checksum
    );
  }

  #setList(list: DrainList): void {
    this.#list = list;
    this.#workers = new Set(list.workers);
    this.#nodes = new Set(list.nodes);
    this.#onChange();
  }
}
