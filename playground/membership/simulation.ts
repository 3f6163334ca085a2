import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { Subject } from 'rxjs';
import {
  type HeartbeatRequest,
  HeartbeatRequestSchema,
  type HeartbeatResponse,
  HeartbeatResponseSchema,
  NodeIdentitySchema,
} from '../../src/gen/hyssoppulley/v1/peer_pb.ts';
import { Protocol, TablesSchema } from '../../src/gen/hyssoppulley/v1/tables_pb.ts';
import { type Random, seededRandom } from '../../src/shared/random.ts';
import { VirtualClock } from '../../src/shared/virtualClock.ts';
import { ServingLease } from '../../src/node/decisions/servingLease.ts';
import { Membership } from '../../src/node/membership/membership.ts';
import type { TablesView } from '../../src/node/membership/membershipView.ts';
import { silentLogger } from '../../src/node/observability/logger.ts';
import { resolveSettings } from '../../src/node/settings/resolveSettings.ts';
import { NodeSettingsSchema } from '../../src/gen/hyssoppulley/v1/settings_pb.ts';
import { resolveTables } from '../../src/node/tables/resolveTables.ts';
import { InMemoryPlatform } from '../inMemoryPlatform.ts';
import { PausableClock } from './pausableClock.ts';

/** Port of the first simulated node; the ports of the others follow. */
const FIRST_PORT = 10_000;

/** The default timing settings of a node. */
const TIMING = resolveSettings(create(NodeSettingsSchema)).timing;

/** Name of the only pool in the simulated tables. */
export const POOL = 'triage-lm';

/** One simulated node process. */
export interface SimulatedNode {
  readonly name: string;
  readonly port: number;
  readonly clock: PausableClock;
  readonly membership: Membership;
}

/** Faults of the simulated network. */
export interface NetworkFaults {
  lossFraction: number;
  duplicateFraction: number;
  /** Maximum delay of a message, in ms. */
  maxDelayMs: number;
}

export interface SimulationOptions {
  readonly seed: number;
  readonly nodeCount: number;
  /** Addresses of the pool's workers. */
  readonly workers?: readonly string[];
  /** Removes worker signs from heartbeats, so that each node relies on its own observations. @default false */
  readonly dropWorkerSigns?: boolean;
  /** Removes peer digests and doubts from heartbeats, so that only direct exchanges count. @default false */
  readonly dropGossip?: boolean;
}

/** Runs the `Membership` of several nodes in virtual time, connected by a network with faults. */
export class Simulation {
  readonly clock = new VirtualClock();

  readonly platform = new InMemoryPlatform();

  readonly faults: NetworkFaults = { lossFraction: 0, duplicateFraction: 0, maxDelayMs: 5 };

  /** Running processes by port. */
  readonly nodes = new Map<number, SimulatedNode>();

  /** Pairs of ports that cannot reach each other, as `lower-higher`. */
  readonly cutLinks = new Set<string>();

  /** Total payload of all sent messages, in bytes. */
  sentBytes = 0;

  sentMessages = 0;

  largestMessageBytes = 0;

  readonly #options: SimulationOptions;

  readonly #random: Random;

  readonly #tables: TablesView;

  #incarnations = 0;

  constructor(options: SimulationOptions) {
    this.#options = options;
    this.#random = seededRandom(options.seed);
    const workers = (options.workers ?? []).map((address) => ({
      name: `worker-${address}`,
      address,
    }));
    const pools = [{ name: POOL, protocol: Protocol.MODEL_ENGINE, workers }];
    const tables = resolveTables(create(TablesSchema, { pools }), 1);
    this.#tables = { current: () => tables, changes$: new Subject() };
  }

  /** Starts all nodes, one after another. */
  async start(): Promise<void> {
    for (let index = 0; index < this.#options.nodeCount; index += 1) {
      await this.startNode(FIRST_PORT + index);
    }
  }

