import { test } from 'node:test';
import { expect } from 'earl';
import { BATCH_RETRIAL_MS, BatchSuspicion } from '../batchSuspicion.ts';

// Guards against a batch whose items each end several workers (day deadly with the class of batch submissions: 36 workers
// ended under one batch).
test('a batch whose items end workers starts one item at a time, and none once two trials have failed', () => {
  const suspicion = new BatchSuspicion();
  suspicion.recordEnd('batch', 'w1@1', false, 0);
  expect(suspicion.verdictOf('batch', 0)).toEqual('unsuspected');
  suspicion.recordEnd('batch', 'w2@1', false, 0);
  expect(suspicion.verdictOf('batch', 0)).toEqual('suspected');
  suspicion.recordEnd('batch', 'w3@1', true, 10);
  expect(suspicion.verdictOf('batch', 10)).toEqual('condemned');
  expect(suspicion.verdictOf('batch', 9 + BATCH_RETRIAL_MS)).toEqual('condemned');
  expect(suspicion.verdictOf('batch', 10 + BATCH_RETRIAL_MS)).toEqual('suspected');
  suspicion.recordEnd('batch', 'w4@1', true, 20 + BATCH_RETRIAL_MS);
  expect(suspicion.verdictOf('batch', 1e9)).toEqual('condemned');
  expect(suspicion.verdictOf('other', 1e9)).toEqual('unsuspected');
});

// Guards against a batch that is given up because a zone with many of its workers crashed.
test('workers that end at the same time do not condemn a batch, and an item that survives clears it', () => {
  const suspicion = new BatchSuspicion();
  for (const worker of ['w1', 'w2', 'w3', 'w4']) suspicion.recordEnd('batch', worker, false, 0);
  expect(suspicion.verdictOf('batch', 0)).toEqual('suspected');
  expect(suspicion.recordSurvival('batch')).toEqual(true);
  expect(suspicion.verdictOf('batch', 0)).toEqual('unsuspected');
});

// Guards against the last item of a batch that is held because its worker crashed once more after it was cleared.
test('ends before an item survived do not count', () => {
  const suspicion = new BatchSuspicion();
  suspicion.recordEnd('batch', 'w1', false, 0);
  suspicion.recordEnd('batch', 'w2', false, 0);
  suspicion.recordSurvival('batch');
  suspicion.recordEnd('batch', 'w3', true, 0);
  expect(suspicion.verdictOf('batch', 0)).toEqual('unsuspected');
});

// Guards against a batch that stays condemned although one of its items runs on.
test('an item that survives clears a condemned batch', () => {
  const suspicion = new BatchSuspicion();
  for (const worker of ['w1', 'w2']) suspicion.recordEnd('batch', worker, false, 0);
  suspicion.recordEnd('batch', 'w3', true, 0);
  expect(suspicion.verdictOf('batch', 0)).toEqual('condemned');
  suspicion.recordSurvival('batch');
  expect(suspicion.verdictOf('batch', 0)).toEqual('unsuspected');
});

// Guards against state that is kept for batches that have ended.
test('batches that are not open are forgotten', () => {
  const suspicion = new BatchSuspicion();
  suspicion.recordEnd('batch', 'w1', false, 0);
  suspicion.recordEnd('batch', 'w2', false, 0);
  suspicion.retain(() => false);
  expect(suspicion.verdictOf('batch', 0)).toEqual('unsuspected');
});
