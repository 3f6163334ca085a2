import { test } from 'node:test';
import { expect } from 'earl';
import { WorkerTrust } from '../workerTrust.ts';

const workers = [{ id: 'a' }, { id: 'b' }];

// Guards against requests that are sent to a silent worker one after the other.
test('a silent worker gets no requests while another is there, and is tried again later', () => {
  const trust = new WorkerTrust();
  trust.record('a', 'silent', 0);
  expect(trust.usable(workers, 100)).toEqual([{ id: 'b' }]);
  expect(trust.isSuspended('a', 3100)).toEqual(false);
});

// Guards against a worker that fails part of its requests and is trusted again after each success.
test('a worker that fails two of five requests is passed over although it answers the others', () => {
  const trust = new WorkerTrust();
  let nowMs = 0;
  for (let round = 0; round < 6; round += 1) {
    for (const result of ['failed', 'answered', 'failed', 'answered', 'answered'] as const) {
      nowMs += 20;
      trust.record('a', result, nowMs);
    }
    trust.record('a', 'failed', nowMs);
    trust.record('a', 'failed', nowMs);
  }
  expect(trust.isUntrusted('a', nowMs)).toEqual(true);
  expect(trust.usable(workers, nowMs + 900)).toEqual([{ id: 'b' }]);
  expect(trust.isUntrusted('a', nowMs + 10_000)).toEqual(false);
});

// Guards against a pool that is given up because every worker failed once.
test('without a trusted worker all are used', () => {
  const trust = new WorkerTrust();
  trust.record('a', 'failed', 0);
  trust.record('b', 'failed', 0);
  expect(trust.usable(workers, 10)).toEqual(workers);
});

// Guards against a full worker that is asked again at once.
test('a worker that refused gets a short pause', () => {
  const trust = new WorkerTrust();
  trust.record('a', 'refused', 0);
  expect(trust.isSuspended('a', 20)).toEqual(true);
  expect(trust.isSuspended('a', 40)).toEqual(false);
  expect(trust.isUntrusted('a', 40)).toEqual(false);
});

// Guards against records that outlive their workers.
test('workers that are no longer registered are forgotten', () => {
  const trust = new WorkerTrust();
  trust.record('a', 'silent', 0);
  trust.retain((id) => id !== 'a');
  expect(trust.isSuspended('a', 1)).toEqual(false);
});
