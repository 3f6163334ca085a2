import { test } from 'node:test';
import { expect } from 'earl';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import { silentLogger } from '../../observability/logger.ts';
import { WeightLoads } from '../../weights/weightLoads.ts';
import { firstOrderDelayMs } from '../firstOrderDelay.ts';

const conditions = {
  fenced: false,
  previousHolder: 'a',
  newHolder: 'b',
  leaseMs: 3000,
  latestOrderMs: 750,
};

// Guards against two nodes that send orders to the same worker at the same time, where workers do not check the fencing
// token.
test('a new holder waits for lease plus order delay only after another node and without fencing', () => {
  expect(firstOrderDelayMs(conditions)).toEqual(3750);
  expect(firstOrderDelayMs({ ...conditions, fenced: true })).toEqual(0);
  expect(firstOrderDelayMs({ ...conditions, previousHolder: undefined })).toEqual(0);
  expect(firstOrderDelayMs({ ...conditions, previousHolder: 'b' })).toEqual(0);
});

// Guards against orders that are sent before the configured lease of the previous holder has passed.
test('no order is sent while maySendOrders returns false, and one is sent afterwards', async () => {
  const clock = new VirtualClock();
  const orders: number[] = [];
  let maySendOrders = false;
  const weights = new WeightLoads({
    ...{ clock, logger: silentLogger, holder: 'b', fencing: 2 },
    calls: {
      order: () => {
        orders.push(clock.monotonicMs());
        return Promise.resolve('accepted');
      },
      report: () =>
        Promise.resolve({ busy: false, orders: 0, startedAtMs: 1, versions: new Map([['m', 1]]) }),
    },
    verifyHolder: () => Promise.resolve(true),
    maySendOrders: () => maySendOrders,
    onFenced() {},
    onChange() {},
    onLoad() {},
  });
  const worker = {
    ...{ id: 'w1', pool: 'p', address: '127.0.0.1:1', availabilityZone: 'z', slots: 1 },
    ...{ draining: false, startedAtMs: 1, heartbeatCount: 1 },
    models: [{ name: 'm', version: 1 }],
  };
  weights.register(worker);
  const refresh = () =>
    weights.refresh(
      [worker],
      'm',
      { newestVersion: 2, neededVersion: 2, hasWaiting: true, maxLoading: 1, singleVersion: false },
      () => 0,
    );
  refresh();
  await clock.advanceAsync(1000);
  expect(orders).toEqual([]);
  maySendOrders = true;
  refresh();
  await clock.advanceAsync(1000);
  expect(orders.length).toEqual(1);
});
