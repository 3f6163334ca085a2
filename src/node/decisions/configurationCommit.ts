import type { JsonValue } from '@bufbuild/protobuf';
import {
  acceptedRevisionOf,
  type ConfigurationHead,
  type Coordinator,
  findOperation,
  type Proposal,
} from './configurationHead.ts';

/** A configuration change requested by an operator. */
export interface ChangeRequest {
  readonly operationId: string;
  readonly digest: string;
  readonly tables: JsonValue;
  /** If set, the change is refused unless this is the accepted revision. */
  readonly ifRevision?: number;
}

/** What the coordinator does with a change after reading the head. */
export type ProposalPlan =
  /** The operation was accepted in an earlier call. */
  | { readonly kind: 'accepted-before'; readonly revision: number }
  | { readonly kind: 'refuse'; readonly reason: string }
  | { readonly kind: 'propose'; readonly proposal: Proposal };

export interface ProposalContext {
  readonly self: Coordinator;
  /** Whether the coordinator of the head's proposal is known to have ended, or the proposal's lifetime has expired. */
  readonly isAbandoned: (proposal: Proposal) => boolean;
}

/** Decides whether a change can be proposed on top of a head. */
export const planProposal = (
  head: ConfigurationHead,
  request: ChangeRequest,
  context: ProposalContext,
): ProposalPlan => {
  const { operationId, digest, tables, ifRevision } = request;
  const before = findOperation(head, operationId);
  if (before !== undefined && before.digest !== digest) {
    const reason = `operation ${operationId} was already used for different tables, accepted as revision ${before.revision}; omit --operation to start a new operation`;
    return { kind: 'refuse', reason };
  }
  if (before !== undefined) return { kind: 'accepted-before', revision: before.revision };
  const accepted = acceptedRevisionOf(head);
  if (ifRevision !== undefined && ifRevision !== accepted) {
    const reason = `the accepted revision is ${accepted}, not ${ifRevision}; compare with \`diff\` and apply again`;
    return { kind: 'refuse', reason };
  }
  const currentProposal = head.proposal;
  // A proposal of the same operation is taken over. The conditional write of the head then prevents its previous
  // coordinator from accepting it.
  if (
    currentProposal !== undefined &&
    currentProposal.operationId !== operationId &&
    !context.isAbandoned(currentProposal)
  ) {
    const reason = `race: node ${currentProposal.coordinator.name} is applying operation ${currentProposal.operationId} as revision ${currentProposal.revision}`;
    return { kind: 'refuse', reason };
  }
  const revision = accepted + 1;
  return {
    kind: 'propose',
    proposal: { revision, operationId, digest, tables, coordinator: context.self },
  };
};

/** A registered node and its response in the prepare phase. */
export interface PrepareParticipant {
  readonly name: string;
  readonly answer:
    | {
        readonly kind: 'answered';
        readonly confirmed: boolean;
        readonly reason: string;
        /** Time since this node last heard from each silent node that it was asked about, in ms, by node name. */
        readonly lastHeardMs: Readonly<Record<string, number>>;
      }
    /** Did not respond to the coordinator, but wrote its confirmation or refusal to the platform. */
    | { readonly kind: 'wrote'; readonly confirmed: boolean; readonly reason: string }
    | { readonly kind: 'silent' }
    /** Deregistered, or its VM is gone according to the platform's VM list. */
    | { readonly kind: 'left' };
}

export interface PrepareTiming {
  /** Lower bound on the time since the proposal was written to the head, in ms. */
  readonly proposalAgeMs: number;
  /** Duration of a node's serving lease after the last call that the platform or a peer answered, in ms. */
  readonly isolationMs: number;
  /** Margin added to `isolationMs` for clock drift between nodes, in ms. */
  readonly isolationMarginMs: number;
  /** Age of the proposal at which the prepare phase ends with a refusal if nodes are still silent, in ms. */
  readonly prepareTimeoutMs: number;
}

export type PrepareDecision =
  | { readonly kind: 'accept'; readonly skipped: readonly string[] }
  /** Ask the `silent` nodes again, and ask the other nodes when they last heard from those. */
  | { readonly kind: 'wait'; readonly silent: readonly string[] }
  | { readonly kind: 'refuse'; readonly reason: string; readonly nodes: readonly string[] };

