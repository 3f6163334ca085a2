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
import { writeResolved } from '../platform/resolveUnknown.ts';
import type { Configuration } from './configuration.ts';
import { forEachLimited, type ConfigurationPeers } from './configurationPeers.ts';
import {
  MAX_CALLS_AT_ONCE,
  PLATFORM_LIMIT_MS,
  PROPOSAL_SLACK_MS,
  RETRY_INTERVAL_MS,
} from './constants.ts';
import { PrepareRound } from './prepareRound.ts';

/** What became of a change, as the operator is told. */
export interface ApplyOutcome {
  readonly result: 'in-force' | 'accepted' | 'refused' | 'unknown';
  readonly revision: number;
  readonly reason: string;
  readonly nodesInForce: number;
  readonly nodesTotal: number;
  /** Nodes that did not confirm, or do not serve the revision yet. */
  readonly missingNodes: readonly string[];
  /** Accepted revision that the change was based on; 0: none or not known. */
  readonly baseRevision: number;
}

export interface ApplyRequest extends ChangeRequest {
  /** Longest wait for every node to serve the revision, in ms from the arrival of the request. */
  readonly waitMs: number;
  /** Whether an earlier call with this operation id may have taken effect. */
  readonly repeatedCall: boolean;
  /**
   * Aborted when the operator no longer waits. The change is then not carried on: a node that was paused must not
   * accept a change whose repeat was refused elsewhere.
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
  /** Whether a coordinator is known to have ended. @default never */
  readonly hasEnded?: (coordinator: Coordinator) => boolean;
  /** How long ago this node last heard from another node, at most its own uptime, in ms. */
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

const tooLarge = ({ tables }: Proposal, sizeBytes: number): string => {
  const ownBytes = Buffer.byteLength(JSON.stringify(tables));
  return (
    `the tables are too large: ${ownBytes} bytes; together with the accepted tables, which are kept beside them ` +
    `until the change is in force, ${sizeBytes} of at most ${PLATFORM_MAX_VALUE_BYTES} bytes`
  );
};

/** Carries out changes of the configuration: section 7. One change at a time; others are refused as a race. */
export class ConfigurationCoordinator {
  readonly #options: CoordinatorOptions;

  #running: { readonly operationId: string; readonly outcome: Promise<ApplyOutcome> } | undefined;

  constructor(options: CoordinatorOptions) {
    this.#options = options;
  }

  /** Time in ms after which a proposal that is still in the head counts as abandoned. */
  get proposalLifetimeMs(): number {
    const { isolationMs, isolationMarginMs } = this.#options.timing;
    return isolationMs + isolationMarginMs + PROPOSAL_SLACK_MS;
  }

  /** Carries out a change of checked tables. A repeat while the change runs gets the same outcome. */
  async apply(request: ApplyRequest): Promise<ApplyOutcome> {
    const { logger, self } = this.#options;
    for (let running = this.#running; running; running = this.#running) {
      if (running.operationId === request.operationId) return running.outcome;
      if (!request.repeatedCall) {
        return refused(`race: node ${self.name} is applying operation ${running.operationId}`);
      }
      // A repeat is only refused once the head shows that its first call cannot take effect any more.
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
        ? unknown('the platform does not answer, so the first result cannot be read')
        : refused('the platform does not answer; nothing was changed');
    }
    const base = acceptedRevisionOf(seen.head);
    const plan = planProposal(seen.head, request, {
      self: this.#options.self,
      isAbandoned: (proposal) => this.#isAbandoned(proposal, seen.version),
    });
    if (plan.kind === 'refuse') return refused(plan.reason, base);
    if (plan.kind === 'accepted-before') {
      return this.#spread(plan.revision, request, started, base, []);
    }
    const { proposal } = plan;
    invariant(proposal.revision === base + 1, 'configuration-revisions-are-consecutive');
    if (request.signal?.aborted) return unknown('the operator no longer waits', base);
    const head = { ...seen.head, proposal };
    const sizeBytes = Buffer.byteLength(JSON.stringify(head));
    if (sizeBytes > PLATFORM_MAX_VALUE_BYTES) return refused(tooLarge(proposal, sizeBytes), base);
    const proposed = await this.#writeHead(
      head,
      seen.version,
      `${request.operationId}/propose/${this.#options.self.incarnation}`,
      started,
    );
    if (proposed.status === 'conflict') return this.#afterConflict(request, started, base);
    // Only this call could make the proposal accepted, so giving up here is final.
    if (proposed.status !== 'written') {
      const detail = proposed.status === 'unavailable' ? `: ${proposed.reason}` : '';
      return request.repeatedCall
        ? unknown(`the proposal could not be written${detail}`, base)
        : refused(`the proposal could not be written${detail}; nothing was changed`, base);
    }
    return this.#decide(request, seen.head, proposal, proposed.version, started);
  }

