import { test } from 'node:test';
import { expect } from 'earl';
import { PassiveHealthCheck } from '../passiveHealthCheck.ts';

const workers = [{ id: 'a' }, { id: 'b' }];

// Guards against sending one request after another to a worker that does not respond.
test('a silent worker gets no requests while another is usable, and its suspension ends within 3.1 s', () => {
  const healthCheck = new PassiveHealthCheck();
  healthCheck.record('a', 'silent', 0);
  expect(healthCheck.selectUsable(workers, 100)).toEqual([{ id: 'b' }]);
  expect(healthCheck.isSuspended('a', 3100)).toEqual(false);
});

// Guards against preferring a worker again after each success although it keeps failing a part of its requests.
test('a worker that fails two of five requests is avoided, and no longer after 10 s without results', () => {
  const healthCheck = new PassiveHealthCheck();
  let nowMs = 0;
  for (let round = 0; round < 6; round += 1) {
    for (const result of ['failed', 'answered', 'failed', 'answered', 'answered'] as const) {
      nowMs += 20;
      healthCheck.record('a', result, nowMs);
    }
    healthCheck.record('a', 'failed', nowMs);
    healthCheck.record('a', 'failed', nowMs);
  }
  expect(healthCheck.isAvoided('a', nowMs)).toEqual(true);
  expect(healthCheck.selectUsable(workers, nowMs + 900)).toEqual([{ id: 'b' }]);
  expect(healthCheck.isAvoided('a', nowMs + 10_000)).toEqual(false);
});

// Guards against taking a whole pool out of use because every worker failed once.
test('if every worker is suspended, all of them are usable', () => {
  const healthCheck = new PassiveHealthCheck();
  healthCheck.record('a', 'failed', 0);
  healthCheck.record('b', 'failed', 0);
  expect(healthCheck.selectUsable(workers, 10)).toEqual(workers);
});

// Guards against sending requests to a full worker again immediately.
test('a worker that refused a request is suspended for more than 20 and at most 40 ms but not avoided', () => {
  const healthCheck = new PassiveHealthCheck();
  healthCheck.record('a', 'refused', 0);
  expect(healthCheck.isSuspended('a', 20)).toEqual(true);
  expect(healthCheck.isSuspended('a', 40)).toEqual(false);
  expect(healthCheck.isAvoided('a', 40)).toEqual(false);
});

// Guards against records that are kept after their workers are gone.
test('retain removes the record of a worker that is no longer registered', () => {
  const healthCheck = new PassiveHealthCheck();
  healthCheck.record('a', 'silent', 0);
  healthCheck.retain((id) => id !== 'a');
  expect(healthCheck.isSuspended('a', 1)).toEqual(false);
});
