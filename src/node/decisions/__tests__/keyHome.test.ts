import { test } from 'node:test';
import { expect } from 'earl';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import { formatKeyPrefix, type IdempotencyKey, parseIdempotencyKey } from '../idempotencyKey.ts';
import { createExpiryClock } from '../keyExpiry.ts';
import { type ArrivalDecision, KeyHome, type KeyHomeOptions } from '../keyHome.ts';
import type { CompleteResponse } from '../keyRecord.ts';

const TTL_MS = 1000;
const SECRET = 's';

const setUp = (options: Partial<KeyHomeOptions> = {}) => {
  const clock = new VirtualClock();
  const now = createExpiryClock(clock);
  const home = new KeyHome({
    incarnation: 'home1',
    secret: SECRET,
    keyTtlMs: TTL_MS,
    maxRecords: 10,
    maxKeptBytes: 1000,
    maxResponseBytes: 500,
    maxWaiting: 2,
    now,
    ...options,
  });
  const key = (unique: string) =>
    parseIdempotencyKey(
      formatKeyPrefix(
        { homeIncarnation: 'home1', witnessIncarnation: 'witness1', expiresAtMs: now() + TTL_MS },
        SECRET,
      ) + unique,
    );
  const run = (running: IdempotencyKey, sizeBytes: number): CompleteResponse => {
    const response = { statusCode: 200, headers: {}, body: new Uint8Array(sizeBytes) };
    expect(home.arrive(running, 'f')).toEqual({ next: 'ask-witness' });
    expect(home.handleGrantDecision(running, 'granted')).toEqual(true);
    expect(home.beginDispatch(running, true)).toEqual(true);
    home.recordResponse(running, response);
    return response;
  };
  return { clock, home, key, run };
};

const notRun = (code: string) =>
  ({ next: 'settled', settlement: { outcome: 'not-run', code } }) as ArrivalDecision;
const unknown = (code: string) =>
  ({ next: 'settled', settlement: { outcome: 'unknown', code } }) as ArrivalDecision;

test('a repeat gets the stored response, and a repeat with different content gets unknown instead of not-run', () => {
  const { home, key, run } = setUp();
  const first = key('a');
  const response = run(first, 10);
  expect(home.arrive(first, 'f')).toEqual({
    next: 'settled',
    settlement: { outcome: 'answered', response },
  });
  expect(home.arrive(first, 'other')).toEqual(unknown('key-mismatch'));
});

// Guards against a second dispatch caused by a late or duplicate event.
test('a key is dispatched only once despite repeated events', () => {
  const { home, key } = setUp();
  const first = key('a');
  home.arrive(first, 'f');
  expect(home.beginDispatch(first, true)).toEqual(false);
  home.handleGrantDecision(first, 'granted');
  expect(home.handleGrantDecision(first, 'granted')).toEqual(false);
  expect(home.beginDispatch(first, true)).toEqual(true);
  expect(home.beginDispatch(first, true)).toEqual(false);
  home.close(first, 'no-worker');
  expect(home.settlementOf(first)).toEqual(undefined);
  home.recordLostResponse(first);
  expect(home.arrive(first, 'f')).toEqual(unknown('answer-lost'));
});

for (const [decision, code] of [
  [undefined, 'witness-silent'],
  ['sealed', 'witness-refused'],
  ['expired', 'witness-refused'],
  ['wrong-incarnation', 'witness-refused'],
  ['full', 'witness-full'],
] as const) {
  // Guards against a dispatch by a grant that arrives after the caller got `not-run`.
  test(`the grant decision ${decision ?? 'undefined'} closes the key permanently`, () => {
    const { home, key } = setUp();
    const first = key('a');
    home.arrive(first, 'f');
    expect(home.handleGrantDecision(first, decision)).toEqual(false);
    expect(home.handleGrantDecision(first, 'granted')).toEqual(false);
    expect(home.beginDispatch(first, true)).toEqual(false);
    expect(home.arrive(first, 'f')).toEqual(notRun(code));
  });
}

