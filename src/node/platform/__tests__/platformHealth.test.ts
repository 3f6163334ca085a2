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