/**
 * Whether the serving lease of the only silent node has provably expired: for at least the isolation time and its
 * margin, the proposal has been in the head and no other node in service has heard from the silent one. See section 7,
 * rule (b), of docs/design.md.
 */
const hasServingLeaseExpired = (
  silent: string,
  nodes: readonly PrepareParticipant[],
  { proposalAgeMs, isolationMs, isolationMarginMs }: PrepareTiming,
): boolean => {
  const requiredMs = isolationMs + isolationMarginMs;
  return (
    proposalAgeMs >= requiredMs &&
    nodes.every(
      ({ name, answer }) =>
        name === silent ||
        answer.kind === 'left' ||
        // A node that responded only through the platform may be in the same network partition as the silent node, so
        // that its responses to heartbeats renew the lease of the silent node.
        (answer.kind === 'answered' && (answer.lastHeardMs[silent] ?? 0) >= requiredMs),
    )
  );
};

/** Decides whether a proposal may be accepted, given the responses of all registered nodes. */
export const evaluatePrepare = (
  nodes: readonly PrepareParticipant[],
  timing: PrepareTiming,
): PrepareDecision => {
  const refusing = nodes.flatMap(({ name, answer }) =>
    (answer.kind === 'answered' || answer.kind === 'wrote') && !answer.confirmed
      ? [{ name, reason: answer.reason }]
      : [],
  );
  if (refusing.length > 0) {
    const details = refusing.map(({ name, reason }) => `${name} (${reason})`).join(', ');
    return {
      kind: 'refuse',
      reason: `cannot be served by ${details}`,
      nodes: refusing.map(({ name }) => name),
    };
  }
  const silent = nodes.filter(({ answer }) => answer.kind === 'silent').map(({ name }) => name);
  const [first, ...others] = silent;
  if (first === undefined) return { kind: 'accept', skipped: [] };
  if (others.length === 0 && hasServingLeaseExpired(first, nodes, timing)) {
    return { kind: 'accept', skipped: [first] };
  }
  if (timing.proposalAgeMs < timing.prepareTimeoutMs) return { kind: 'wait', silent };
  const reason = `not confirmed by ${silent.join(', ')}, which may still serve the accepted revision`;
  return { kind: 'refuse', reason, nodes: silent };
};

/** Result of a change whose write to accept it failed because the head had a different version. */
export type ConflictOutcome =
  | { readonly kind: 'accepted'; readonly revision: number }
  | { readonly kind: 'refused'; readonly reason: string }
  /** Another coordinator has taken over the operation. */
  | { readonly kind: 'taken-over' };

/** Determines the result of an operation after a write conflict, from the head read afterwards. */
export const resolveConflict = (head: ConfigurationHead, operationId: string): ConflictOutcome => {
  const found = findOperation(head, operationId);
  if (found !== undefined) return { kind: 'accepted', revision: found.revision };
  const { proposal, accepted } = head;
  if (proposal?.operationId === operationId) return { kind: 'taken-over' };
  const winner = proposal
    ? `node ${proposal.coordinator.name} is applying operation ${proposal.operationId} as revision ${proposal.revision}`
    : `the head was changed concurrently; revision ${accepted?.revision ?? 0} is the accepted one`;
  return { kind: 'refused', reason: `race: ${winner}` };
};

/** An entry of the platform's VM list. */
interface ListedVm {
  readonly name: string;
  readonly address: string;
  readonly state: 'live' | 'leaving' | 'gone';
}

/** Whether the platform's VM list shows the VM of a node as gone. A VM that is not listed does not count as gone. */
export const isVmGone = (
  node: { readonly name: string; readonly host: string },
  vms: readonly ListedVm[],
): boolean => {
  const sameName = vms.filter((vm) => vm.name === node.name);
  // Replacement VMs reuse addresses, so addresses are only compared if no VM has the node's name.
  const candidates = sameName.length > 0 ? sameName : vms.filter((vm) => vm.address === node.host);
  return candidates.length > 0 && candidates.every((vm) => vm.state === 'gone');
};
