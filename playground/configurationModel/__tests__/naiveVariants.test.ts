import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { acceptProposal, type Proposal } from '../../../src/node/decisions/configurationHead.ts';
import type {
  ApplyOutcome,
  ApplyRequest,
  CoordinatorOptions,
} from '../../../src/node/operator/configurationCoordinator.ts';
import type { ModelVariant } from '../modelNode.ts';
import { modelSchedule, runSchedule, SCHEDULE_SEED } from '../schedule.ts';

const SCHEDULES = 1000;

/** The first violation of a kind that a variant shows in the schedules that the product passes. */
const firstViolation = async (kind: string, variant: ModelVariant): Promise<string | undefined> => {
  for (const schedule of fc.sample(modelSchedule, { numRuns: SCHEDULES, seed: SCHEDULE_SEED })) {
    const { violations } = await runSchedule(schedule, variant);
    const found = violations.find((violation) => violation.includes(kind));
    if (found !== undefined) return found;
  }
  return undefined;
};

/** Writes the accepted revision at once, without asking the nodes. */
const applyInOnePhase = async (
  { platform, configuration, self }: CoordinatorOptions,
  request: ApplyRequest,
): Promise<ApplyOutcome> => {
  const none = { nodesInForce: 0, nodesTotal: 0, missingNodes: [], baseRevision: 0, revision: 0 };
  const seen = await configuration.refresh().catch(() => undefined);
  if (seen === undefined) return { ...none, result: 'unknown', reason: '' };
  const { head, version } = seen;
  const known = head.history?.find(({ operationId }) => operationId === request.operationId);
  if (known) return { ...none, result: 'in-force', reason: '', revision: known.revision };
  const base = head.accepted?.revision ?? 0;
  const { ifRevision = base, operationId, digest, tables } = request;
  if (ifRevision !== base) return { ...none, result: 'refused', reason: 'revision' };
  const revision = base + 1;
  const proposal: Proposal = { revision, operationId, digest, tables, coordinator: self };
  const { status } = await platform.write('config/head', acceptProposal(head, proposal, 0), {
    ifVersion: version,
  });
  if (status === 'written') return { ...none, result: 'in-force', reason: '', revision };
  return { ...none, result: status === 'conflict' ? 'refused' : 'unknown', reason: status };
};

// Guards against schedules too tame to tell the commit from a single conditional write.
test('the same schedules break a single-phase write', async () => {
  const found = await firstViolation('ms too long', {
    createCoordinator: (options) => ({ apply: (request) => applyInOnePhase(options, request) }),
  });
  expect(found).not.toEqual(undefined);
});

// Guards against schedules too tame to tell the start rule from a start with any peer.
test('the same schedules break a start from any peer', async () => {
  const found = await firstViolation('went from revision', {
    adoptFromPeer: (configuration, peer) =>
      configuration.adoptFromPeer({ ...peer, preparedRevision: 0, serving: true }),
  });
  expect(found).not.toEqual(undefined);
});
