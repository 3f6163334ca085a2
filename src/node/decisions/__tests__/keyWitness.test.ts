import { test } from 'node:test';
import { expect } from 'earl';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import { formatKeyPrefix, parseIdempotencyKey } from '../idempotencyKey.ts';
import { createExpiryClock } from '../keyExpiry.ts';
import { KeyWitness } from '../keyWitness.ts';

const setUp = ({ maxGrants = 10, maxSeals = 10 } = {}) => {
  const clock = new VirtualClock();
  const now = createExpiryClock(clock);
  const witness = new KeyWitness({ incarnation: 'witness1', maxGrants, maxSeals, now });
  const key = (unique: string, witnessIncarnation = 'witness1') =>
    parseIdempotencyKey(
      formatKeyPrefix(
        { homeIncarnation: 'home1', witnessIncarnation, expiresAtMs: now() + 1000 },
        's',
      ) + unique,
    );
  return { clock, witness, key };
};

test('the first of grant and seal wins permanently', () => {
  const { witness, key } = setUp();
  const [a, b] = [key('a'), key('b')];
  expect([witness.grant(a), witness.seal(a), witness.grant(a)]).toEqual([
    'granted',
    'granted-before',
    'granted',
  ]);
  expect([witness.seal(b), witness.grant(b), witness.seal(b)]).toEqual([
    'sealed',
    'sealed',
    'sealed',
  ]);
});

// Guards against `sealed` for a key whose grant was dropped, and against a grant for a key whose seal was dropped.
test('expired keys are neither granted nor sealed, even after the wall clock is set back', () => {
  const { clock, witness, key } = setUp();
  const [a, b] = [key('a'), key('b')];
  witness.grant(a);
  witness.seal(b);
  clock.advance(1000);
  clock.shiftWallClock(-5000);
  expect([witness.seal(a), witness.grant(b), witness.grant(a)]).toEqual([
    'unknown',
    'expired',
    'expired',
  ]);
  for (const unique of ['c', 'd']) witness.grant(key(unique));
  witness.seal(key('e'));
  expect(witness.size).toEqual(3);
});

test('a restarted witness neither grants nor seals keys of its previous incarnation', () => {
  const { witness, key } = setUp();
  expect(witness.grant(key('a', 'witness0'))).toEqual('wrong-incarnation');
  expect(witness.seal(key('a', 'witness0'))).toEqual('unknown');
});

test('a full witness refuses grants with full and seals with unknown', () => {
  const { witness, key } = setUp({ maxGrants: 1, maxSeals: 1 });
  expect([witness.grant(key('a')), witness.grant(key('b'))]).toEqual(['granted', 'full']);
  expect([witness.seal(key('c')), witness.seal(key('d'))]).toEqual(['sealed', 'unknown']);
  expect(witness.size).toEqual(2);
});
