import { test } from 'node:test';
import { expect } from 'earl';
import { BatchSuspicion } from '../batchSuspicion.ts';

// Guards against a batch whose items each end several workers (day deadly with the class of batch submissions: 36 workers
// ended under one batch).
test('a batch whose items end workers runs one item at a time, and none once that one ends its worker too', () => {
  const suspicion = new BatchSuspicion();
  suspicion.recordEnd('batch', 'w1@1', false);
  expect(suspicion.verdictOf('batch')).toEqual('unsuspected');
  suspicion.recordEnd('batch', 'w2@1', false);
  expect(suspicion.verdictOf('batch')).toEqual('suspected');
  suspicion.recordEnd('batch', 'w3@1', true);
  expect(suspicion.verdictOf('batch')).toEqual('condemned');
  expect(suspicion.verdictOf('other')).toEqual('unsuspected');
});

// Guards against a batch that is given up because a zone with many of its workers crashed.
test('workers that end at the same time do not condemn a batch, and an item that survives clears it', () => {
  const suspicion = new BatchSuspicion();
  for (const worker of ['w1', 'w2', 'w3', 'w4']) suspicion.recordEnd('batch', worker, false);
  expect(suspicion.verdictOf('batch')).toEqual('suspected');
  expect(suspicion.recordSurvival('batch')).toEqual(true);
  expect(suspicion.verdictOf('batch')).toEqual('unsuspected');
});

// Guards against the last item of a batch that is held because its worker crashed once more after it was cleared.
test('ends before an item survived do not count', () => {
  const suspicion = new BatchSuspicion();
  suspicion.recordEnd('batch', 'w1', false);
  suspicion.recordEnd('batch', 'w2', false);
  suspicion.recordSurvival('batch');
  suspicion.recordEnd('batch', 'w3', true);
  expect(suspicion.verdictOf('batch')).toEqual('unsuspected');
});

// Guards against state that is kept for batches that have ended.
test('batches that are not open are forgotten', () => {
  const suspicion = new BatchSuspicion();
  suspicion.recordEnd('batch', 'w1', false);
  suspicion.recordEnd('batch', 'w2', false);
  suspicion.retain(() => false);
  expect(suspicion.verdictOf('batch')).toEqual('unsuspected');
});
