import { test } from 'node:test';
import { expect } from 'earl';
import { MAX_HELD_TEXT_MS, mustRestartText } from '../textRestart.ts';

const text = { version: 3, eventCount: 10, heldMs: 0 };

// Guards against an item that is never placed again: all workers have loaded a newer version than that of its text
// (review/2).
test('a text restarts at once when every worker has passed its version', () => {
  expect(mustRestartText(text, [4, 5], 40)).toEqual(true);
  expect(mustRestartText(text, [], 40)).toEqual(true);
});

// Guards against giving up a long text for a worker with its version that is free a moment later.
test('a text waits for a busy worker with its version as long as its events take to generate again', () => {
  expect(mustRestartText({ ...text, heldMs: 399 }, [3, 4], 40)).toEqual(false);
  expect(mustRestartText({ ...text, heldMs: 400 }, [3, 4], 40)).toEqual(true);
});

// Guards against giving up a text whose version the workers are about to load.
test('a text of a newer version than the workers have waits for their loads', () => {
  expect(mustRestartText({ ...text, heldMs: 100 }, [2, 2], 40)).toEqual(false);
});

// Guards against an item of a long text that is at no worker for as long as the text took.
test('no text waits longer than the limit', () => {
  const long = { ...text, eventCount: 1000, heldMs: MAX_HELD_TEXT_MS };
  expect(mustRestartText(long, [3], 40)).toEqual(true);
});
