import { create } from '@bufbuild/protobuf';
import { test } from 'node:test';
import { expect } from 'earl';
import { NodeIdentitySchema } from '../../../gen/hyssoppulley/v1/peer_pb.ts';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import type { Peer } from '../../membership/membershipView.ts';
import { silentLogger } from '../../observability/logger.ts';
import { DemandReporter, type DemandReporterOptions } from '../demandReporter.ts';

const peer = (name: string, parts: Partial<Peer> = {}): Peer => ({
  identity: create(NodeIdentitySchema, { name, incarnation: name }),
  ...{ suspected: false, leaving: false, acceptedRevision: 1, leases: [], platformLost: false },
  workersVersion: 0,
  ...parts,
});

const reporterOf = (parts: Partial<DemandReporterOptions>) => {
  const clock = new VirtualClock();
  const called: string[] = [];
  const kept: string[] = [];
  const reporter = new DemandReporter({
    ...{ clock, logger: silentLogger, peers: () => [], isHolder: () => false },
    demands: () => [{ pool: 'p', term: 1 }],
    receive: ({ pool = '' }) => kept.push(pool),
    call: (node) => Promise.resolve(called.push(node.name)),
    ...parts,
  });
  return { clock, reporter, called, kept };
};

// Guards against reports to a former holder whose lease its peers still remember, and to one that does not answer.
test('the demand goes to the peer with the latest term that is not suspected', async () => {
  const peers = [
    peer('former', { leases: ['duty/worker-orders#2'] }),
    peer('holder', { leases: ['duty/usage-reports#9', 'duty/worker-orders#3'] }),
    peer('gone', { leases: ['duty/worker-orders#4'], suspected: true }),
    peer('other', { leases: ['duty/usage-reports#7'] }),
  ];
  const { clock, reporter, called, kept } = reporterOf({ peers: () => peers });
  await clock.advanceAsync(1500);
  reporter[Symbol.dispose]();
  expect(called).toEqual(['holder']);
  expect(kept).toEqual([]);
});

// Guards against a holder that does not see the demand of the pools it dispatches itself.
test('the holder keeps the demand of its own pools', async () => {
  const { clock, reporter, called, kept } = reporterOf({ isHolder: () => true });
  await clock.advanceAsync(1500);
  reporter[Symbol.dispose]();
  expect([called, kept]).toEqual([[], ['p']]);
});

// Guards against a failed report that ends the reports.
test('reports go on after one that failed', async () => {
  let calls = 0;
  const { clock, reporter } = reporterOf({
    peers: () => [peer('holder', { leases: ['duty/worker-orders#3'] })],
    call: () => {
      calls += 1;
      return Promise.reject(new Error('no route'));
    },
  });
  await clock.advanceAsync(3500);
  reporter[Symbol.dispose]();
  expect(calls).toEqual(3);
});
