import type { JsonValue } from '@bufbuild/protobuf';
import {
  acceptedRevisionOf,
  type ConfigurationHead,
  type Coordinator,
  findOperation,
  type Proposal,
} from './configurationHead.ts';

/** A change as an operator asked for it. */
export interface ChangeRequest {
  readonly operationId: string;
  readonly digest: string;
  readonly tables: JsonValue;
  /** Refuse unless this revision is the accepted one. */
  readonly ifRevision?: number;
}

/** What the coordinator does after it has read the head. */
export type ProposalPlan =
  /** An earlier call with this operation id was accepted. */
  | { readonly kind: 'accepted-before'; readonly revision: number }
  | { readonly kind: 'refuse'; readonly reason: string }
  | { readonly kind: 'propose'; readonly proposal: Proposal };

export interface ProposalContext {
  readonly self: Coordinator;
  /** Whether the coordinator of the standing proposal is known to have ended or has had its time. */
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
    const reason = `operation ${operationId} was used for other tables, accepted as revision ${before.revision}; leave out --operation`;
    return { kind: 'refuse', reason };
  }
  if (before !== undefined) return { kind: 'accepted-before', revision: before.revision };
  const accepted = acceptedRevisionOf(head);
  if (ifRevision !== undefined && ifRevision !== accepted) {
    const reason = `the accepted revision is ${accepted}, not ${ifRevision}; compare with \`diff\` and apply again`;
    return { kind: 'refuse', reason };
  }
  const standing = head.proposal;
  // A proposal of the same operation is taken over: the conditional write keeps its old coordinator from accepting it.
  if (
    standing !== undefined &&
    standing.operationId !== operationId &&
    !context.isAbandoned(standing)
  ) {
    const reason = `race: node ${standing.coordinator.name} is applying operation ${standing.operationId} as revision ${standing.revision}`;
    return { kind: 'refuse', reason };
  }
  const revision = accepted + 1;
  return {
    kind: 'propose',
    proposal: { revision, operationId, digest, tables, coordinator: context.self },
  };
};

/** A registered node, as far as the prepare phase looks at it. */
export interface PreparedNode {
  readonly name: string;
  readonly answer:
    | {
        readonly kind: 'answered';
        readonly confirmed: boolean;
        readonly reason: string;
        /** For each silent node that was asked about: how long ago the node last heard from it, in ms. */
        readonly lastHeardMs: Readonly<Record<string, number>>;
      }
    /** Did not answer, but wrote its confirmation to the platform. */
    | { readonly kind: 'wrote'; readonly confirmed: boolean; readonly reason: string }
    | { readonly kind: 'silent' }
    /** Deregistered, or the platform's list shows its VM as gone. */
    | { readonly kind: 'left' };
}

export interface PrepareTiming {
  /** Time that certainly passed since the proposal was in the head, in ms. */
  readonly proposalAgeMs: number;
  /** Time after which a node without word takes no new work, in ms. */
  readonly isolationMs: number;
  /** Added to `isolationMs` for clocks that run apart, in ms. */
  readonly isolationMarginMs: number;
  /** Time after which the prepare phase ends with a refusal, in ms. */
  readonly giveUpAfterMs: number;
}

export type PrepareRuling =
  | { readonly kind: 'accept'; readonly skipped: readonly string[] }
  /** Ask `silent` again, and the other nodes when they last heard from them. */
  | { readonly kind: 'wait'; readonly silent: readonly string[] }
  | { readonly kind: 'refuse'; readonly reason: string; readonly nodes: readonly string[] };

/** Whether the right of the only silent node to serve has provably ended: section 7, rule (b). */
const hasLostRight = (
  silent: string,
  nodes: readonly PreparedNode[],
  { proposalAgeMs, isolationMs, isolationMarginMs }: PrepareTiming,
): boolean => {
  const requiredMs = isolationMs + isolationMarginMs;
  return (
    proposalAgeMs >= requiredMs &&
    nodes.every(
      ({ name, answer }) =>
        name === silent ||
        answer.kind === 'left' ||
        // A node that only wrote its confirmation may be partitioned together with the silent one.
        (answer.kind === 'answered' && (answer.lastHeardMs[silent] ?? 0) >= requiredMs),
    )
  );
};

/** Decides from the answers of all registered nodes whether a proposal may be accepted. */
export const judgePrepare = (
  nodes: readonly PreparedNode[],
  timing: PrepareTiming,
): PrepareRuling => {
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
  if (others.length === 0 && hasLostRight(first, nodes, timing)) {
    return { kind: 'accept', skipped: [first] };
  }
  if (timing.proposalAgeMs < timing.giveUpAfterMs) return { kind: 'wait', silent };
  const reason = `not confirmed by ${silent.join(', ')}, which may still serve the accepted revision`;
  return { kind: 'refuse', reason, nodes: silent };
};

/** What became of a change whose accepting write met another version of the head. */
export type ConflictRuling =
  | { readonly kind: 'accepted'; readonly revision: number }
  | { readonly kind: 'refused'; readonly reason: string }
  /** Another coordinator has taken over the same operation. */
  | { readonly kind: 'taken-over' };

/** Decides from the head that was read back what became of an operation. */
export const judgeConflict = (head: ConfigurationHead, operationId: string): ConflictRuling => {
  const found = findOperation(head, operationId);
  if (found !== undefined) return { kind: 'accepted', revision: found.revision };
  const { proposal, accepted } = head;
  if (proposal?.operationId === operationId) return { kind: 'taken-over' };
  const winner = proposal
    ? `node ${proposal.coordinator.name} is applying operation ${proposal.operationId} as revision ${proposal.revision}`
    : `the head changed meanwhile; revision ${accepted?.revision ?? 0} is the accepted one`;
  return { kind: 'refused', reason: `race: ${winner}` };
};

/** A VM as the platform's list shows it. */
interface ListedVm {
  readonly name: string;
  readonly address: string;
  readonly state: 'live' | 'leaving' | 'gone';
}

/** Whether the platform's list says that the VM of a node is gone. A VM that is not listed is not known to be gone. */
export const isVmGone = (
  node: { readonly name: string; readonly host: string },
  vms: readonly ListedVm[],
): boolean => {
  const sameName = vms.filter((vm) => vm.name === node.name);
  // Addresses are reused by replacement VMs, so they only decide for nodes that are not named after their VM.
  const candidates = sameName.length > 0 ? sameName : vms.filter((vm) => vm.address === node.host);
  return candidates.length > 0 && candidates.every((vm) => vm.state === 'gone');
};
