import { test } from 'node:test';
import { expect } from 'earl';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import { PlatformHealth } from '../platformHealth.ts';

// Guards against a node that gives up its roles after a single lost response.
test('the platform is lost after two calls without a response over more than 500 ms', () => {
  const clock = new VirtualClock();
  const health = new PlatformHealth(clock);
  health.record(false);
  clock.advance(1000);
  expect(health.lost).toEqual(false);
  health.record(false);
  expect(health.lost).toEqual(true);
});

// Guards against a dispatcher that keeps its pool for seconds during a one-way network partition, until each of its
// calls has timed out (seen on tvf-quotes, own day partitions, seed 1046269725279: 3.7 s).
test('the platform is lost when two calls in progress get no response for over 600 ms', () => {
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

// Guards against treating a slow platform as lost although it responds.
test('a platform that responds to one call every 500 ms is not lost', () => {
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
