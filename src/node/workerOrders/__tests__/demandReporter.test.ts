import { create } from '@bufbuild/protobuf';
import { test } from 'node:test';
import { expect } from 'earl';
import { DutyRecordSchema } from '../../../gen/hyssoppulley/v1/duty_pb.ts';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import { silentLogger } from '../../observability/logger.ts';
import { DemandReporter, type DemandReporterOptions } from '../demandReporter.ts';

const holder = create(DutyRecordSchema, { node: 'holder', term: 3 });

const reporterOf = (parts: Partial<DemandReporterOptions>) => {
  const clock = new VirtualClock();
  const called: string[] = [];
  const kept: string[] = [];
  const reporter = new DemandReporter({
    ...{ clock, logger: silentLogger, holder: () => holder, isHolder: () => false },
    demands: () => [{ pool: 'p', term: 1 }],
    receive: ({ pool = '' }) => kept.push(pool),
    call: (node) => Promise.resolve(called.push(node.node)),
    ...parts,
  });
  return { clock, reporter, called, kept };
};

// Guards against a holder without inputs, and against calls to a node that has released the duty.
test('the demand goes to the holder of the duty, unless it has released it', async () => {
  const { clock, reporter, called, kept } = reporterOf({});
  await clock.advanceAsync(1500);
  reporter[Symbol.dispose]();
  expect([called, kept]).toEqual([['holder'], []]);
  const released = create(DutyRecordSchema, { ...holder, released: true });
  const other = reporterOf({ holder: () => released });
  await other.clock.advanceAsync(1500);
  other.reporter[Symbol.dispose]();
  expect(other.called).toEqual([]);
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
    call: () => {
      calls += 1;
      return Promise.reject(new Error('no route'));
    },
  });
  await clock.advanceAsync(3500);
  reporter[Symbol.dispose]();
  expect(calls).toEqual(3);
});
