import { test } from 'node:test';
import { Registry } from 'prom-client';
import { create } from '@bufbuild/protobuf';
import { expect } from 'earl';
import { HeartbeatResponseSchema } from '../../../gen/hyssoppulley/v1/peer_pb.ts';
import { Stopwatch } from '../../../shared/clock.ts';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import { AccountIndex } from '../../decisions/accounts/accountIndex.ts';
import type { GatewayRoute, GatewayTables } from '../../gateway/gatewayTables.ts';
import { RouteIndex } from '../../gateway/routeIndex.ts';
import { type LogFields, silentLogger } from '../../observability/logger.ts';
import { AccountServices, longestTablesWaitMs } from '../accountServices.ts';

const ROUTE = { name: 'r' } as GatewayRoute;

const REVOKE_AFTER_MS = 5000;

const startServices = (accountCount: number) => {
  const accounts = Array.from({ length: accountCount }, (_, number) => ({
    ...{ name: `account-${number}`, keys: [`key-${number}`], priority: number },
  }));
  const tables = {
    ...{ tables: { revision: 3 } as GatewayTables, accounts: new AccountIndex(accounts) },
    ...{ routes: new RouteIndex([]), version: 12, ageMs: 0 },
  };
  const registry = new Registry();
  const refusals: LogFields[] = [];
  const logger = {
    ...silentLogger,
    info: (_event: string, fields: LogFields = {}) => refusals.push(fields),
  };
  const services = new AccountServices({
    ...{ logger, metrics: { registry }, tables },
    settings: { strictRevocation: true, revokeAfterMs: REVOKE_AFTER_MS },
  });
  const authenticate = (key: string | undefined, again = false) =>
    services.authenticate({ id: 'q', key, again }, ROUTE).kind;
  return { services, tables, registry, refusals, authenticate };
};

// Guards against a metric whose number of series grows with the accounts.
test('metrics name the 20 largest accounts and count the others together', async () => {
  const { authenticate, registry } = startServices(80);
  for (let number = 0; number < 80; number += 1) {
    for (let count = 0; count <= number; count += 1) authenticate(`key-${number}`);
  }
  const metric = await registry.getSingleMetric('hyssoppulley_account_requests')?.get();
  const values = new Map(metric?.values.map(({ labels, value }) => [labels.account, value]));
  expect(values.size).toEqual(21);
  expect(values.get('account-79')).toEqual(80);
  expect(values.get('account-60')).toEqual(61);
  expect(values.get('others')).toEqual((60 * 61) / 2);
});

// Guards against counts that outlive their accounts, and against a body that counts its request twice.
test('operators see the accounts in force with their keys, requests and refusals', () => {
  const { services, tables, authenticate } = startServices(2);
  authenticate('key-0');
  authenticate('key-0', true);
  authenticate('key-1');
  tables.ageMs = REVOKE_AFTER_MS;
  authenticate('key-1');
  const shown = () =>
    services
      .status([{ account: 'account-1', waiting: 3, refused: 2 }])
      .map(({ name, keys, priority, requests, waiting, refused }) => [
        ...[name, keys, priority, Number(requests), waiting, Number(refused)],
      ]);
  expect(shown()).toEqual([
    ['account-0', 1, 0, 1, 0, 0],
    ['account-1', 1, 1, 1, 3, 3],
  ]);
  tables.accounts = new AccountIndex([{ name: 'account-1', keys: [] }]);
  services.tablesChanged();
  expect(shown()).toEqual([['account-1', 0, undefined, 1, 3, 3]]);
});

// Guards against a refusal whose cause on-call cannot find, and against a key in the log.
test('a refusal is logged with its reason, the fingerprint of the key and the age of the tables', () => {
  const { tables, refusals, authenticate } = startServices(1);
  authenticate('unknown');
  authenticate(undefined);
  tables.ageMs = 6000;
  authenticate('key-0');
  const common = { request: 'q', route: 'r', revision: 3 };
  expect(refusals).toEqual([
    { ...common, reason: 'key-unknown', key: 'b23a6a84', account: undefined, tablesAgeMs: 0 },
    { ...common, reason: 'key-missing', key: undefined, account: undefined, tablesAgeMs: 0 },
    {
      ...{ ...common, reason: 'tables-not-confirmed', key: 'd5ead6fd', account: 'account-0' },
      tablesAgeMs: 6000,
    },
  ]);
});

// Guards against a node that refuses its callers although peers know that its tables are current.
test('a peer that knows the tables to be current keeps keyed requests going', () => {
  const clock = new VirtualClock();
  const { services, tables, authenticate } = startServices(1);
  tables.ageMs = Infinity;
  expect(authenticate('key-0')).toEqual('stale');
  const respond = (acceptedRevision: number, tablesAgeMs: number) =>
    services.peerResponded(
      create(HeartbeatResponseSchema, {
        responder: { acceptedRevision: BigInt(acceptedRevision) },
        tablesAgeMs,
      }),
      new Stopwatch(clock),
    );
  respond(11, 0);
  respond(13, 0);
  expect(authenticate('key-0')).toEqual('stale');
  respond(12, 1000);
  clock.advance(REVOKE_AFTER_MS - 1001);
  expect(authenticate('key-0')).toEqual('account');
  clock.advance(1);
  expect(authenticate('key-0')).toEqual('stale');
});

// Guards against calls to the platform that are made more often although nothing depends on the age of the tables.
test('only strict revocation shortens the calls for changes of the tables', () => {
  const settings = { strictRevocation: true, revokeAfterMs: REVOKE_AFTER_MS };
  expect(longestTablesWaitMs(settings)).toEqual(1000);
  expect(longestTablesWaitMs({ ...settings, strictRevocation: false })).toEqual(Infinity);
});
