import { type Clock, sleep, Stopwatch } from '../../shared/clock.ts';
import { invariant } from '../../shared/invariants.ts';
import type { Random } from '../../shared/random.ts';
import { PLATFORM_MAX_VALUE_BYTES } from '../constants.ts';
import {
  type ChangeRequest,
  resolveConflict,
  type PrepareDecision,
  planProposal,
} from '../decisions/configurationCommit.ts';
import {
  acceptedRevisionOf,
  type ConfigurationHead,
  type Coordinator,
  HEAD_KEY,
  acceptProposal,
  type Proposal,
  type VersionedHead,
} from '../decisions/configurationHead.ts';
import type { Logger } from '../observability/logger.ts';
import { backoffMs } from '../platform/backoff.ts';
import type { PlatformClient, WriteResult } from '../platform/platformClient.ts';
import { writeUntilResolved } from '../platform/writeUntilResolved.ts';
import type { Configuration } from './configuration.ts';
import { forEachLimited } from '../../shared/forEachLimited.ts';
import type { ConfigurationPeers } from './configurationPeers.ts';
import {
  MAX_CONCURRENT_CALLS,
  PLATFORM_TIMEOUT_MS,
  PROPOSAL_SLACK_MS,
  RETRY_INTERVAL_MS,
} from './constants.ts';
import { PrepareRound } from './prepareRound.ts';

/** Result of a change, as reported to the operator. */
export interface ApplyOutcome {
  readonly result: 'in-force' | 'accepted' | 'refused' | 'unknown';
  readonly revision: number;
  readonly reason: string;
  readonly nodesInForce: number;
  readonly nodesTotal: number;
  /** Nodes that did not confirm the proposal, or do not serve the revision yet. */
  readonly missingNodes: readonly string[];
  /** Accepted revision that the change was based on; 0 if there was none or it is unknown. */
  readonly baseRevision: number;
}

/** A change that an operator requests, and how long the operator waits for it. */
export interface ApplyRequest extends ChangeRequest {
  /** Longest time to wait for every node to serve the revision, in ms since the request arrived. */
  readonly waitMs: number;
  /** Whether an earlier call with this operation id may have taken effect. */
  readonly repeatedCall: boolean;
  /**
   * Aborted when the operator no longer waits. The change is then abandoned: a node that was paused must not accept a
   * change whose repetition another node has refused.
   */
  readonly signal?: AbortSignal;
}

export interface CoordinatorOptions {
  readonly platform: PlatformClient;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly self: Coordinator;
  readonly configuration: Configuration;
  readonly peers: ConfigurationPeers;
  readonly timing: { readonly isolationMs: number; readonly isolationMarginMs: number };
  /** Whether the process of a coordinator is known to have ended. @default never */
  readonly hasEnded?: (coordinator: Coordinator) => boolean;
  /** Time since this node last heard from another node, at most this node's uptime, in ms. */
  readonly lastHeardMs: (nodeName: string) => number;
}

const refused = (reason: string, baseRevision = 0, missingNodes: readonly string[] = []) =>
  ({
    result: 'refused',
    revision: 0,
    reason,
    nodesInForce: 0,
    nodesTotal: 0,
    missingNodes,
    baseRevision,
  }) as const satisfies ApplyOutcome;

const unknown = (reason: string, baseRevision = 0): ApplyOutcome => ({
  ...refused(reason, baseRevision),
  result: 'unknown',
});

const sizeReason = ({ tables }: Proposal, sizeBytes: number): string => {
  const ownBytes = Buffer.byteLength(JSON.stringify(tables));
  return (
    `the tables are too large: ${ownBytes} bytes; together with the accepted tables, which are stored with them ` +
    `until the change is in force, ${sizeBytes} of at most ${PLATFORM_MAX_VALUE_BYTES} bytes`
  );
};

/**
 * Coordinates configuration changes as a two-phase commit, see section 7 of docs/design.md. Runs one change at a time
 * and refuses others as a race.
 */
export class ConfigurationCoordinator {
  readonly #options: CoordinatorOptions;

  #running: { readonly operationId: string; readonly outcome: Promise<ApplyOutcome> } | undefined;

  constructor(options: CoordinatorOptions) {
    this.#options = options;
  }

  /** Time after which a proposal that is still in the head counts as abandoned, in ms. */
  get proposalLifetimeMs(): number {
    const { isolationMs, isolationMarginMs } = this.#options.timing;
    return isolationMs + isolationMarginMs + PROPOSAL_SLACK_MS;
  }

