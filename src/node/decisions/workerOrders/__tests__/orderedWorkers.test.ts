import { test } from 'node:test';
import { expect } from 'earl';
import { OrderSubject } from '../orderedWorkers.ts';

const START_MS = 4000;

// Guards against two orders for the same workers that may take effect in any order.
test('no order is sent while an earlier one may still take effect', () => {
  const subject = new OrderSubject('a', true, 0);
  subject.recordSent(5, 0);
  expect(subject.maySend(100)).toEqual(false);
  subject.recordResult(5, 'unknown', 200);
  expect(subject.maySend(6000)).toEqual(false);
  subject.observe([], START_MS, 7000);
  expect(subject.maySend(7000)).toEqual(true);
  expect(subject.ordered).toEqual(0);
});

// Guards against an order that is taken back because of the late answer to an earlier one.
test('the answer to an order that another one has replaced is ignored', () => {
  const subject = new OrderSubject('a', true, 0);
  subject.recordSent(5, 0);
  subject.observe([], START_MS, 12_000);
  subject.recordSent(7, 12_000);
  subject.recordResult(5, 'refused', 12_500);
  expect(subject.ordered).toEqual(7);
  subject.recordResult(7, 'accepted', 12_600);
  expect(subject.ordered).toEqual(7);
  expect(subject.maySend(12_700)).toEqual(true);
});
