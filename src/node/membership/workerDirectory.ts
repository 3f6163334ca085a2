import { create } from '@bufbuild/protobuf';
import {
  type WorkerSign,
  WorkerSignSchema,
  WorkerSignSource,
} from '../../gen/hyssoppulley/v1/peer_pb.ts';
import type { Clock } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import {
  SIGN_GOSSIP_MS,
  type SignSource,
  usableWorkers,
  type WorkerChoice,
  type WorkerFailureKind,
  WorkerHealth,
  type WorkerObservation,
} from '../decisions/workerHealth.ts';
import type { Logger } from '../observability/logger.ts';
import type { PlatformClient, VmEntry } from '../platform/platformClient.ts';
import type { ResolvedPool } from '../tables/resolveTables.ts';
import { splitAddress } from './splitAddress.ts';
import type { Drains } from './drains.ts';
import type { TablesView, WorkerEndpoint } from './membershipView.ts';

/** Maximum number of out-of-service workers probed per period. */
const MAX_PROBES = 8;

/** Maximum number of worker signs (reports whether a worker is leaving) per heartbeat, about 30 bytes each. */
const MAX_SIGNS = 8;

const SOURCE_TO_WIRE: Record<SignSource, WorkerSignSource> = {
  'vm-list': WorkerSignSource.VM_LIST,
  'load-report': WorkerSignSource.LOAD_REPORT,
};

const SOURCE_FROM_WIRE = new Map<WorkerSignSource, SignSource>([
  [WorkerSignSource.VM_LIST, 'vm-list'],
  [WorkerSignSource.LOAD_REPORT, 'load-report'],
]);

const VM_STATE_RANK: Record<VmEntry['state'], number> = { live: 0, leaving: 1, gone: 2 };

export interface WorkerDirectoryOptions {
  readonly platform: PlatformClient;
  readonly tables: TablesView;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** State that a worker reports about itself. */
export type ReportedState = 'ready' | 'loading' | 'leaving' | 'failed';

/** Requests the state of a worker; rejects when the worker does not respond. */
export type WorkerStateReader = (
  pool: ResolvedPool,
  worker: WorkerEndpoint,
) => Promise<ReportedState>;

/** Workers of each pool with their state, combined from the VM list, load reports, failed requests and drains. */
export class WorkerDirectory {
  readonly #options: WorkerDirectoryOptions;

  readonly #drains: Drains;

  readonly #health = new WorkerHealth();

  /** Set once the data path exists; until then no worker is probed. */
  stateReader: WorkerStateReader | undefined;

  #vms: readonly VmEntry[] = [];

  /** Usable workers by pool. Valid for `#cacheRevision` and cleared at every change of state. */
  readonly #cache = new Map<string, readonly WorkerEndpoint[]>();

  #cacheRevision = 0;

  constructor(options: WorkerDirectoryOptions, drains: Drains) {
    this.#options = options;
    this.#drains = drains;
  }