  /** Applies a change whose tables have been checked. A repeated call during the change gets the same outcome. */
  async apply(request: ApplyRequest): Promise<ApplyOutcome> {
    const { logger, self } = this.#options;
    for (let running = this.#running; running; running = this.#running) {
      if (running.operationId === request.operationId) return running.outcome;
      if (!request.repeatedCall) {
        return refused(`race: node ${self.name} is applying operation ${running.operationId}`);
      }
      // A repeated call may only be refused once the head shows that the first call can no longer take effect.
      await running.outcome.catch(() => undefined);
    }
    const outcome = this.#apply(request, new Stopwatch(this.#options.clock));
    this.#running = { operationId: request.operationId, outcome };
    try {
      const { result, reason, revision } = await outcome;
      const { operationId } = request;
      logger.info('configuration-apply', { operationId, result, revision, reason });
      return await outcome;
    } finally {
      this.#running = undefined;
    }
  }

  async #apply(request: ApplyRequest, started: Stopwatch): Promise<ApplyOutcome> {
    const seen = await this.#readHead(started);
    if (seen === undefined) {
      return request.repeatedCall
        ? unknown('the platform does not answer, so the result of the first call cannot be read')
        : refused('the platform does not answer; nothing was changed');
    }
    const base = acceptedRevisionOf(seen.head);
    const plan = planProposal(seen.head, request, {
      self: this.#options.self,
      isAbandoned: (proposal) => this.#isAbandoned(proposal, seen.version),
    });
    if (plan.kind === 'refuse') return refused(plan.reason, base);
    if (plan.kind === 'accepted-before') {
      return this.#commitOnNodes(plan.revision, request, started, base, []);
    }
    const { proposal } = plan;
    invariant(proposal.revision === base + 1, 'configuration-revisions-are-consecutive');
    if (request.signal?.aborted) return unknown('the operator no longer waits', base);
    const head = { ...seen.head, proposal };
    const sizeBytes = Buffer.byteLength(JSON.stringify(head));
    if (sizeBytes > PLATFORM_MAX_VALUE_BYTES) return refused(sizeReason(proposal, sizeBytes), base);
    const proposed = await this.#writeHead(
      head,
      seen.version,
      `${request.operationId}/propose/${this.#options.self.incarnation}`,
      started,
    );
    if (proposed.status === 'conflict') return this.#resolveAfterConflict(request, started, base);
    // Only this call could accept the proposal, so the change cannot take effect after a return from here.
    if (proposed.status !== 'written') {
      const detail = proposed.status === 'unavailable' ? `: ${proposed.reason}` : '';
      return request.repeatedCall
        ? unknown(`the proposal could not be written${detail}`, base)
        : refused(`the proposal could not be written${detail}; nothing was changed`, base);
    }
    return this.#prepareAndAccept(request, seen.head, proposal, proposed.version, started);
  }

  async #prepareAndAccept(
    request: ApplyRequest,
    before: ConfigurationHead,
    proposal: Proposal,
    headVersion: number,
    started: Stopwatch,
  ): Promise<ApplyOutcome> {
    const base = proposal.revision - 1;
    const decision = await this.#prepareAll(proposal, headVersion);
    if (decision.kind === 'refuse') {
      await this.#withdraw(before, headVersion, request.operationId);
      return refused(decision.reason, base, decision.nodes);
    }
    const { clock } = this.#options;
    if (request.signal?.aborted) return unknown('the operator no longer waits', base);
    const accepted = await this.#writeHead(
      acceptProposal(before, proposal, clock.nowMs()),
      headVersion,
      `${request.operationId}/accept/${this.#options.self.incarnation}`,
      new Stopwatch(clock),
    );
    if (accepted.status === 'conflict') return this.#resolveAfterConflict(request, started, base);
    if (accepted.status === 'unknown') {
      return unknown('the platform did not report whether the change was accepted', base);
    }
    if (accepted.status === 'unavailable') {
      await this.#withdraw(before, headVersion, request.operationId);
      return refused(
        `the change could not be written as accepted: ${accepted.reason}; nothing was changed`,
        base,
      );
    }
    const skipped = decision.kind === 'accept' ? decision.skipped : [];
    const { configuration } = this.#options;
    configuration.adopt(proposal);
    // `in-force` is only reported once this node has the right to serve, which for a first revision takes a read of
    // the head.
    await configuration.refresh().catch(() => undefined);
    return this.#commitOnNodes(proposal.revision, request, started, base, skipped);
  }

  async #prepareAll(proposal: Proposal, headVersion: number): Promise<PrepareDecision> {
    const { timing } = this.#options;
    const age = new Stopwatch(this.#options.clock);
    const round = new PrepareRound({ ...this.#options, proposal, headVersion });
    for (;;) {
      const decision = await round.run(
        {
          ...timing,
          proposalAgeMs: age.minElapsedMs(),
          prepareTimeoutMs: this.proposalLifetimeMs,
        },
        () => age.minElapsedMs(),
      );
      if (decision.kind !== 'wait') {
        await round.removeConfirmations();
        return decision;
      }
      await sleep(this.#options.clock, RETRY_INTERVAL_MS);
    }
  }

  /** Sends the accepted revision to the nodes until all of them serve it or the operator's wait has expired. */
  async #commitOnNodes(
    revision: number,
    request: ApplyRequest,
    started: Stopwatch,
    base: number,
    skipped: readonly string[],
  ): Promise<ApplyOutcome> {
    const { clock, self, configuration, peers } = this.#options;
    const nodes = await this.#nodesInService(skipped);
    const inForce = new Set<string>();
    for (;;) {
      if (configuration.revisions().acceptedRevision >= revision) inForce.add(self.name);
      else await this.#readHead(started);
      const pending = nodes.filter(({ name }) => !inForce.has(name) && name !== self.name);
      await forEachLimited(pending, MAX_CONCURRENT_CALLS, async (node) => {
        const { operationId } = request;
        const nodeRevision = await peers.commit(node, { revision, operationId }).catch(() => 0);
        if (nodeRevision >= revision) inForce.add(node.name);
      });
      const names = [...new Set([self.name, ...nodes.map(({ name }) => name)])];
      const missingNodes = names.filter((name) => !inForce.has(name));
      const outcome = {
        revision,
        reason: '',
        nodesInForce: inForce.size,
        nodesTotal: names.length,
        missingNodes,
        baseRevision: base,
      };
      if (missingNodes.length === 0) return { ...outcome, result: 'in-force' };
      if (started.elapsedMs() >= request.waitMs) return { ...outcome, result: 'accepted' };
      await sleep(clock, RETRY_INTERVAL_MS);
    }
  }

  async #nodesInService(skipped: readonly string[]) {
    const nodes = await PrepareRound.readNodes(this.#options.platform).catch(() => []);
    return nodes
      .filter(({ left, name }) => !left && !skipped.includes(name))
      .map((n) => n.identity);
  }

  /** Determines the result of the operation after a write failed because the head had another version. */
  async #resolveAfterConflict(
    request: ApplyRequest,
    started: Stopwatch,
    base: number,
  ): Promise<ApplyOutcome> {
    const seen = await this.#readHead(new Stopwatch(this.#options.clock));
    if (seen === undefined) return unknown('the platform stopped answering', base);
    const conflict = resolveConflict(seen.head, request.operationId);
    if (conflict.kind === 'accepted') {
      return this.#commitOnNodes(conflict.revision, request, started, base, []);
    }
    if (conflict.kind === 'taken-over') {
      return unknown('another node has taken over the operation', base);
    }
    return refused(conflict.reason, base);
  }

  async #readHead(started: Stopwatch): Promise<VersionedHead | undefined> {
    const { clock, random, configuration } = this.#options;
    for (let attempt = 1; ; attempt += 1) {
      const seen = await configuration.refresh().catch(() => undefined);
      // The timeout also ends a change whose coordinator was paused before the head was read.
      if (started.elapsedMs() >= PLATFORM_TIMEOUT_MS) return undefined;
      if (seen !== undefined) return seen;
      await sleep(clock, backoffMs(attempt, random));
    }
  }

  #writeHead(
    value: ConfigurationHead,
    ifVersion: number,
    operationId: string,
    started: Stopwatch,
  ): Promise<WriteResult> {
    const { platform, clock, random } = this.#options;
    const limitMs = PLATFORM_TIMEOUT_MS;
    const key = HEAD_KEY;
    return writeUntilResolved({
      platform,
      clock,
      random,
      key,
      value,
      ifVersion,
      operationId,
      started,
      limitMs,
    });
  }

  /** Removes a refused proposal from the head, so that the next change need not wait until it expires. Best effort. */
  async #withdraw(
    before: ConfigurationHead,
    ifVersion: number,
    operationId: string,
  ): Promise<void> {
    const { proposal, ...rest } = before;
    const options = { ifVersion, operationId: `${operationId}/withdraw` };
    await this.#options.platform.write(HEAD_KEY, rest, options);
  }

  #isAbandoned({ coordinator }: Proposal, headVersion: number): boolean {
    const { self, configuration, hasEnded = () => false } = this.#options;
    const isEarlierSelf =
      coordinator.name === self.name && coordinator.incarnation !== self.incarnation;
    return (
      isEarlierSelf ||
      // This coordinator runs one change at a time, so its own proposal in the head is left over from an earlier one.
      coordinator.incarnation === self.incarnation ||
      hasEnded(coordinator) ||
      configuration.proposalAgeMs(headVersion) >= this.proposalLifetimeMs
    );
  }
}
