import { test } from 'node:test';
import { expect } from 'earl';
import { PassiveHealthCheck } from '../passiveHealthCheck.ts';

const workers = [{ id: 'a' }, { id: 'b' }];

// Guards against sending one request after another to a worker that does not answer.
test('a silent worker gets no requests while another is usable, and its suspension ends within 3.1 s', () => {
  const trust = new PassiveHealthCheck();
  trust.record('a', 'silent', 0);
  expect(trust.selectUsable(workers, 100)).toEqual([{ id: 'b' }]);
  expect(trust.isSuspended('a', 3100)).toEqual(false);
});

// Guards against trusting a worker again after each success although it keeps failing a part of its requests.
test('a worker that fails two of five requests is avoided, and trusted again after 10 s without results', () => {
  const trust = new PassiveHealthCheck();
  let nowMs = 0;
  for (let round = 0; round < 6; round += 1) {
    for (const result of ['failed', 'answered', 'failed', 'answered', 'answered'] as const) {
      nowMs += 20;
      trust.record('a', result, nowMs);
    }
    trust.record('a', 'failed', nowMs);
    trust.record('a', 'failed', nowMs);
  }
  expect(trust.isAvoided('a', nowMs)).toEqual(true);
  expect(trust.selectUsable(workers, nowMs + 900)).toEqual([{ id: 'b' }]);
  expect(trust.isAvoided('a', nowMs + 10_000)).toEqual(false);
});

// Guards against taking a whole pool out of use because every worker failed once.
test('if every worker is suspended, all of them are usable', () => {
  const trust = new PassiveHealthCheck();
  trust.record('a', 'failed', 0);
  trust.record('b', 'failed', 0);
  expect(trust.selectUsable(workers, 10)).toEqual(workers);
});

// Guards against sending requests to a full worker again immediately.
test('a worker that refused a request is suspended for more than 20 and at most 40 ms and stays trusted', () => {
  const trust = new PassiveHealthCheck();
  trust.record('a', 'refused', 0);
  expect(trust.isSuspended('a', 20)).toEqual(true);
  expect(trust.isSuspended('a', 40)).toEqual(false);
  expect(trust.isAvoided('a', 40)).toEqual(false);
});

// Guards against records that are kept after their workers are gone.
test('retain removes the record of a worker that is no longer registered', () => {
  const trust = new PassiveHealthCheck();
  trust.record('a', 'silent', 0);
  trust.retain((id) => id !== 'a');
  expect(trust.isSuspended('a', 1)).toEqual(false);
});