  /** Workers of a pool that may receive new work. */
  workersOf(poolName: string): readonly WorkerEndpoint[] {
    const revision = this.#options.tables.current()?.revision ?? 0;
    if (revision !== this.#cacheRevision) {
      this.#cacheRevision = revision;
      this.#applyVmList();
      this.invalidateCache();
    }
    const cached = this.#cache.get(poolName);
    if (cached) return cached;
    const workers = usableWorkers(this.statesOf(poolName));
    if (this.#pool(poolName)) this.#cache.set(poolName, workers);
    return workers;
  }

  /** All workers of a pool with their state. */
  statesOf(poolName: string): WorkerChoice<WorkerEndpoint>[] {
    const pool = this.#pool(poolName);
    if (pool === undefined) return [];
    return this.#endpoints(pool).map((worker) => ({
      worker,
      state: this.#health.stateOf(worker.address),
      drained: this.#drains.hasWorker(worker.name) || this.#drains.hasWorker(worker.address),
    }));
  }

  reportFailure(address: string, kind: WorkerFailureKind): void {
    this.#health.recordConnectionFailure(address, kind);
    this.invalidateCache();
  }

  /** Applies the state of a load report. An engine in state `failed` is reachable, as it responds, but gets no work. */
  reportState(address: string, state: ReportedState): void {
    this.#health.recordResponse(address);
    this.#observe({
      address,
      source: 'load-report',
      leaving: state === 'leaving' || state === 'failed',
      observedMs: this.#options.clock.monotonicMs(),
    });
    this.invalidateCache();
  }

  /** Reads the VM list. During an outage of the platform the last list stays in use. */
  async refreshVms(): Promise<void> {
    const { platform, logger } = this.#options;
    try {
      const vms = await platform.listVms();
      if (vms.length === 0 && this.#vms.length > 0) {
        // An empty list is a fault of the platform: the node that reads it runs on one of the VMs.
        logger.warn('vm-list-empty', { kept: this.#vms.length });
        return;
      }
      this.#vms = vms;
      this.#applyVmList();
      this.invalidateCache();
    } catch (error) {
      logger.warn('vm-list-failed', { message: messageOf(error) });
    }
  }

  /** Probes workers that are out of service, and removes obsolete health records. */
  async probe(): Promise<void> {
    if (this.#health.size === 0) return;
    const nowMs = this.#options.clock.monotonicMs();
    const workers = this.#workersByAddress();
    this.#health.sweep(nowMs, (address) => workers.has(address));
    const { stateReader } = this;
    if (stateReader === undefined) return;
    const probes = this.#health.selectForProbing(nowMs, MAX_PROBES).map(async (address) => {
      const found = workers.get(address);
      if (!found) return;
      try {
        this.reportState(address, await stateReader(found.pool, found.worker));
      } catch {
        // No response: the worker stays out of service.
      }
    });
    await Promise.all(probes);
  }

  signsToSend(): WorkerSign[] {
    const nowMs = this.#options.clock.monotonicMs();
    return this.#health
      .signsToSend(nowMs, MAX_SIGNS)
      .map(({ address, source, leaving, observedMs }) =>
        create(WorkerSignSchema, {
          address,
          source: SOURCE_TO_WIRE[source],
          leaving,
          ageMs: Math.max(0, Math.round(nowMs - observedMs)),
        }),
      );
  }

  learnSigns(signs: readonly WorkerSign[]): void {
    if (signs.length === 0) return;
    const nowMs = this.#options.clock.monotonicMs();
    const known = this.#workersByAddress();
    for (const { address, source: wireSource, leaving, ageMs } of signs.slice(0, MAX_SIGNS)) {
      const source = SOURCE_FROM_WIRE.get(wireSource);
      if (source === undefined || ageMs >= SIGN_GOSSIP_MS || !known.has(address)) continue;
      this.#observe({ address, source, leaving, observedMs: nowMs - ageMs });
    }
    this.invalidateCache();
  }

  /** Makes the next `workersOf` select the usable workers again. */
  invalidateCache(): void {
    this.#cache.clear();
  }

  #observe(observation: WorkerObservation): void {
    if (!this.#health.observe(observation)) return;
    const { address, source, leaving } = observation;
    this.#options.logger.info(leaving ? 'worker-leaving' : 'worker-back', { address, source });
  }

  #pool(poolName: string): ResolvedPool | undefined {
    return this.#options.tables.current()?.pools.get(poolName);
  }

  #endpoints({ workers, fromVmList }: ResolvedPool): readonly WorkerEndpoint[] {
    if (fromVmList === undefined) return workers;
    return this.#vms
      .filter(({ label, state }) => label === fromVmList.label && state !== 'gone')
      .map(({ name, address, availabilityZone }) => ({
        name,
        address: `${address.includes(':') ? `[${address}]` : address}:${fromVmList.port}`,
        availabilityZone,
      }));
  }

  #workersByAddress(): Map<string, { pool: ResolvedPool; worker: WorkerEndpoint }> {
    const pools = [...(this.#options.tables.current()?.pools.values() ?? [])];
    return new Map(
      pools.flatMap((pool) =>
        this.#endpoints(pool).map((worker) => [worker.address, { pool, worker }] as const),
      ),
    );
  }

  /** Derives one observation per worker from the VM list. A worker whose VM is not listed gets none. */
  #applyVmList(): void {
    const observedMs = this.#options.clock.monotonicMs();
    const byName = new Map(this.#vms.map((vm) => [vm.name, vm]));
    // When an address was reassigned to a new VM, the live VM takes precedence.
    const byAddress = new Map<string, VmEntry>();
    for (const vm of this.#vms) {
      const existing = byAddress.get(vm.address);
      if (!existing || VM_STATE_RANK[vm.state] < VM_STATE_RANK[existing.state]) {
        byAddress.set(vm.address, vm);
      }
    }
    for (const pool of this.#options.tables.current()?.pools.values() ?? []) {
      for (const { name, address } of this.#endpoints(pool)) {
        const { host } = splitAddress(address);
        const vmWithName = byName.get(name);
        const vm = vmWithName?.address === host ? vmWithName : byAddress.get(host);
        if (!vm) continue;
        this.#observe({
          address,
          source: 'vm-list',
          leaving: vm.state !== 'live',
          observedMs,
        });
      }
    }
  }
}