  get ports(): number[] {
    return Array.from({ length: this.#options.nodeCount }, (_, index) => FIRST_PORT + index);
  }

  get running(): SimulatedNode[] {
    return [...this.nodes.values()].filter(({ clock }) => !clock.paused);
  }

  /** Starts a node. A process that already runs on the port is killed without notice to its peers. */
  async startNode(port: number): Promise<SimulatedNode> {
    this.kill(port);
    this.#incarnations += 1;
    const clock = new PausableClock(this.clock);
    const name = `node-${port}`;
    // The random prefix makes the order of the ids independent of the order of the incarnations.
    const salt = Math.floor(this.#random() * 2 ** 32).toString(16);
    const self = create(NodeIdentitySchema, {
      name,
      incarnation: `${salt.padStart(8, '0')}${String(this.#incarnations).padStart(8, '0')}`,
      host: '127.0.0.1',
      callerPort: port,
      peerPort: port,
      region: 'pl-central',
      availabilityZone: `zone-${port % 4}`,
    });
    const membership = new Membership({
      self,
      timing: TIMING,
      seedPeers: this.ports.filter((other) => other !== port).map((other) => `127.0.0.1:${other}`),
      platform: this.platform,
      tables: this.#tables,
      send: (target, request) => this.#send(clock, port, target.peerPort, request),
      servingLease: new ServingLease(TIMING.isolationMs),
      clock,
      random: this.#random,
      logger: silentLogger,
      heldLeases: () => [],
      preparedRevision: () => 0,
      onPeerAhead() {},
    });
    const node: SimulatedNode = { name, port, clock, membership };
    this.nodes.set(port, node);
    const started = membership.start();
    await this.clock.advanceAsync(this.platform.outage ? 2 * TIMING.peerTimeoutMs : 10);
    void started;
    return node;
  }

  kill(port: number): void {
    const node = this.nodes.get(port);
    if (!node) return;
    node.clock.ended = true;
    void node.membership[Symbol.asyncDispose]();
    this.nodes.delete(port);
  }

  cutLink(left: number, right: number): void {
    this.cutLinks.add([left, right].sort((a, b) => a - b).join('-'));
  }

  #isCut(left: number, right: number): boolean {
    return this.cutLinks.has([left, right].sort((a, b) => a - b).join('-'));
  }

  #send(
    clock: PausableClock,
    fromPort: number,
    toPort: number,
    request: HeartbeatRequest,
  ): Promise<HeartbeatResponse> {
    return new Promise((resolve, reject) => {
      const timer = clock.schedule(TIMING.peerTimeoutMs, () =>
        reject(new Error('heartbeat timed out')),
      );
      const answer = (bytes: Uint8Array) =>
        this.#deliver(toPort, fromPort, bytes, () => {
          clock.whenRunning(() => {
            timer[Symbol.dispose]();
            resolve(this.#filter(fromBinary(HeartbeatResponseSchema, bytes)));
          });
        });
      const bytes = toBinary(HeartbeatRequestSchema, request);
      this.#deliver(fromPort, toPort, bytes, () => {
        const target = this.nodes.get(toPort);
        if (!target) {
          reject(new Error('connection refused'));
          return;
        }
        target.clock.whenRunning(() => {
          const received = this.#filter(fromBinary(HeartbeatRequestSchema, bytes));
          answer(toBinary(HeartbeatResponseSchema, target.membership.heartbeat(received)));
        });
      });
    });
  }

  #deliver(from: number, to: number, bytes: Uint8Array, arrive: () => void): void {
    const { lossFraction, duplicateFraction, maxDelayMs } = this.faults;
    this.sentBytes += bytes.length;
    this.sentMessages += 1;
    this.largestMessageBytes = Math.max(this.largestMessageBytes, bytes.length);
    if (this.#isCut(from, to) || this.#random() < lossFraction) return;
    const copies = this.#random() < duplicateFraction ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      this.clock.schedule(this.#random() * maxDelayMs, arrive);
    }
  }

  #filter<T extends HeartbeatRequest | HeartbeatResponse>(message: T): T {
    const { dropWorkerSigns, dropGossip } = this.#options;
    return {
      ...message,
      ...(dropWorkerSigns ? { workerSigns: [] } : {}),
      ...(dropGossip ? { changed: [], doubts: [] } : {}),
    };
  }
}