  async #decide(
    request: ApplyRequest,
    before: ConfigurationHead,
    proposal: Proposal,
    headVersion: number,
    started: Stopwatch,
  ): Promise<ApplyOutcome> {
    const base = proposal.revision - 1;
    const ruling = await this.#prepareAll(proposal, headVersion);
    if (ruling.kind === 'refuse') {
      await this.#withdraw(before, headVersion, request.operationId);
      return refused(ruling.reason, base, ruling.nodes);
    }
    const { clock } = this.#options;
    if (request.signal?.aborted) return unknown('the operator no longer waits', base);
    const accepted = await this.#writeHead(
      acceptProposal(before, proposal, clock.nowMs()),
      headVersion,
      `${request.operationId}/accept/${this.#options.self.incarnation}`,
      new Stopwatch(clock),
    );
    if (accepted.status === 'conflict') return this.#afterConflict(request, started, base);
    if (accepted.status === 'unknown') {
      return unknown('the platform did not say whether the change was accepted', base);
    }
    if (accepted.status === 'unavailable') {
      await this.#withdraw(before, headVersion, request.operationId);
      return refused(
        `the platform took no accepting write: ${accepted.reason}; nothing was changed`,
        base,
      );
    }
    const skipped = ruling.kind === 'accept' ? ruling.skipped : [];
    const { configuration } = this.#options;
    configuration.adopt(proposal);
    // The operator is told "in force" only once this node may serve: a first revision brings the right with a read.
    await configuration.refresh().catch(() => undefined);
    return this.#spread(proposal.revision, request, started, base, skipped);
  }

  async #prepareAll(proposal: Proposal, headVersion: number): Promise<PrepareDecision> {
    const { timing } = this.#options;
    const age = new Stopwatch(this.#options.clock);
    const round = new PrepareRound({ ...this.#options, proposal, headVersion });
    for (;;) {
      const ruling = await round.run(
        {
          ...timing,
          proposalAgeMs: age.certainlyElapsedMs(),
          prepareTimeoutMs: this.proposalLifetimeMs,
        },
        () => age.certainlyElapsedMs(),
      );
      if (ruling.kind !== 'wait') {
        await round.removeConfirmations();
        return ruling;
      }
      await sleep(this.#options.clock, RETRY_INTERVAL_MS);
    }
  }

  /** Tells every node of an accepted revision until all serve it or the wait is over. */
  async #spread(
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
      const waiting = nodes.filter(({ name }) => !inForce.has(name) && name !== self.name);
      await forEachLimited(waiting, MAX_CALLS_AT_ONCE, async (node) => {
        const { operationId } = request;
        const reached = await peers.commit(node, { revision, operationId }).catch(() => 0);
        if (reached >= revision) inForce.add(node.name);
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

  /** Finds out what became of the operation after the head was found at another version. */
  async #afterConflict(
    request: ApplyRequest,
    started: Stopwatch,
    base: number,
  ): Promise<ApplyOutcome> {
    const seen = await this.#readHead(new Stopwatch(this.#options.clock));
    if (seen === undefined) return unknown('the platform stopped answering', base);
    const ruling = resolveConflict(seen.head, request.operationId);
    if (ruling.kind === 'accepted') {
      return this.#spread(ruling.revision, request, started, base, []);
    }
    if (ruling.kind === 'taken-over') {
      return unknown('another node has taken the operation over', base);
    }
    return refused(ruling.reason, base);
  }

  async #readHead(started: Stopwatch): Promise<VersionedHead | undefined> {
    const { clock, random, configuration } = this.#options;
    for (let attempt = 1; ; attempt += 1) {
      const seen = await configuration.refresh().catch(() => undefined);
      // The limit also ends a change whose coordinator was paused before the head was read.
      if (started.elapsedMs() >= PLATFORM_LIMIT_MS) return undefined;
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
    const limitMs = PLATFORM_LIMIT_MS;
    const key = HEAD_KEY;
    return writeResolved({
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

  /** Removes a refused proposal from the head, so that the next change need not wait. Best effort. */
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
    const earlierSelf =
      coordinator.name === self.name && coordinator.incarnation !== self.incarnation;
    return (
      earlierSelf ||
      // This coordinator runs one change at a time, so its own standing proposal was left behind.
      coordinator.incarnation === self.incarnation ||
      hasEnded(coordinator) ||
      configuration.proposalAgeMs(headVersion) >= this.proposalLifetimeMs
    );
  }
}