// Guards against a home that is paused after the grant and dispatches too late when it resumes.
test('the dispatch is refused if the key has expired or the serving lease has expired since the grant', () => {
  const { clock, home, key } = setUp();
  const late = key('late');
  const isolated = key('isolated');
  for (const granted of [late, isolated]) {
    home.arrive(granted, 'f');
    home.handleGrantDecision(granted, 'granted');
  }
  expect(home.beginDispatch(isolated, false)).toEqual(false);
  expect(home.arrive(isolated, 'f')).toEqual(notRun('not-serving'));
  clock.advance(TTL_MS);
  expect(home.beginDispatch(late, true)).toEqual(false);
  expect(home.arrive(late, 'f')).toEqual(notRun('key-expired'));
});

test('an expired key gets unknown, even after the wall clock is set back', () => {
  const { clock, home, key } = setUp();
  const first = key('a');
  clock.advance(TTL_MS);
  clock.shiftWallClock(-10 * TTL_MS);
  expect(home.arrive(first, 'f')).toEqual(unknown('key-expired'));
});

// Guards against a key that is refused when the records are full and runs when its caller repeats it later.
test('new keys are refused when the records are full, and stay refused after records have expired', () => {
  const { clock, home, key, run } = setUp({ maxRecords: 2 });
  run(key('a'), 1);
  run(key('b'), 1);
  clock.advance(TTL_MS / 2);
  const refused = key('c');
  expect(home.arrive(refused, 'f')).toEqual(notRun('too-many-keys'));
  clock.advance(TTL_MS / 2);
  run(key('d'), 1);
  expect(home.arrive(refused, 'f')).toEqual(notRun('key-closed'));
  expect(home.size).toEqual(1);
});

test('above the size limit the oldest responses are dropped and their repeats get unknown', () => {
  const { home, key, run } = setUp();
  const keys = ['a', 'b', 'c'].map((unique) => key(unique));
  for (const each of keys) run(each, 400);
  expect(home.keptBytes).toEqual(2 * 402);
  expect(keys.map((each) => home.arrive(each, 'f').next)).toEqual(Array(3).fill('settled'));
  expect(home.arrive(keys[0] as IdempotencyKey, 'f')).toEqual(unknown('answer-not-kept'));
  const large = key('large');
  run(large, 501);
  expect(home.arrive(large, 'f')).toEqual(unknown('answer-not-kept'));
  expect(home.keptBytes).toEqual(2 * 402);
});

test('repeats of a running key wait up to the limit, and further ones get unknown', () => {
  const { home, key } = setUp({ maxWaiting: 1 });
  const first = key('a');
  expect(home.arrive(first, 'f')).toEqual({ next: 'ask-witness' });
  expect(home.arrive(first, 'f')).toEqual({ next: 'wait' });
  expect(home.arrive(first, 'f')).toEqual(unknown('too-many-repeats'));
  home.stopWaiting(first);
  expect(home.arrive(first, 'f')).toEqual({ next: 'wait' });
});

// Guards against a running request whose record expires, so that a repeat would run as a new request.
test('the record of a running request is kept after its key has expired', () => {
  const { clock, home, key } = setUp({ maxRecords: 1 });
  const first = key('a');
  home.arrive(first, 'f');
  home.handleGrantDecision(first, 'granted');
  home.beginDispatch(first, true);
  clock.advance(10 * TTL_MS);
  expect(home.arrive(key('b'), 'f')).toEqual(notRun('too-many-keys'));
  home.recordResponse(first, { statusCode: 200, headers: {}, body: new Uint8Array() });
  expect(home.arrive(first, 'f')).toEqual(unknown('key-expired'));
});

test('a key with another home, an edited prefix or a refusal is settled without running', () => {
  const { home, key } = setUp();
  const first = key('a');
  expect(home.arrive({ ...first, homeIncarnation: 'home2' }, 'f')).toEqual(unknown('wrong-home'));
  const edited = { ...first, expiresAtMs: first.expiresAtMs + 1 };
  expect(home.arrive(edited, 'f')).toEqual(notRun('key-not-issued'));
  expect(home.arrive(key('b'), 'f', 'no-route')).toEqual(notRun('no-route'));
  expect(home.arrive(key('b'), 'f')).toEqual(notRun('no-route'));
});
