import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { expect } from 'earl';
import { InMemoryPlatform } from '../../../../playground/inMemoryPlatform.ts';
import { NodeIdentitySchema } from '../../../gen/hyssoppulley/v1/peer_pb.ts';
import { seededRandom } from '../../../shared/random.ts';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import { silentLogger } from '../../observability/logger.ts';
import { createMetrics } from '../../observability/metrics.ts';
import type { ControlApi, DutyName } from '../controlCalls.ts';
import type { DutyContext } from '../duty.ts';
import { DutySubsystem } from '../dutySubsystem.ts';
import { FakeControl } from './fakeControl.ts';

const ALONE = {
  self: create(NodeIdentitySchema, { name: 'a', incarnation: 'a-1' }),
  leaving: false,
  peers: () => [],
};

const start = (createControl?: (clock: VirtualClock) => ControlApi) => {
  const clock = new VirtualClock();
  const platform = new InMemoryPlatform();
  const contexts: DutyContext[] = [];
  const subsystem = new DutySubsystem({
    ...{ platform, clock, random: seededRandom(1), logger: silentLogger, view: ALONE },
    ...{ metrics: createMetrics(), health: { lost: false }, fenced: true, leaseMs: 3000 },
    control: createControl?.(clock),
  });
  const run = (name: DutyName) =>
    subsystem.run({
      name,
      start: (context) => {
        contexts.push(context);
        return { [Symbol.dispose]() {} };
      },
    });
  run('usage-reports');
  run('worker-orders');
  return { clock, platform, subsystem, contexts };
};

const controlWith =
  (...duties: DutyName[]) =>
  (clock: VirtualClock): ControlApi => ({
    calls: new FakeControl(clock, true).callsOf(clock),
    duties,
    callsPerSecond: 50,
  });

// Guards against calls to a control API that the settings do not name, and against elections that cost calls for nothing.
test('without a control API no duty is run and the platform is not called', async () => {
  const { clock, platform, subsystem, contexts } = start();
  await clock.advanceAsync(5000);
  expect(contexts).toEqual([]);
  expect(platform.callCount).toEqual(0);
  expect(subsystem.statuses()).toEqual([]);
});

// Guards against duties that the platform does not ask for, and against operators who cannot see who performs one.
test('only duties that the platform asks for are run, and operators see the last call', async () => {
  const { clock, subsystem, contexts } = start(controlWith('usage-reports'));
  await clock.advanceAsync(3000);
  expect(contexts.map(({ fencing }) => fencing)).toEqual([1]);
  const [context] = contexts;
  // A call without a proof is withheld.
  const report = { window: 1, counts: new Map<string, number>() };
  expect(await context?.calls.reportUsage(report)).toEqual('refused');
  expect(await context?.verify()).toEqual(true);
  expect(await context?.calls.reportUsage(report)).toEqual('accepted');
  await clock.advanceAsync(700);
  const [status] = subsystem.statuses();
  expect(status?.name).toEqual('usage-reports');
  expect(status?.holder).toEqual('a');
  expect(status?.lastResult).toEqual('accepted');
  expect(status?.lastCallAgeMs).toEqual(700);
  expect(subsystem.heldLeases()).toEqual(['duty/usage-reports#1']);
  await subsystem.release();
  expect(context?.signal.aborted).toEqual(true);
  expect(subsystem.statuses()[0]?.holder).toEqual('');
  subsystem[Symbol.dispose]();
});
