import { test } from 'node:test';
import { expect } from 'earl';
import type { GatewayRoute } from '../../../gateway/gatewayTables.ts';
import { mostUrgentPriority, priorityOf } from '../mostUrgentPriority.ts';

const routeOf = (priority: number, changes: Partial<GatewayRoute> = {}) =>
  ({
    ...{ kind: 'idempotent', priority, pools: [{ pool: 'p', weight: 1 }] },
    ...changes,
  }) as GatewayRoute;

// Guards against a request that is treated by its route's priority although its account has one.
test('the priority of the account takes precedence over that of the route', () => {
  const route = routeOf(3);
  expect(priorityOf({ name: 'a', priority: 0 }, route)).toEqual(0);
  expect(priorityOf({ name: 'a', priority: 5 }, route)).toEqual(5);
  expect(priorityOf({ name: 'a' }, route)).toEqual(3);
  expect(priorityOf(undefined, route)).toEqual(3);
});

// Guards against permits that wait for requests of a priority that no account can have, or that a less urgent one gets.
test('the most urgent priority of a pool is that of its accounts, of its public routes, or of its routes', () => {
  const routes = [routeOf(2), routeOf(1, { kind: 'batch' }), routeOf(0, { pools: [] })];
  const urgent = (accounts: { name: string; priority?: number }[], more: GatewayRoute[] = []) =>
    mostUrgentPriority([...routes, ...more], accounts, 'p');
  expect(urgent([])).toEqual(2);
  expect(urgent([{ name: 'a', priority: 4 }])).toEqual(4);
  expect(urgent([{ name: 'a', priority: 4 }, { name: 'b' }])).toEqual(2);
  expect(urgent([{ name: 'a', priority: 4 }], [routeOf(3, { isPublic: true })])).toEqual(3);
  expect(mostUrgentPriority([], [], 'p')).toEqual(Infinity);
});
