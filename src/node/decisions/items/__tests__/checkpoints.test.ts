import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { expect } from 'earl';
import fc from 'fast-check';
import { ItemProgressSchema } from '../../../../gen/hyssoppulley/v1/batch_pb.ts';
import { CheckpointTracker, mergeProgress } from '../checkpoints.ts';

const part = (eventOffset: number, events: string[], version = 1, textId = '') =>
  create(ItemProgressSchema, {
    ...{ itemId: 'i', textId },
    eventOffset,
    events,
    eventVersions: events.map(() => version),
  });

const merged = (...parts: ReturnType<typeof part>[]) => mergeProgress(parts).get('i');

// Guards against platform calls and storage for texts that are cheaper to regenerate than to store.
test('short texts and small additions get no checkpoint, except the rest of a complete text', () => {
  const checkpoints = new CheckpointTracker();
  expect(
    checkpoints.due([{ id: 'i', textId: '', events: 20, isTextComplete: false }]).size,
  ).toEqual(0);
  expect(checkpoints.due([{ id: 'i', textId: '', events: 30, isTextComplete: false }])).toEqual(
    new Map([['i', 0]]),
  );
  checkpoints.recordStored('i', '', 30);
  expect(
    checkpoints.due([{ id: 'i', textId: '', events: 40, isTextComplete: false }]).size,
  ).toEqual(0);
  expect(checkpoints.due([{ id: 'i', textId: '', events: 46, isTextComplete: false }])).toEqual(
    new Map([['i', 30]]),
  );
  expect(checkpoints.due([{ id: 'i', textId: '', events: 32, isTextComplete: true }])).toEqual(
    new Map([['i', 30]]),
  );
});

// Guards against a restarted text whose checkpoint is appended to the text from before the restart.
test('a text that is shorter than its stored events is stored from its start', () => {
  const checkpoints = new CheckpointTracker();
  checkpoints.recordStored('i', '', 60);
  expect(checkpoints.due([{ id: 'i', textId: '', events: 30, isTextComplete: false }])).toEqual(
    new Map([['i', 0]]),
  );
});

// Guards against the same when the new text has grown past the stored length before the next checkpoint.
test('a text that was started anew is stored from its start, however long it is', () => {
  const checkpoints = new CheckpointTracker();
  checkpoints.recordStored('i', '', 30);
  const item = { id: 'i', textId: '1.1', events: 50, isTextComplete: false };
  expect(checkpoints.due([item])).toEqual(new Map([['i', 0]]));
});

// Guards against a text that joins two runs: the beginning of a text that was started anew has not been stored.
test('a checkpoint of a text that was started anew is not appended to the former text', () => {
  const text = merged(part(0, ['a', 'b']), part(2, ['z'], 1, '1.1'));
  expect(text?.events).toEqual(['a', 'b']);
  expect(merged(part(0, ['a', 'b']), part(0, ['x'], 1, '1.1'))?.events).toEqual(['x']);
});

// Guards against a text that mixes the events of two dispatchers: a replaced dispatcher stores another checkpoint after
// its successor has already continued from an earlier one.
test('a late checkpoint of a replaced dispatcher is overwritten by the events of its successor', () => {
  const text = merged(part(0, ['a', 'b']), part(2, ['old', 'old'], 1), part(2, ['c'], 2));
  expect(text?.events).toEqual(['a', 'b', 'c']);
  expect(text?.eventVersions).toEqual([1, 1, 2]);
});

// Guards against a text with a gap where a checkpoint was lost.
test('a checkpoint after a gap is ignored', () => {
  expect(merged(part(0, ['a']), part(3, ['d']))?.events).toEqual(['a']);
  expect(merged(part(2, ['c']))).toEqual(undefined);
});

// Guards against events that are lost or duplicated between the checkpoints of one dispatcher.
test('the merged checkpoints of one dispatcher equal the text up to the last checkpoint', () => {
  fc.assert(
    fc.property(fc.array(fc.nat({ max: 40 }), { maxLength: 10 }), (growths) => {
      const checkpoints = new CheckpointTracker();
      const parts = [];
      let events = 0;
      let kept = 0;
      for (const growth of growths) {
        events += growth;
        const offset = checkpoints
          .due([{ id: 'i', textId: '', events, isTextComplete: false }])
          .get('i');
        if (offset === undefined) continue;
        parts.push(
          part(
            offset,
            Array.from({ length: events - offset }, (_, at) => `${offset + at}`),
          ),
        );
        checkpoints.recordStored('i', '', events);
        kept = events;
      }
      const text = merged(...parts)?.events ?? [];
      expect(text).toEqual(Array.from({ length: kept }, (_, at) => `${at}`));
    }),
    { seed: 20261204, numRuns: 300 },
  );
});
