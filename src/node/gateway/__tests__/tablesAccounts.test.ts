import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { MAX_ACCOUNT_KEYS } from '../../decisions/accounts/accountIndex.ts';
import { type Logger, type LogFields, silentLogger } from '../../observability/logger.ts';
import type { ObjectFollower } from '../../platform/objectFollower.ts';
import type { PlatformEvent } from '../../platform/platformClient.ts';
import type { Account, GatewayTables } from '../gatewayTables.ts';
import { TablesFollower } from '../tablesFollower.ts';

/** A follower of tables that a test hands to it, and its log. */
const follow = () => {
  let onEvent: (event: PlatformEvent) => void = () => {};
  const logged: [event: string, fields: LogFields][] = [];
  const record = (event: string, fields: LogFields = {}) => {
    logged.push([event, fields]);
  };
  const logger: Logger = { ...silentLogger, info: record, warn: record, error: record };
  const tables = new TablesFollower({
    ...{ logger, onChange: () => {} },
    kind: {
      prefix: 'config/',
      decode: ({ key, value }) => (key === 'config/main' ? (value as GatewayTables) : undefined),
    },
    followers: {
      follow: (options) => {
        onEvent = options.onEvent;
        return {} as ObjectFollower;
      },
    },
  });
  let version = 0;
  const write = (revision: number, accounts?: readonly Account[]) => {
    version += 1;
    const value = { revision, accounts, routes: [], pools: new Map() };
    const object = { key: 'config/main', version, operationId: '', value };
    onEvent({ type: 'written', object });
  };
  const writeOther = (otherVersion: number) =>
    onEvent({
      type: 'written',
      object: { key: 'config/other', version: otherVersion, operationId: '', value: {} },
    });
  return { tables, write, writeOther, logged };
};

const holderOf = (tables: TablesFollower, key: string) =>
  tables.accounts?.find(Buffer.from(key))?.name;

const keysOf = (count: number) => Array.from({ length: count }, (_, number) => `key-${number}`);

// Guards against a list without bound, which a node of 160 MB cannot hold, and against a node that is left without keys.
test('a version with too many keys is rejected, and the previous one stays in force', () => {
  const { tables, write, logged } = follow();
  write(1, [{ name: 'a', keys: ['k'] }]);
  write(2, [{ name: 'b', keys: keysOf(MAX_ACCOUNT_KEYS + 1) }]);
  expect([tables.tables?.revision, tables.version, holderOf(tables, 'k')]).toEqual([1, 1, 'a']);
  expect(tables.handledVersion).toEqual(2);
  const rejections = logged.filter(([event]) => event === 'tables-rejected');
  expect(rejections.map(([, { revision, held }]) => [revision, held])).toEqual([[2, 1]]);
  write(3, [{ name: 'b', keys: keysOf(MAX_ACCOUNT_KEYS) }]);
  expect([tables.tables?.revision, holderOf(tables, 'k')]).toEqual([3, undefined]);
});

// Guards against a key in the log, where everybody on call can read it.
test('a key that two accounts have is reported by its fingerprint', () => {
  const { write, logged } = follow();
  write(1, [
    { name: 'a', keys: ['the-secret'] },
    { name: 'b', keys: ['the-secret'] },
  ]);
  const problem = logged.find(([event]) => event === 'account-problem')?.[1];
  expect(problem?.account).toEqual('b');
  expect(problem?.holder).toEqual('a');
  expect(String(problem?.key)).toEqual('5a900632');
  expect(JSON.stringify(logged).includes('the-secret')).toEqual(false);
});

// Guards against a node that does not ask for tables it has missed because it has seen a later object of the same kind.
test('objects of the same kind that hold no tables do not count as seen tables', () => {
  const { tables, write, writeOther } = follow();
  write(1);
  writeOther(100);
  expect([tables.version, tables.handledVersion]).toEqual([1, 1]);
});

const accounts = fc.option(
  fc.array(
    fc.record({
      name: fc.constantFrom('a', 'b', 'c'),
      keys: fc.array(fc.constantFrom(...keysOf(8)), { maxLength: 5 }),
    }),
    { maxLength: 4 },
  ),
  { nil: undefined },
);

// Guards against a key that is in force again, or still, after versions that arrive out of order.
test('after versions in any order the keys of the latest revision are in force', () => {
  const version = fc.record({ revision: fc.integer({ min: 1, max: 6 }), accounts });
  fc.assert(
    fc.property(fc.array(version, { maxLength: 12 }), (versions) => {
      const { tables, write } = follow();
      let held: { revision: number; accounts: Account[] | undefined } | undefined;
      for (const next of versions) {
        write(next.revision, next.accounts);
        if (held === undefined || next.revision >= held.revision) held = next;
        expect(tables.tables?.revision).toEqual(held.revision);
        const inForce = held.accounts ?? [];
        expect(tables.accounts === undefined).toEqual(held.accounts === undefined);
        for (const key of keysOf(9)) {
          const holder = inForce.find(({ keys }) => keys.includes(key))?.name;
          expect(holderOf(tables, key)).toEqual(holder);
        }
      }
    }),
    { numRuns: 300 },
  );
});
