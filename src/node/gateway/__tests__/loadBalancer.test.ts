import { test } from 'node:test';
import { expect } from 'earl';
import { seededRandom } from '../../../shared/random.ts';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import { silentLogger } from '../../observability/logger.ts';
import { LoadBalancer } from '../loadBalancer.ts';
import type { WorkerLoad } from '../workerCalls.ts';
import { type RegisteredWorker, WorkerRegistry } from '../workerRegistry.ts';

const ROUTE = { name: 'route', targetLatencyMs: 150 };

const createBalancer = () => {
  const clock = new VirtualClock(0);
  const registry = new WorkerRegistry({
    ...{ clock, logger: silentLogger, onChange() {} },
    decode: ({ value }) => value as RegisteredWorker,
  });
  for (const id of ['worker-1', 'worker-2', 'worker-3']) {
    const value: RegisteredWorker = {
      ...{ id, pool: 'pool', address: '', availabilityZone: 'z', slots: 6, draining: false },
      ...{ startedAtMs: 0, heartbeatCount: 0, models: [] },
    };
    const object = { key: `servers/${id}`, version: 1, operationId: '', value };
    registry.applyEvent({ type: 'written', object });
  }
  const balancer = new LoadBalancer({
    ...{ clock, registry, random: seededRandom(1), availabilityZone: 'z' },
  });
  const answer = (worker: string, load: WorkerLoad | undefined) => {
    const placement = balancer.begin(worker, ROUTE);
    clock.advance(50);
    balancer.release(placement, 'answered', load);
  };
  const chosen = () => {
    const candidates = balancer.candidates('pool', new Set(), true);
    const ids = Array.from({ length: 200 }, () => balancer.choose(candidates, ROUTE)?.id);
    return ids.filter((id) => id === 'worker-1').length;
  };
  return { answer, chosen };
};

// Guards against a new selector for pools whose workers say nothing of their load.
test('without load reports the selection stays as it was', () => {
  const { answer, chosen } = createBalancer();
  for (let index = 0; index < 9; index += 1) answer(`worker-${1 + (index % 3)}`, undefined);
  const count = chosen();
  expect(count > 40 && count < 95).toEqual(true);
});

// Guards against requests to a worker that says that its VM is slow.
test('a worker that reports a slow VM is avoided while others are not', () => {
  const { answer, chosen } = createBalancer();
  answer('worker-1', { running: 1, waiting: 0, slots: 6, pacePercent: 700 });
  expect(chosen()).toEqual(0);
});
