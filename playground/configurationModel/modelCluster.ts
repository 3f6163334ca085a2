import type { ConfigurationHead } from '../../src/node/decisions/configurationHead.ts';
import type {
  ApplyOutcome,
  ApplyRequest,
} from '../../src/node/operator/configurationCoordinator.ts';
import { type Random, seededRandom } from '../../src/shared/random.ts';
import { VirtualClock } from '../../src/shared/virtualClock.ts';
import { ModelNode, type ModelVariant } from './modelNode.ts';
import { connectToPlatform, ModelPlatform } from './modelPlatform.ts';
import { ModelVm } from './modelVm.ts';

const PEER_TIMEOUT_MS = 1000;

/** Timeout of an operator's call, in ms; longer than a coordinator ever takes. */
const OPERATOR_TIMEOUT_MS = 45_000;

const OPERATOR_WAIT_MS = 16_000;

/** Target time within which an accepted change must be in force on every node, in ms. */
export const IN_FORCE_TARGET_MS = 16_000;

/** A change made by an operator, with the final outcome that the operator was told. */
export interface ModelChange {
  readonly operationId: string;
  readonly ifRevision?: number;
  outcome?: ApplyOutcome;
}

/**
 * Runs several nodes, the platform and operators in virtual time and checks the guarantees for configuration changes:
 * no node goes back to an older revision, serves a revision that was not accepted, or serves an old revision for longer
 * than `IN_FORCE_TARGET_MS`; each operation is accepted at most once, and its reported outcome is correct.
 */
export class ModelCluster {
  readonly clock = new VirtualClock();

  readonly platform = new ModelPlatform();

  readonly changes: ModelChange[] = [];

  /** Descriptions of the violated guarantees. */
  readonly violations: string[] = [];

  /** Maximum time for which a node has served an old revision, in ms. */
  longestStaleMs = 0;

  /** Whether all faults have ended; no further fault begins. */
  healed = false;

  /** Operation id of each accepted revision. */
  readonly accepted = new Map<number, string>();

  readonly #vms: readonly ModelVm[];

  readonly #random: Random;

  readonly #variant: ModelVariant;

  readonly #peerLatencyMs: number;

  constructor(size: number, seed: number, peerLatencyMs: number, variant: ModelVariant = {}) {
    this.#random = seededRandom(seed);
    this.#variant = variant;
    this.#peerLatencyMs = peerLatencyMs;
    this.#vms = Array.from({ length: size }, (_, index) => new ModelVm(`n${index}`));
    this.platform.onWrite = ({ key, value }) => {
      if (key === 'config/head') this.#onHead(value as ConfigurationHead);
    };
    for (const vm of this.#vms) {
      this.platform.write(`nodes/${vm.name}`, { name: vm.name, host: vm.name }, {});
      this.start(vm.name);
    }
    this.#checkPeriodically();
  }

  get names(): readonly string[] {
    return this.#vms.map(({ name }) => name);
  }

