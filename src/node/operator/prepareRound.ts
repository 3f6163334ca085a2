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
import { forEachLimited } from '../../shared/forEachLimited.ts';
import type { ConfigurationPeers } from './configurationPeers.ts';
import { CONFIRMATIONS_PREFIX, MAX_CONCURRENT_CALLS } from './constants.ts';

export interface PrepareRoundOptions {
  readonly platform: PlatformClient;
  readonly self: Coordinator;
  readonly configuration: Configuration;
  readonly peers: ConfigurationPeers;
  readonly proposal: Proposal;
  /** Version of the head that contains the proposal. */
  readonly headVersion: number;
  /** Time since this node last heard from another node, at most this node's uptime, in ms. */
  readonly lastHeardMs: (nodeName: string) => number;
}

interface RegisteredNode {
  readonly name: string;
  readonly identity: NodeIdentity;
  /** Whether the node has deregistered or its VM is gone. */
  readonly left: boolean;
}

/** Value of a platform object in which a node confirms or refuses a proposal. */
interface WrittenConfirmation {
  readonly confirmed: boolean;
  readonly reason: string;
  readonly headVersion: number;
}

/** Treats an unreadable registration as an unresponsive node, which may still serve and is named in a refusal. */
const readRegistration = (object: PlatformObject) =>
  parseRegistration(object) ?? {
    identity: create(NodeIdentitySchema, { name: object.key.slice(NODES_PREFIX.length) }),
    deregistered: false,
  };

/** Prepare phase of one proposal: asks the registered nodes to confirm it and keeps their votes between rounds. */
export class PrepareRound {
  readonly #options: PrepareRoundOptions;

  /** By node name. */
  readonly #votes = new Map<string, PrepareParticipant['answer']>();

  /** Names of the nodes that had not responded by the end of the last round. */
  #unresponsive: readonly string[] = [];

  /** Confirmations found on the platform, for this and for earlier operations. */
  #confirmations: readonly PlatformObject[] = [];

  constructor(options: PrepareRoundOptions) {
    this.#options = options;
  }

  /** Reads the registered nodes. A node whose VM is gone counts as left, provided that the VM list can be read. */
  static async readNodes(platform: PlatformClient): Promise<readonly RegisteredNode[]> {
    const registrations = (await platform.list(NODES_PREFIX)).map(readRegistration);
    const vms = await platform.listVms().catch(() => []);
    return registrations.map(({ identity, deregistered }) => ({
      name: identity.name,
      identity,
      left: deregistered || isVmGone(identity, vms),
    }));
  }

  /**
   * Runs one round: asks the nodes that have not voted. If only one node is unresponsive and its right to serve may
   * have expired, asks every node when it last heard from that node.
   *
   * @param ageMs - returns a lower bound on the current age of the proposal in the head, in ms
   */
  async run(timing: PrepareTiming, ageMs: () => number): Promise<PrepareDecision> {
    let nodes: readonly RegisteredNode[];
    try {
      nodes = await PrepareRound.readNodes(this.#options.platform);
    } catch {
      if (ageMs() < timing.prepareTimeoutMs) return { kind: 'wait', silent: this.#unresponsive };
      return { kind: 'refuse', reason: 'the list of nodes could not be read', nodes: [] };
    }
    const askEveryNode =
      this.#unresponsive.length === 1 &&
      timing.proposalAgeMs >= timing.isolationMs + timing.isolationMarginMs;
    const asked = nodes.filter(
      ({ name, left }) => !left && (askEveryNode || this.#votes.get(name)?.kind !== 'answered'),
    );
    await forEachLimited(asked, MAX_CONCURRENT_CALLS, (node) => this.#ask(node));
    this.#confirmSelf();
    if (this.#hasUnresponsive()) await this.#readConfirmations();
    const decision = evaluatePrepare(this.#participants(nodes), timing);
    this.#unresponsive = decision.kind === 'wait' ? decision.silent : [];
    return decision;
  }

  /** Removes the confirmations that nodes wrote for this and earlier operations. Best effort. */
  async removeConfirmations(): Promise<void> {
    await forEachLimited(this.#confirmations, MAX_CONCURRENT_CALLS, async ({ key }) => {
      await this.#options.platform.remove(key);
    });
  }

  #participants(nodes: readonly RegisteredNode[]): PrepareParticipant[] {
    const { self } = this.#options;
    const listed = nodes.map(({ name, left }): PrepareParticipant => ({
      name,
      answer: left ? { kind: 'left' } : (this.#votes.get(name) ?? { kind: 'silent' }),
    }));
    const ownVote = this.#votes.get(self.name);
    const isListed = listed.some(({ name }) => name === self.name);
    return isListed || ownVote === undefined
      ? listed
      : [...listed, { name: self.name, answer: ownVote }];
  }

  async #ask({ name, identity }: RegisteredNode): Promise<void> {
    const { self, peers, proposal, headVersion } = this.#options;
    if (name === self.name) return;
    const { revision, operationId, digest, tables } = proposal;
    const silentNodes = this.#unresponsive.filter((other) => other !== name);
    try {
      const vote = await peers.prepare(identity, {
        revision,
        operationId,
        digest,
        tables,
        headVersion,
        silentNodes,
      });
      this.#votes.set(name, { kind: 'answered', ...vote });
    } catch {
      const previous = this.#votes.get(name);
      // The confirmation remains valid, but the reported `lastHeardMs` is outdated.
      if (previous?.kind === 'answered') this.#votes.set(name, { ...previous, lastHeardMs: {} });
    }
  }

  #confirmSelf(): void {
    const { self, configuration, proposal, headVersion, lastHeardMs } = this.#options;
    const vote = configuration.prepare(proposal, headVersion);
    const heard = this.#unresponsive.map((name) => [name, lastHeardMs(name)]);
    this.#votes.set(self.name, {
      kind: 'answered',
      ...vote,
      lastHeardMs: Object.fromEntries(heard) as Record<string, number>,
    });
  }

  #hasUnresponsive(): boolean {
    return this.#unresponsive.length > 0;
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
      if (version === headVersion && !this.#votes.has(name)) {
        this.#votes.set(name, { kind: 'wrote', confirmed, reason });
      }
    }
  }
}
