import { test } from 'node:test';
import { expect } from 'earl';
import { BatchSuspicion } from '../batchSuspicion.ts';
import { itemRetrialPauseMs } from '../retrialPause.ts';

const end = (worker: string, trial = false, atMs = 0, ranMs = 10) => ({
  worker,
  trial,
  ranMs,
  atMs,
});

// Guards against a batch whose items each end several workers (day deadly with the class of batch submissions: 36 workers
// ended under one batch).
test('a batch whose items end workers starts one item at a time, and none for a while once a trial has failed', () => {
  const suspicion = new BatchSuspicion();
  suspicion.recordEnd('batch', end('w1@1'));
  expect(suspicion.verdictOf('batch', 0)).toEqual('unsuspected');
  suspicion.recordEnd('batch', end('w2@1'));
  expect(suspicion.verdictOf('batch', 0)).toEqual('suspected');
  expect(suspicion.trialsAtOnce('batch')).toEqual(1);
  suspicion.recordEnd('batch', end('w3@1', true, 10));
  expect(suspicion.verdictOf('batch', 9 + itemRetrialPauseMs(1))).toEqual('condemned');
  expect(suspicion.verdictOf('batch', 10 + itemRetrialPauseMs(1))).toEqual('suspected');
  const secondMs = 20 + itemRetrialPauseMs(1);
  suspicion.recordEnd('batch', end('w4@1', true, secondMs));
  expect(suspicion.verdictOf('batch', secondMs + itemRetrialPauseMs(2) - 1)).toEqual('condemned');
  expect(suspicion.verdictOf('batch', secondMs + itemRetrialPauseMs(2))).toEqual('suspected');
  expect(suspicion.verdictOf('other', secondMs)).toEqual('unsuspected');
});

// Guards against a batch that is cleared by items which generate for as long as those under which workers ended.
test('a run must outlive those under which workers ended to clear its batch', () => {
  const suspicion = new BatchSuspicion();
  expect(suspicion.survivalMs('batch')).toEqual(250);
  suspicion.recordEnd('batch', end('w1', false, 0, 400));
  expect(suspicion.survivalMs('batch')).toEqual(600);
  suspicion.recordEnd('batch', end('w2', false, 0, 9000));
  expect(suspicion.survivalMs('batch')).toEqual(1000);
});

// Guards against a batch that waits for one silent worker after the other.
test('each trial at a silent worker lets one more item start beside it', () => {
  const suspicion = new BatchSuspicion();
  for (const worker of ['w1', 'w2']) suspicion.recordEnd('batch', end(worker));
  suspicion.recordStall('batch');
  expect(suspicion.trialsAtOnce('batch')).toEqual(2);
  expect(suspicion.verdictOf('batch', 0)).toEqual('suspected');
});

// Guards against a batch that is given up because a zone with many of its workers crashed.
test('workers that end at the same time do not condemn a batch, and an item that survives clears it', () => {
  const suspicion = new BatchSuspicion();
  for (const worker of ['w1', 'w2', 'w3', 'w4']) suspicion.recordEnd('batch', end(worker));
  expect(suspicion.verdictOf('batch', 0)).toEqual('suspected');
  expect(suspicion.recordSurvival('batch')).toEqual(true);
  expect(suspicion.verdictOf('batch', 0)).toEqual('unsuspected');
});

// Guards against the last item of a batch that is held because its worker crashed once more after it was cleared.
test('ends before an item survived do not count', () => {
  const suspicion = new BatchSuspicion();
  suspicion.recordEnd('batch', end('w1'));
  suspicion.recordEnd('batch', end('w2'));
  suspicion.recordSurvival('batch');
  suspicion.recordEnd('batch', end('w3', true, 0));
  expect(suspicion.verdictOf('batch', 0)).toEqual('unsuspected');
});

// Guards against a batch that stays condemned although one of its items runs on.
test('an item that survives clears a condemned batch', () => {
  const suspicion = new BatchSuspicion();
  for (const worker of ['w1', 'w2']) suspicion.recordEnd('batch', end(worker));
  suspicion.recordEnd('batch', end('w3', true, 0));
  expect(suspicion.verdictOf('batch', 0)).toEqual('condemned');
  suspicion.recordSurvival('batch');
  expect(suspicion.verdictOf('batch', 0)).toEqual('unsuspected');
});

// Guards against state that is kept for batches that have ended.
test('batches that are not open are forgotten', () => {
  const suspicion = new BatchSuspicion();
  suspicion.recordEnd('batch', end('w1'));
  suspicion.recordEnd('batch', end('w2'));
  suspicion.retain(() => false);
  expect(suspicion.verdictOf('batch', 0)).toEqual('unsuspected');
});
