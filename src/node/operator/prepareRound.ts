import { create } from '@bufbuild/protobuf';
import { type NodeIdentity, NodeIdentitySchema } from '../../gen/hyssoppulley/v1/peer_pb.ts';
import {
  isVmGone,
  evaluatePrepare,
  type PrepareParticipant,
  type PrepareDecision,
  type PrepareTiming,
} from '../decisions/configurationCommit.ts';
import type { Coordinator, Proposal } from '../decisions/configurationHead.ts';
import { NODES_PREFIX, parseRegistration } from '../membership/registration.ts';
import type { PlatformClient, PlatformObject } from '../platform/platformClient.ts';
import type { Configuration } from './configuration.ts';
import { type ConfigurationPeers, forEachLimited } from './configurationPeers.ts';
import { CONFIRMATIONS_PREFIX, MAX_CALLS_AT_ONCE } from './constants.ts';

export interface PrepareRoundOptions {
  readonly platform: PlatformClient;
  readonly self: Coordinator;
  readonly configuration: Configuration;
  readonly peers: ConfigurationPeers;
  readonly proposal: Proposal;
  /** Version of the head that holds the proposal. */
  readonly headVersion: number;
  readonly lastHeardMs: (nodeName: string) => number;
}

interface NodeInService {
  readonly name: string;
  readonly identity: NodeIdentity;
  /** Deregistered, or its VM is gone. */
  readonly left: boolean;
}

interface WrittenConfirmation {
  readonly confirmed: boolean;
  readonly reason: string;
  readonly headVersion: number;
}

/** A registration that cannot be read stands for a node that may serve: it stays silent and is named in a refusal. */
const readRegistration = (object: PlatformObject) =>
  parseRegistration(object) ?? {
    identity: create(NodeIdentitySchema, { name: object.key.slice(NODES_PREFIX.length) }),
    deregistered: false,
  };

/** Asks the registered nodes to confirm one proposal and keeps their answers from round to round. */
export class PrepareRound {
  readonly #options: PrepareRoundOptions;

  readonly #answers = new Map<string, PrepareParticipant['answer']>();

  #silent: readonly string[] = [];

  #confirmations: readonly PlatformObject[] = [];

  constructor(options: PrepareRoundOptions) {
    this.#options = options;
  }

  /** Registered nodes, with the word of the platform's list of VMs where it can be had. */
  static async readNodes(platform: PlatformClient): Promise<readonly NodeInService[]> {
    const registrations = (await platform.list(NODES_PREFIX)).map(readRegistration);
    const vms = await platform.listVms().catch(() => []);
    return registrations.map(({ identity, deregistered }) => ({
      name: identity.name,
      identity,
      left: deregistered || isVmGone(identity, vms),
    }));
  }

  /**
   * Asks the nodes that have not answered. Once the silent node's right may have ended, asks every node when it last
   * heard from it.
   *
   * @param ageMs - time that certainly passed since the proposal was in the head
   */
  async run(timing: PrepareTiming, ageMs: () => number): Promise<PrepareDecision> {
    let nodes: readonly NodeInService[];
    try {
      nodes = await PrepareRound.readNodes(this.#options.platform);
    } catch {
      if (ageMs() < timing.prepareTimeoutMs) return { kind: 'wait', silent: this.#silent };
      return { kind: 'refuse', reason: 'the list of nodes could not be read', nodes: [] };
    }
    const askAgain =
      this.#silent.length === 1 &&
      timing.proposalAgeMs >= timing.isolationMs + timing.isolationMarginMs;
    const asked = nodes.filter(
      ({ name, left }) => !left && (askAgain || this.#answers.get(name)?.kind !== 'answered'),
    );
    await forEachLimited(asked, MAX_CALLS_AT_ONCE, (node) => this.#ask(node));
    this.#confirmSelf();
    if (this.#hasSilent()) await this.#readConfirmations();
    const ruling = evaluatePrepare(this.#prepared(nodes), timing);
    this.#silent = ruling.kind === 'wait' ? ruling.silent : [];
    return ruling;
  }

  /** Removes what nodes wrote for this and for earlier operations. Best effort. */
  async removeConfirmations(): Promise<void> {
    await forEachLimited(this.#confirmations, MAX_CALLS_AT_ONCE, async ({ key }) => {
      await this.#options.platform.remove(key);
    });
  }

  #prepared(nodes: readonly NodeInService[]): PrepareParticipant[] {
    const { self } = this.#options;
    const listed = nodes.map(({ name, left }): PrepareParticipant => ({
      name,
      answer: left ? { kind: 'left' } : (this.#answers.get(name) ?? { kind: 'silent' }),
    }));
    const own = this.#answers.get(self.name);
    const isListed = listed.some(({ name }) => name === self.name);
    return isListed || own === undefined ? listed : [...listed, { name: self.name, answer: own }];
  }

  async #ask({ name, identity }: NodeInService): Promise<void> {
    const { self, peers, proposal, headVersion } = this.#options;
    if (name === self.name) return;
    const { revision, operationId, digest, tables } = proposal;
    const silentNodes = this.#silent.filter((silent) => silent !== name);
    try {
      const answer = await peers.prepare(identity, {
        revision,
        operationId,
        digest,
        tables,
        headVersion,
        silentNodes,
      });
      this.#answers.set(name, { kind: 'answered', ...answer });
    } catch {
      const before = this.#answers.get(name);
      // A confirmation stays valid, but what the node heard earlier says nothing about now.
      if (before?.kind === 'answered') this.#answers.set(name, { ...before, lastHeardMs: {} });
    }
  }

  #confirmSelf(): void {
    const { self, configuration, proposal, headVersion, lastHeardMs } = this.#options;
    const answer = configuration.prepare(proposal, headVersion);
    const heard = this.#silent.map((name) => [name, lastHeardMs(name)]);
    this.#answers.set(self.name, {
      kind: 'answered',
      ...answer,
      lastHeardMs: Object.fromEntries(heard) as Record<string, number>,
    });
  }

  #hasSilent(): boolean {
    return this.#silent.length > 0;
  }

  async #readConfirmations(): Promise<void> {
    const { platform, proposal, headVersion } = this.#options;
    const found = await platform.list(CONFIRMATIONS_PREFIX).catch(() => undefined);
    if (found === undefined) return;
    this.#confirmations = found;
    const prefix = `${CONFIRMATIONS_PREFIX}${proposal.operationId}/`;
    for (const { key, value } of found.filter((object) => object.key.startsWith(prefix))) {
      const { confirmed, reason, headVersion: version } = value as WrittenConfirmation;
      const name = key.slice(prefix.length);
      if (version === headVersion && !this.#answers.has(name)) {
        this.#answers.set(name, { kind: 'wrote', confirmed, reason });
      }
    }
  }
}
