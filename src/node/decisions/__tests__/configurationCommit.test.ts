import { test } from 'node:test';
import { expect } from 'earl';
import {
  isVmGone,
  resolveConflict,
  evaluatePrepare,
  type PrepareParticipant,
  planProposal,
} from '../configurationCommit.ts';
import { type ConfigurationHead, acceptProposal, type Proposal } from '../configurationHead.ts';

const self = { name: 'a', incarnation: 'a1' };
const change = { operationId: 'op', digest: 'd', tables: {} };
const proposalBy = (name: string, operationId: string, revision = 1): Proposal => ({
  revision,
  operationId,
  digest: 'd',
  tables: {},
  coordinator: { name, incarnation: `${name}1` },
});
const plan = (head: ConfigurationHead, request = {}, isAbandoned = () => false) =>
  planProposal(head, { ...change, ...request }, { self, isAbandoned });

// Guards against coordinators that overwrite each other's proposals and against a change to the wrong base revision.
test('a change is refused if the base revision differs or the proposal of another operation is not abandoned', () => {
  expect(plan({}).kind).toEqual('propose');
  expect(plan({}, { ifRevision: 3 })).toEqual({
    kind: 'refuse',
    reason: 'the accepted revision is 0, not 3; compare with `diff` and apply again',
  });
  const contested = { proposal: proposalBy('b', 'other') };
  expect(plan(contested).kind).toEqual('refuse');
  expect(plan(contested, {}, () => true).kind).toEqual('propose');
  // A proposal of the same operation is taken over, so that a retry after a lost response does not conflict with it.
  expect(plan({ proposal: proposalBy('b', 'op') }).kind).toEqual('propose');
});

// Guards against a repeat that applies the tables again and so overwrites a later change.
test('a repeated operation gets its original result, and an operation id reused for other tables is refused', () => {
  const head = acceptProposal({}, proposalBy('b', 'op'), 0);
  const later = acceptProposal(head, proposalBy('b', 'later', 2), 0);
  expect(plan(later)).toEqual({ kind: 'accepted-before', revision: 1 });
  expect(plan(later, { digest: 'x' }).kind).toEqual('refuse');
  expect(resolveConflict(later, 'op')).toEqual({ kind: 'accepted', revision: 1 });
  expect(resolveConflict(later, 'third').kind).toEqual('refused');
  expect(resolveConflict({ proposal: proposalBy('b', 'op') }, 'op').kind).toEqual('taken-over');
});

const timing = {
  proposalAgeMs: 8000,
  isolationMs: 6000,
  isolationMarginMs: 2000,
  prepareTimeoutMs: 10_000,
};
const confirming = (
  name: string,
  lastHeardMs: Record<string, number> = {},
): PrepareParticipant => ({
  name,
  answer: { kind: 'answered', confirmed: true, reason: '', lastHeardMs },
});
const silent = (name: string): PrepareParticipant => ({ name, answer: { kind: 'silent' } });
const left: PrepareParticipant = { name: 'gone', answer: { kind: 'left' } };

// Guards against accepting a revision that a node which may still serve has not confirmed.
test('a silent node is skipped only if all other nodes prove that its serving lease has expired', () => {
  const proven = [confirming('a', { c: 8000 }), confirming('b', { c: 9000 }), silent('c'), left];
  expect(evaluatePrepare(proven, timing)).toEqual({ kind: 'accept', skipped: ['c'] });
  expect(evaluatePrepare(proven, { ...timing, proposalAgeMs: 7999 }).kind).toEqual('wait');
  const heard = [confirming('a', { c: 8000 }), confirming('b', { c: 7999 }), silent('c')];
  expect(evaluatePrepare(heard, timing).kind).toEqual('wait');
  const notAsked = [confirming('a', { c: 8000 }), confirming('b'), silent('c')];
  expect(evaluatePrepare(notAsked, timing).kind).toEqual('wait');
  const wrote: PrepareParticipant = {
    name: 'b',
    answer: { kind: 'wrote', confirmed: true, reason: '' },
  };
  expect(evaluatePrepare([confirming('a', { c: 8000 }), wrote, silent('c')], timing).kind).toEqual(
    'wait',
  );
});

// Guards against skipping two nodes that may renew each other's serving lease.
test('two silent nodes lead to a refusal that names both', () => {
  const nodes = [confirming('a', { b: 60_000, c: 60_000 }), silent('b'), silent('c')];
  expect(evaluatePrepare(nodes, { ...timing, proposalAgeMs: 10_000 })).toEqual({
    kind: 'refuse',
    reason: 'not confirmed by b, c, which may still serve the accepted revision',
    nodes: ['b', 'c'],
  });
});

// Guards against accepting a change that a node running another version cannot serve.
test('one node that cannot serve the tables leads to a refusal with its reason', () => {
  const refusing: PrepareParticipant = {
    name: 'b',
    answer: { kind: 'answered', confirmed: false, reason: 'unknown field', lastHeardMs: {} },
  };
  expect(evaluatePrepare([confirming('a'), refusing], timing)).toEqual({
    kind: 'refuse',
    reason: 'cannot be served by b (unknown field)',
    nodes: ['b'],
  });
});

// Guards against skipping a live node because a former VM with the same address is listed as gone.
test('a VM counts as gone if it is listed as gone by name, or by address if no VM has the name', () => {
  const node = { name: 'entry-1', host: '10.0.0.1' };
  const vm = (name: string, state: 'live' | 'gone') => ({ name, address: '10.0.0.1', state });
  expect(isVmGone(node, [])).toEqual(false);
  expect(isVmGone(node, [vm('entry-1', 'gone'), vm('entry-9', 'live')])).toEqual(true);
  expect(isVmGone(node, [vm('vm-7', 'gone'), vm('vm-8', 'live')])).toEqual(false);
  expect(isVmGone(node, [vm('vm-7', 'gone')])).toEqual(true);
});
