import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { VirtualClock } from '../../../../shared/virtualClock.ts';
import { type ConnectionActivity, ConnectionTable } from '../connectionTable.ts';

const LIMITS = { maxDescriptors: 4, descriptorsPerRequest: 1, maxOfAddress: 3, maxPipelined: 2 };
const TIMEOUTS = { headTimeoutMs: 3000, unreadTimeoutMs: 15_000 };
const QUIET: ConnectionActivity = { bytesRead: 0, unreadBytes: 0 };

const setUp = () => {
  const clock = new VirtualClock();
  return { clock, table: new ConnectionTable<string>(LIMITS, clock) };
};

// Guards against idle connections that shut out new clients.
test('the connection that has been idle for longest makes room for a new one', () => {
  const { clock, table } = setUp();
  for (const key of ['a', 'b', 'c', 'd']) {
    table.add(key, key);
    clock.advance(10);
  }
  table.begin('a');
  table.end('a', 0);
  expect(table.add('e', 'e')).toEqual([{ key: 'b', reason: 'connections-full' }]);
});

// Guards against requests in progress that are cut off to make room.
test('a new connection is closed where all others have requests', () => {
  const { table } = setUp();
  table.add('a', 'a');
  table.add('b', 'b');
  table.begin('a');
  table.begin('b');
  expect(table.add('c', 'c')).toEqual([{ key: 'c', reason: 'connections-full' }]);
});

// Guards against one client that takes the connections of all.
test('a client address that has its share loses its own longest idle connection', () => {
  const { clock, table } = setUp();
  table.add('other', 'y');
  for (const key of ['a', 'b', 'c']) {
    clock.advance(10);
    table.add(key, 'x');
  }
  expect(table.add('d', 'x')).toEqual([{ key: 'a', reason: 'connections-of-address' }]);
});

// Guards against heads without end, and against kept connections that are closed although they are within the limits.
test('a head that does not end is closed after its limit, an idle connection is not', () => {
  const { clock, table } = setUp();
  table.add('kept', 'x');
  table.add('head', 'y');
  table.begin('kept');
  table.end('kept', 100);
  const activityOf = (key: string) => ({ ...QUIET, bytesRead: key === 'kept' ? 100 : 10 });
  expect(table.sweep(activityOf, TIMEOUTS)).toEqual([]);
  clock.advance(3000);
  expect(table.sweep(activityOf, TIMEOUTS)).toEqual([{ key: 'head', reason: 'head-timeout' }]);
  table.remove('head');
  clock.advance(12_000);
  expect(table.sweep(activityOf, TIMEOUTS)).toEqual([]);
});

// Guards against responses that nobody reads, and against slow readers that are cut off.
test('a connection whose response is not read is closed, one that is read slowly is not', () => {
  const { clock, table } = setUp();
  table.add('slow', 'x');
  table.add('stuck', 'y');
  let left = 1000;
  const activityOf = (key: string) => ({ ...QUIET, unreadBytes: key === 'slow' ? left : 1000 });
  table.sweep(activityOf, TIMEOUTS);
  clock.advance(14_000);
  left -= 1;
  expect(table.sweep(activityOf, TIMEOUTS)).toEqual([]);
  clock.advance(1000);
  expect(table.sweep(activityOf, TIMEOUTS)).toEqual([{ key: 'stuck', reason: 'response-unread' }]);
});

// Guards against requests sent ahead without bound on one connection.
test('requests ahead of their responses are bounded for each connection', () => {
  const { table } = setUp();
  table.add('a', 'x');
  expect([table.begin('a'), table.begin('a'), table.begin('a')]).toEqual([
    'served',
    'served',
    'pipelined',
  ]);
});

// Guards against counts that drift from the connections and requests that exist.
test('counts match the open connections and requests in random orders', () => {
  const step = fc.tuple(fc.constantFrom('add', 'remove', 'begin', 'end'), fc.nat({ max: 5 }));
  fc.assert(
    fc.property(fc.array(step, { maxLength: 80 }), (steps) => {
      const { table } = setUp();
      const open = new Map<string, number>();
      const remove = (key: string) => {
        table.remove(key);
        open.delete(key);
      };
      for (const [kind, index] of steps) {
        const key = String(index);
        const requests = open.get(key);
        if (kind === 'add' && requests === undefined) {
          open.set(key, 0);
          for (const { key: closed } of table.add(key, String(index % 2))) remove(closed);
        } else if (kind === 'remove') remove(key);
        else if (kind === 'begin' && requests !== undefined) {
          const verdict = table.begin(key);
          open.set(key, requests + 1);
          if (verdict === 'pipelined') remove(key);
          else if (verdict === 'connections-full') {
            table.end(key, 0);
            open.set(key, requests);
          }
        } else if (kind === 'end' && requests !== undefined && requests > 0) {
          table.end(key, 0);
          open.set(key, requests - 1);
        }
        expect(table.size).toEqual(open.size);
        const inProgress = [...open.values()].reduce((sum, count) => sum + count, 0);
        expect(table.descriptors).toEqual(open.size + inProgress);
        expect(table.descriptors <= LIMITS.maxDescriptors).toEqual(true);
      }
    }),
    { seed: 20261206, numRuns: 500 },
  );
});
