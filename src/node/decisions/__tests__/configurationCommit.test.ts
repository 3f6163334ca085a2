import { test } from 'node:test';
import { expect } from 'earl';
import {
  isVmGone,
  judgeConflict,
  judgePrepare,
  type PreparedNode,
  planProposal,
} from '../configurationCommit.ts';
import { type ConfigurationHead, headWithAccepted, type Proposal } from '../configurationHead.ts';

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

// Guards against two coordinators that overwrite each other's proposals, and against a change on the wrong base.
test('a change is proposed only on the revision asked for and not over a running proposal', () => {
  expect(plan({}).kind).toEqual('propose');
  expect(plan({}, { ifRevision: 3 })).toEqual({
    kind: 'refuse',
    reason: 'the accepted revision is 0, not 3; compare with `diff` and apply again',
  });
  const contested = { proposal: proposalBy('b', 'other') };
  expect(plan(contested).kind).toEqual('refuse');
  expect(plan(contested, {}, () => true).kind).toEqual('propose');
  // The same operation is taken over, so that a repeat after a lost answer is not refused as a race with itself.
  expect(plan({ proposal: proposalBy('b', 'op') }).kind).toEqual('propose');
});

// Guards against a repeat that applies the tables a second time over a later change.
test('a repeat finds its first result, and an id of other tables is refused', () => {
  const head = headWithAccepted({}, proposalBy('b', 'op'), 0);
  const later = headWithAccepted(head, proposalBy('b', 'later', 2), 0);
  expect(plan(later)).toEqual({ kind: 'accepted-before', revision: 1 });
  expect(plan(later, { digest: 'x' }).kind).toEqual('refuse');
  expect(judgeConflict(later, 'op')).toEqual({ kind: 'accepted', revision: 1 });
  expect(judgeConflict(later, 'third').kind).toEqual('refused');
  expect(judgeConflict({ proposal: proposalBy('b', 'op') }, 'op').kind).toEqual('taken-over');
});

const timing = {
  proposalAgeMs: 8000,
  isolationMs: 6000,
  isolationMarginMs: 2000,
  giveUpAfterMs: 10_000,
};
const yes = (name: string, lastHeardMs: Record<string, number> = {}): PreparedNode => ({
  name,
  answer: { kind: 'answered', confirmed: true, reason: '', lastHeardMs },
});
const silent = (name: string): PreparedNode => ({ name, answer: { kind: 'silent' } });
const left: PreparedNode = { name: 'gone', answer: { kind: 'left' } };

// Guards against an accepted revision that a node which still serves has not confirmed.
test('a silent node is skipped only when every other node proves that its right has ended', () => {
  const proven = [yes('a', { c: 8000 }), yes('b', { c: 9000 }), silent('c'), left];
  expect(judgePrepare(proven, timing)).toEqual({ kind: 'accept', skipped: ['c'] });
  expect(judgePrepare(proven, { ...timing, proposalAgeMs: 7999 }).kind).toEqual('wait');
  const heard = [yes('a', { c: 8000 }), yes('b', { c: 7999 }), silent('c')];
  expect(judgePrepare(heard, timing).kind).toEqual('wait');
  const notAsked = [yes('a', { c: 8000 }), yes('b'), silent('c')];
  expect(judgePrepare(notAsked, timing).kind).toEqual('wait');
  const wrote: PreparedNode = {
    name: 'b',
    answer: { kind: 'wrote', confirmed: true, reason: '' },
  };
  expect(judgePrepare([yes('a', { c: 8000 }), wrote, silent('c')], timing).kind).toEqual('wait');
});

// Guards against skipping two nodes that keep each other's right to serve.
test('two silent nodes are never skipped and both are named', () => {
  const nodes = [yes('a', { b: 60_000, c: 60_000 }), silent('b'), silent('c')];
  expect(judgePrepare(nodes, { ...timing, proposalAgeMs: 10_000 })).toEqual({
    kind: 'refuse',
    reason: 'not confirmed by b, c, which may still serve the accepted revision',
    nodes: ['b', 'c'],
  });
});

// Guards against a change that a node of another version cannot serve.
test('one node that cannot serve the tables refuses the change with its reason', () => {
  const no: PreparedNode = {
    name: 'b',
    answer: { kind: 'answered', confirmed: false, reason: 'unknown field', lastHeardMs: {} },
  };
  expect(judgePrepare([yes('a'), no], timing)).toEqual({
    kind: 'refuse',
    reason: 'cannot be served by b (unknown field)',
    nodes: ['b'],
  });
});

// Guards against skipping a live node whose address or whose VM's old address the list shows as gone.
test('a VM counts as gone only when the list says so for its name, or else for its address', () => {
  const node = { name: 'entry-1', host: '10.0.0.1' };
  const vm = (name: string, state: 'live' | 'gone') => ({ name, address: '10.0.0.1', state });
  expect(isVmGone(node, [])).toEqual(false);
  expect(isVmGone(node, [vm('entry-1', 'gone'), vm('entry-9', 'live')])).toEqual(true);
  expect(isVmGone(node, [vm('vm-7', 'gone'), vm('vm-8', 'live')])).toEqual(false);
  expect(isVmGone(node, [vm('vm-7', 'gone')])).toEqual(true);
});
