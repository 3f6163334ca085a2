import { test } from 'node:test';
import { expect } from 'earl';
import type { Proposal } from '../configurationHead.ts';
import { ConfigurationReplica } from '../configurationReplica.ts';

const record = (revision: number, operationId = `op${revision}`): Proposal => ({
  revision,
  operationId,
  digest: operationId,
  tables: {},
  coordinator: { name: 'a', incarnation: 'a1' },
});
const serving = (revision: number): ConfigurationReplica => {
  const replica = new ConfigurationReplica();
  replica.adopt(record(revision));
  return replica;
};

// Guards against a node that returns to an earlier revision after a delayed message.
test('a revision at or below the accepted one is ignored or refused', () => {
  const replica = serving(3);
  expect(replica.adopt(record(2))).toEqual(false);
  expect(replica.onHead({ head: { accepted: record(2) }, version: 9 })).toEqual({});
  expect(replica.onPrepare(3, 10).kind).toEqual('refuse');
  expect(() => replica.adopt(record(3, 'other'))).toThrow(
    'configuration-one-document-per-revision',
  );
});

// Guards against a delayed prepare call that restores a replaced proposal.
test('a proposal that is no longer in the head is dropped and not prepared again', () => {
  const replica = serving(1);
  replica.recordPrepared(record(2, 'first'), 5);
  replica.onHead({ head: { accepted: record(1) }, version: 4 });
  expect(replica.preparedRevision).toEqual(2);
  replica.onHead({ head: { accepted: record(1) }, version: 6 });
  expect(replica.preparedRevision).toEqual(0);
  expect(replica.onPrepare(2, 5).kind).toEqual('refuse');
  expect(replica.onCommit(2, 'first')).toEqual(undefined);
});

// Guards against starting with the tables of a peer that does not know whether a newer revision was accepted.
test('a node starts only from a serving peer without a prepared revision above its accepted one', () => {
  const { canBootstrapFrom } = ConfigurationReplica;
  expect(canBootstrapFrom({ acceptedRevision: 2, preparedRevision: 0 }, true)).toEqual(true);
  expect(canBootstrapFrom({ acceptedRevision: 2, preparedRevision: 3 }, true)).toEqual(false);
  expect(canBootstrapFrom({ acceptedRevision: 2, preparedRevision: 0 }, false)).toEqual(false);
  expect(canBootstrapFrom({ acceptedRevision: 0, preparedRevision: 0 }, true)).toEqual(false);
});

// Guards against nodes that cannot see a new revision and renew each other's serving lease for the old one.
test('a peer does not renew the serving lease if a newer revision may have been accepted', () => {
  const replica = serving(2);
  const peer = { acceptedRevision: 2, preparedRevision: 0 };
  expect(replica.peerRenewsLease(peer, false)).toEqual(true);
  expect(replica.peerRenewsLease({ ...peer, acceptedRevision: 3 }, true)).toEqual(false);
  expect(replica.peerRenewsLease({ ...peer, preparedRevision: 3 }, true)).toEqual(false);
  expect(replica.peerRenewsLease({ ...peer, acceptedRevision: 0 }, true)).toEqual(false);
  replica.recordPrepared(record(3), 7);
  expect(replica.peerRenewsLease(peer, true)).toEqual(true);
  expect(replica.peerRenewsLease(peer, false)).toEqual(false);
});

// Guards against a node that has seen a proposal, is skipped because it did not respond, and continues to serve.
test('a head with a proposal renews the serving lease only after the node has responded to the proposal', () => {
  const replica = serving(1);
  const seen = { head: { accepted: record(1), proposal: record(2) }, version: 5 };
  expect(replica.onHead(seen).prepare?.revision).toEqual(2);
  expect(replica.headRenewsLease(seen)).toEqual(false);
  replica.recordPrepared(record(2), 5);
  replica.recordVote(5);
  expect(replica.headRenewsLease(seen)).toEqual(true);
  expect(replica.onCommit(2, 'op2')?.revision).toEqual(2);
});
