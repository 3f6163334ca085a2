import { test } from 'node:test';
import { expect } from 'earl';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import { silentLogger } from '../../observability/logger.ts';
import { type RegisteredWorker, WorkerRegistry } from '../workerRegistry.ts';

const worker: RegisteredWorker = {
  ...{ id: 'w', pool: 'p', address: '127.0.0.1:1', availabilityZone: 'z', slots: 6 },
  ...{ draining: false, startedAtMs: 1, heartbeatCount: 1, models: [] },
};

const registryWith = () => {
  const clock = new VirtualClock();
  const registry = new WorkerRegistry({
    ...{ clock, logger: silentLogger, onChange: () => {} },
    decode: ({ value }) => value as RegisteredWorker,
  });
  let version = 0;
  const register = (parts: Partial<RegisteredWorker>) => {
    version += 1;
    const value = { ...worker, heartbeatCount: version, ...parts };
    const object = { key: 'workers/w', version, value, operationId: '' };
    registry.applyEvent({ type: 'written', object });
  };
  return { clock, registry, register };
};

// Guards against new runs, weight loads and shares of models on a worker that is about to stop, also where its
// registration does not call it draining.
test('a worker that says when it stops gets no new work', () => {
  const { registry, register } = registryWith();
  register({});
  expect(registry.usable('p').length).toEqual(1);
  register({ leavesInMs: 2500 });
  expect(registry.usable('p')).toEqual([]);
});

// Guards against a stop that seems to move away with each registration that repeats the same remaining time.
test('the earliest announced stop holds until the worker is ready again or starts anew', () => {
  const { clock, registry, register } = registryWith();
  expect(registry.leavesAtMs('w')).toEqual(undefined);
  register({ draining: true, leavesInMs: 2500 });
  const leavesAtMs = clock.monotonicMs() + 2500;
  clock.advance(1000);
  register({ draining: true, leavesInMs: 2500 });
  register({ draining: true });
  expect(registry.leavesAtMs('w')).toEqual(leavesAtMs);
  register({});
  expect(registry.leavesAtMs('w')).toEqual(undefined);
  register({ leavesInMs: 2500 });
  register({ startedAtMs: 2 });
  expect(registry.leavesAtMs('w')).toEqual(undefined);
});
