import { fromJson, type JsonObject, toJson } from '@bufbuild/protobuf';
import { type NodeIdentity, NodeIdentitySchema } from '../../gen/hyssoppulley/v1/peer_pb.ts';
import type { Clock } from '../../shared/clock.ts';
import { newId } from '../../shared/random.ts';
import { isLaterIncarnation } from '../decisions/peerTable.ts';
import type { PlatformClient, PlatformObject, ReadOptions } from '../platform/platformClient.ts';

/** Key prefix of node registrations. */
export const NODES_PREFIX = 'nodes/';

/** A registration as stored on the platform: the identity, and whether the node left in a graceful shutdown. */
export interface RegisteredNode {
  readonly identity: NodeIdentity;
  readonly deregistered: boolean;
}

/** Decodes a `nodes/<name>` object; undefined when its value is not a registration. */
export const parseRegistration = (object: PlatformObject): RegisteredNode | undefined => {
  try {
    const { deregistered, ...identity } = object.value as JsonObject;
    return {
      identity: fromJson(NodeIdentitySchema, identity, { ignoreUnknownFields: true }),
      deregistered: deregistered === true,
    };
  } catch {
    return undefined;
  }
};

/** Result of an attempt to register. `replaced`: a later incarnation with the same name is registered. */
export type RegisterResult = 'registered' | 'unreachable' | 'replaced';

/** Reads and writes this node's registration `nodes/<name>`, and lists all nodes. */
export class Registration {
  readonly #platform: PlatformClient;

  readonly #clock: Clock;

  readonly #self: NodeIdentity;

  #version: number | undefined;

  /** Whether the object may exist. Initially false: a new node has none, so the first attempt does not read it. */
  #mayExist = false;

  #hasPredecessor = false;

  constructor(platform: PlatformClient, clock: Clock, self: NodeIdentity) {
    this.#platform = platform;
    this.#clock = clock;
    this.#self = self;
    this.#self.generation = Math.floor(clock.nowMs() / 1000);
  }

  get registered(): boolean {
    return this.#version !== undefined;
  }

  /** Whether an earlier incarnation with this name was registered. */
  get hasPredecessor(): boolean {
    return this.#hasPredecessor;
  }

  /**
   * Raises the generation above that of another incarnation with the same name. Must not be called once another node
   * knows this incarnation.
   */
  supersede(other: NodeIdentity): void {
    this.#self.generation = Math.max(this.#self.generation, other.generation + 1);
  }

  /**
   * Writes this node's registration once.
   *
   * @param maySupersede - whether the generation may be raised, which is allowed until another node knows this
   * incarnation
   */
  async register(maySupersede: boolean): Promise<RegisterResult> {
    const key = `${NODES_PREFIX}${this.#self.name}`;
    const operationId = newId();
    try {
      const found = this.#mayExist ? await this.#platform.read(key) : undefined;
      const previous = found && parseRegistration(found);
      if (previous && previous.identity.incarnation !== this.#self.incarnation) {
        this.#hasPredecessor = true;
        if (maySupersede) this.supersede(previous.identity);
        else if (isLaterIncarnation(previous.identity, this.#self)) return 'replaced';
      }
      const result = await this.#platform.write(key, this.#value(), {
        ifVersion: found?.version ?? 0,
        operationId,
      });
      if (result.status === 'written') this.#version = result.version;
      if (result.status === 'conflict' && !this.#mayExist) {
        this.#mayExist = true;
        return await this.register(maySupersede);
      }
      this.#mayExist = true;
      if (result.status === 'unknown') await this.#resolveUnknownWrite(key, operationId);
      // After a conflict, or without a response, the next attempt reads the object first.
      return this.registered ? 'registered' : 'unreachable';
    } catch {
      return 'unreachable';
    }
  }

  /**
   * Marks the registration as deregistered. The generation stays stored, so that a restarted node is recognized as
   * later.
   */
  async deregister(): Promise<boolean> {
    if (this.#version === undefined) return true;
    const result = await this.#platform.write(
      `${NODES_PREFIX}${this.#self.name}`,
      { ...this.#value(), deregistered: true, deregisteredAtMs: this.#clock.nowMs() },
      { ifVersion: this.#version },
    );
    // `conflict`: a later incarnation has registered and already replaced this one in the list.
    return result.status === 'written' || result.status === 'conflict';
  }

  /** Lists the registered nodes. @throws PlatformError when no response arrived in time */
  async list(options?: ReadOptions): Promise<RegisteredNode[]> {
    const objects = await this.#platform.list(NODES_PREFIX, options);
    return objects.map(parseRegistration).filter((node) => node !== undefined);
  }

  async #resolveUnknownWrite(key: string, operationId: string): Promise<void> {
    const found = await this.#platform.read(key);
    if (found?.operationId === operationId) this.#version = found.version;
  }

  #value(): JsonObject {
    return toJson(NodeIdentitySchema, this.#self) as JsonObject;
  }
}
