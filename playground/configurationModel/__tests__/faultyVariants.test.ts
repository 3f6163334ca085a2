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

/** Runs the schedules of the model test with a faulty variant. Returns the first violation that contains `kind`. */
const firstViolation = async (kind: string, variant: ModelVariant): Promise<string | undefined> => {
  for (const schedule of fc.sample(modelSchedule, { numRuns: SCHEDULES, seed: SCHEDULE_SEED })) {
    const { violations } = await runSchedule(schedule, variant);
    const found = violations.find((violation) => violation.includes(kind));
    if (found !== undefined) return found;
  }
  return undefined;
};

/** Faulty coordinator: writes the accepted revision directly, without a prepare phase. */
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

// Guards against schedules that cannot distinguish the two-phase commit from a single conditional write.
test('a coordinator without a prepare phase fails in the same schedules', async () => {
  const found = await firstViolation('has served old revision', {
    createCoordinator: (options) => ({ apply: (request) => applyInOnePhase(options, request) }),
  });
  expect(found).not.toEqual(undefined);
});

// Guards against schedules that cannot distinguish the rule for bootstrapping from a peer from accepting any peer.
test('a node that bootstraps from any peer fails in the same schedules', async () => {
  const found = await firstViolation('went from revision', {
    adoptFromPeer: (configuration, peer) =>
      configuration.adoptFromPeer({ ...peer, preparedRevision: 0, serving: true }),
  });
  expect(found).not.toEqual(undefined);
});
