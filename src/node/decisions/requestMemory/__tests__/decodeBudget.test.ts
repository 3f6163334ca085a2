import { test } from 'node:test';
import { expect } from 'earl';
import { DecodeBudget, decodeCost } from '../decodeBudget.ts';

const MEBIBYTE = 1024 * 1024;

// Guards against a short text of many empty values, which costs many times its bytes.
test('values count as well as bytes', () => {
  const empty = `[${'[],'.repeat(MEBIBYTE)}[]]`;
  expect(decodeCost(empty, 0) > 100 * MEBIBYTE).toEqual(true);
  const text = `["${'x'.repeat(3 * MEBIBYTE)}"]`;
  expect(decodeCost(text, 0) < 10 * MEBIBYTE).toEqual(true);
});

// Guards against more texts that are decoded at once than fit, and against one that is refused although it fits alone.
test('texts are decoded at the same time as far as they fit', () => {
  const budget = new DecodeBudget(() => 100);
  const first = budget.take(60) as Disposable;
  expect(budget.take(60)).toEqual('full');
  expect(budget.take(101)).toEqual('never');
  first[Symbol.dispose]();
  first[Symbol.dispose]();
  expect(budget.usedBytes).toEqual(0);
  expect(typeof budget.take(100)).toEqual('object');
});
