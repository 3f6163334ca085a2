import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import type { Account } from '../../../gateway/gatewayTables.ts';
import { AccountIndex, countKeys, fingerprintOf } from '../accountIndex.ts';

const find = (index: AccountIndex, key: string) => index.find(Buffer.from(key))?.name;

// Guards against two accounts that both pass as the holder of a key, depending on the order of the look-ups.
test('of two accounts with the same key the first one holds it, and the problem is reported', () => {
  const index = new AccountIndex([
    { name: 'first', keys: ['k', 'k', 'k1'] },
    { name: 'second', keys: ['k2', 'k'] },
  ]);
  expect(find(index, 'k')).toEqual('first');
  expect(find(index, 'k2')).toEqual('second');
  expect([index.keysOf('first'), index.keysOf('second'), index.keyCount]).toEqual([2, 1, 3]);
  expect(index.problems).toEqual({
    count: 1,
    first: [{ kind: 'duplicate-key', account: 'second', holder: 'first', key: fingerprintOf('k') }],
  });
});

// Guards against a missing header that is taken for an empty key, and names that no header can carry.
test('empty keys and names that no header can carry are ignored and reported', () => {
  const index = new AccountIndex([
    { name: 'a', keys: ['', 'k'] },
    { name: '', keys: ['k1'] },
    { name: 'x\r\ny', keys: ['k2'] },
  ]);
  expect(['', 'k', 'k1', 'k2'].map((key) => find(index, key))).toEqual([
    ...[undefined, 'a', undefined, undefined],
  ]);
  expect(index.problems.first.map(({ kind }) => kind)).toEqual([
    ...['empty-key', 'unusable-name', 'unusable-name'],
  ] as (typeof index.problems.first)[number]['kind'][]);
});

// Guards against thousands of log lines for one version of the tables.
test('the problems that are reported of one version are bounded', () => {
  const keys = Array.from({ length: 1000 }, (_, number) => `k${number}`);
  const { problems } = new AccountIndex([
    { name: 'a', keys },
    { name: 'b', keys },
  ]);
  expect([problems.count, problems.first.length]).toEqual([1000, 20]);
});

// Guards against a change of one key that costs a digest of every key, on VMs with a tenth of a core.
test('digests of accounts whose keys did not change are reused', () => {
  const accounts = [
    { name: 'a', keys: ['k1', 'k2', 'k3'] },
    { name: 'b', keys: ['k4', 'k5'] },
  ];
  const before = new AccountIndex(accounts);
  const after = new AccountIndex([accounts[0] as Account, { name: 'b', keys: ['k4'] }], before);
  expect([before.hashedKeys, after.hashedKeys]).toEqual([5, 1]);
  expect(['k3', 'k4', 'k5'].map((key) => find(after, key))).toEqual(['a', 'b', undefined]);
});

// Guards against a revocation of which nothing remains in the log, so that nobody finds why a client gets 401.
test('keys that accounts lost are reported by their fingerprints, with the account that holds them now', () => {
  const before = new AccountIndex([
    { name: 'a', keys: ['k1', 'k2', 'k3'] },
    { name: 'b', keys: ['k4', 'k1'] },
    { name: 'c', keys: ['k5'] },
  ]);
  const after = new AccountIndex(
    [
      { name: 'a', keys: ['k1'] },
      { name: 'b', keys: ['k2', 'k6'] },
      { name: 'c', keys: ['k5'] },
    ],
    before,
  );
  expect(after.removedSince(before)).toEqual({
    count: 3,
    first: [
      { key: fingerprintOf('k2'), account: 'a', holder: 'b' },
      { key: fingerprintOf('k3'), account: 'a', holder: undefined },
      { key: fingerprintOf('k4'), account: 'b', holder: undefined },
    ],
  });
});

const key = fc.constantFrom(...Array.from({ length: 12 }, (_, number) => `key-${number}`));
const version: fc.Arbitrary<Account[]> = fc.array(
  fc.record({
    name: fc.constantFrom('a', 'b', 'c', 'd'),
    keys: fc.array(key, { maxLength: 6 }),
    priority: fc.option(fc.nat({ max: 3 }), { nil: undefined }),
  }),
  { maxLength: 6 },
);

/** The accounts that hold keys, by the words of the design page: the first account in the list that has the key. */
const holderOf = (accounts: readonly Account[], wanted: string) =>
  accounts.find(({ keys }) => keys.includes(wanted))?.name;

// Guards against a revoked or reassigned key that stays in force because something of an earlier version is reused.
test('after any sequence of versions exactly the keys of the last one are in force', () => {
  fc.assert(
    fc.property(fc.array(version, { minLength: 1, maxLength: 8 }), (versions) => {
      let index: AccountIndex | undefined;
      for (const accounts of versions) {
        index = new AccountIndex(accounts, index);
        for (let number = 0; number < 13; number += 1) {
          expect(find(index, `key-${number}`)).toEqual(holderOf(accounts, `key-${number}`));
        }
        expect(index.keyCount).toEqual(new Set(accounts.flatMap(({ keys }) => keys)).size);
        expect(countKeys(accounts) >= index.keyCount).toEqual(true);
      }
    }),
    { numRuns: 500 },
  );
});