  start(name: string): void {
    const vm = this.#findVm(name);
    if (vm.node) return;
    vm.starts += 1;
    const { starts } = vm;
    const deliver = (callback: () => void) => vm.deliver(starts, callback);
    const random = this.#random;
    vm.node = new ModelNode({
      name,
      incarnation: `${name}-${vm.starts}`,
      clock: {
        nowMs: () => this.clock.nowMs(),
        monotonicMs: () => this.clock.monotonicMs(),
        schedule: (delayMs, callback) => this.clock.schedule(delayMs, () => deliver(callback)),
      },
      random,
      platform: connectToPlatform(this.platform, {
        clock: this.clock,
        random,
        isConnected: () => vm.reachesPlatform,
        deliver,
      }),
      network: { names: this.names, call: (target, work) => this.#call(vm, deliver, target, work) },
      variant: this.#variant,
      onRevision: (revision) => this.#onRevision(vm, revision),
    });
    void vm.node.start();
  }

  kill(name: string): void {
    const vm = this.#findVm(name);
    vm.node = undefined;
    vm.paused = false;
    vm.queue.length = 0;
    for (const ended of vm.onEnd.splice(0)) ended();
  }

  pause(name: string): void {
    if (this.#findVm(name).node) this.#findVm(name).paused = true;
  }

  resume(name: string): void {
    const vm = this.#findVm(name);
    vm.paused = false;
    for (const callback of vm.queue.splice(0)) callback();
  }

  /** Assigns a VM to a partition group and sets whether it can reach the platform. */
  setConnectivity(name: string, group: number, reachesPlatform: boolean): void {
    Object.assign(this.#findVm(name), { group, reachesPlatform });
  }

  /** Applies a change through a node. While the result is unknown, repeats it with the same id at the next node. */
  async apply(name: string, operationId: string, useIfRevision: boolean): Promise<void> {
    const ifRevision = useIfRevision ? (this.#findVm(name).node?.revision ?? 0) : undefined;
    const change: ModelChange = { operationId, ifRevision };
    this.changes.push(change);
    const tables = { pools: [{ name: operationId, protocol: 'PROTOCOL_PLAIN_SERVICE' }] };
    let index = this.names.indexOf(name);
    for (let repeatedCall = false; ; repeatedCall = true) {
      const request = { operationId, ifRevision, digest: operationId, tables, repeatedCall };
      const outcome = await this.#callOperator(this.#vms[index % this.#vms.length], request);
      if (outcome && outcome.result !== 'unknown') {
        change.outcome = outcome;
        return;
      }
      index += 1;
      await this.#wait(1000);
    }
  }

  /** Ends all faults. */
  heal(): void {
    this.healed = true;
    Object.assign(this.platform.faults, { outage: false, lostAnswers: 0, lateWrites: 0 });
    for (const { name } of this.#vms) {
      this.setConnectivity(name, 0, true);
      this.resume(name);
      this.start(name);
    }
  }

  /** Checks the final state, once all faults have ended and all changes have an outcome. */
  checkEnd(): void {
    const highest = Math.max(0, ...this.accepted.keys());
    const operations = [...this.accepted.values()];
    for (const { name, node } of this.#vms) {
      if (node?.revision !== highest) this.#report(`${name} ends at revision ${node?.revision}`);
      else if (highest > 0 && !node.mayServe()) this.#report(`${name} may not serve at the end`);
    }
    const bases = new Set<number>();
    for (const { operationId, ifRevision, outcome } of this.changes) {
      const acceptedCount = operations.filter((id) => id === operationId).length;
      if (acceptedCount > 1) this.#report(`${operationId} was accepted ${acceptedCount} times`);
      if (outcome === undefined) this.#report(`${operationId} has no outcome`);
      if (outcome?.result === 'refused' && acceptedCount > 0) {
        this.#report(`${operationId} was refused but took effect: ${outcome.reason}`);
      }
      if (outcome && outcome.result !== 'refused' && acceptedCount === 0) {
        this.#report(`${operationId} was reported as accepted but was not`);
      }
      if (acceptedCount > 0 && ifRevision !== undefined) {
        if (bases.has(ifRevision)) this.#report(`two changes to revision ${ifRevision} won`);
        bases.add(ifRevision);
      }
    }
  }

  #findVm(name: string): ModelVm {
    const vm = this.#vms.find((candidate) => candidate.name === name);
    if (vm === undefined) throw new Error(`no VM ${name}`);
    return vm;
  }

  #report(text: string): void {
    if (this.violations.length < 20) this.violations.push(text);
  }

  #call<T>(
    source: ModelVm,
    deliverToSource: (callback: () => void) => void,
    targetName: string,
    work: (node: ModelNode) => T | Promise<T>,
  ): Promise<T> {
    const target = this.#findVm(targetName);
    return new Promise((resolve, reject) => {
      const timer = this.clock.schedule(PEER_TIMEOUT_MS, () =>
        deliverToSource(() => reject(new Error('no response'))),
      );
      this.clock.schedule(this.#latencyMs(), () => {
        if (source.group !== target.group || target.node === undefined) return;
        const { node } = target;
        target.deliver(target.starts, () => {
          void Promise.resolve(work(node)).then(
            (result) => {
              this.clock.schedule(this.#latencyMs(), () => {
                if (source.group !== target.group) return;
                timer[Symbol.dispose]();
                deliverToSource(() => resolve(result));
              });
            },
            () => {},
          );
        });
      });
    });
  }

  #latencyMs(): number {
    return this.#random() * this.#peerLatencyMs;
  }

  /** Resolves to undefined if the node has ended or the call has timed out. */
  #callOperator(
    vm: ModelVm | undefined,
    request: Omit<ApplyRequest, 'waitMs' | 'signal'>,
  ): Promise<ApplyOutcome | undefined> {
    return new Promise((resolve) => {
      if (vm?.node === undefined) {
        resolve(undefined);
        return;
      }
      const { node } = vm;
      const { starts } = vm;
      const deliver = (callback: () => void) => vm.deliver(starts, callback);
      const cancelled = new AbortController();
      vm.onEnd.push(() => resolve(undefined));
      this.clock.schedule(OPERATOR_TIMEOUT_MS, () => {
        deliver(() => cancelled.abort());
        resolve(undefined);
      });
      const { signal } = cancelled;
      deliver(() => {
        void node.coordinator.apply({ ...request, waitMs: OPERATOR_WAIT_MS, signal }).then(resolve);
      });
    });
  }

  #wait(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.clock.schedule(delayMs, resolve);
    });
  }

  #onHead({ accepted }: ConfigurationHead): void {
    const highest = Math.max(0, ...this.accepted.keys());
    if (accepted === undefined) {
      if (highest > 0) this.#report('the accepted revision was removed');
      return;
    }
    const known = this.accepted.get(accepted.revision);
    if (known === undefined && accepted.revision === highest + 1) {
      this.accepted.set(accepted.revision, accepted.operationId);
    } else if (accepted.revision !== highest || known !== accepted.operationId) {
      this.#report(`revision ${accepted.revision} was accepted over revision ${highest}`);
    }
  }

  #onRevision(vm: ModelVm, revision: number): void {
    if (revision < vm.highestRevision) {
      this.#report(`${vm.name} went from revision ${vm.highestRevision} to ${revision}`);
    }
    // eslint-disable-next-line no-param-reassign
    vm.highestRevision = Math.max(vm.highestRevision, revision);
    if (!this.accepted.has(revision)) {
      this.#report(`${vm.name} serves revision ${revision}, which was not accepted`);
    }
  }

  #checkPeriodically(): void {
    this.#checkNodes();
    this.clock.schedule(250, () => this.#checkPeriodically());
  }

  #checkNodes(): void {
    const nowMs = this.clock.monotonicMs();
    for (const vm of this.#vms) {
      if (this.#servesOldRevision(vm)) {
        vm.staleSinceMs ??= nowMs;
        const staleMs = nowMs - vm.staleSinceMs;
        this.longestStaleMs = Math.max(this.longestStaleMs, staleMs);
        if (staleMs > IN_FORCE_TARGET_MS) {
          this.#report(`${vm.name} has served old revision ${vm.node?.revision} for ${staleMs} ms`);
        }
      } else {
        vm.staleSinceMs = undefined;
      }
    }
  }

  /**
   * Whether a node serves an old revision although it can learn of a newer accepted one, from a running node that
   * serves it or from the platform. If the platform fails before any surviving node has learned of the revision, nodes
   * may keep serving the old one.
   */
  #servesOldRevision({ node, paused, reachesPlatform }: ModelVm): boolean {
    if (!node || paused || !node.mayServe()) return false;
    const { revision } = node;
    if (revision === Math.max(0, ...this.accepted.keys())) return false;
    const isServed = this.#vms.some((other) => (other.node?.revision ?? 0) > revision);
    return isServed || (reachesPlatform && !this.platform.faults.outage);
  }
}
