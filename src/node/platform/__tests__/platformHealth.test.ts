import { test } from 'node:test';
import { expect } from 'earl';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import { PlatformHealth } from '../platformHealth.ts';

// Guards against one lost answer that makes a node give up its duties.
test('the platform is lost after several unanswered calls over a while', () => {
  const clock = new VirtualClock();
  const health = new PlatformHealth(clock);
  health.record(false);
  clock.advance(1000);
  expect(health.lost).toEqual(false);
  health.record(false);
  expect(health.lost).toEqual(true);
});

// Guards against a dispatcher that keeps its pool for seconds behind a one-way cut, until each call has reached its limit
// (tvf-quotes, own day partitions, seed 1046269725279: 3.7 s).
test('the platform is lost when several calls in progress hear nothing for a while', () => {
  const clock = new VirtualClock();
  const health = new PlatformHealth(clock);
  health.begin();
  clock.advance(5000);
  expect(health.lost).toEqual(false);
  health.begin();
  expect(health.lost).toEqual(true);
  health.record(true);
  health.end();
  health.begin();
  clock.advance(500);
  expect(health.lost).toEqual(false);
  clock.advance(200);
  expect(health.lost).toEqual(true);
});

// Guards against a slow platform that counts as lost although it answers.
test('a platform that answers one call in 500 ms is not lost', () => {
  const clock = new VirtualClock();
  const health = new PlatformHealth(clock);
  health.begin();
  for (let call = 0; call < 20; call += 1) {
    health.begin();
    clock.advance(500);
    expect(health.lost).toEqual(false);
    health.record(true);
    health.end();
  }
});
