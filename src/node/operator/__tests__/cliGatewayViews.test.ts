import http from 'node:http';
import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import { expect } from 'earl';
import {
  AccountStatusSchema,
  DutyStatusSchema,
  GatewayOperatorService,
  ListUploadsResponseSchema,
  SuspectStatusSchema,
  UsageStatusSchema,
  WorkerOrderStatusSchema,
} from '../../../gen/hyssoppulley/v1/gateway_operator_pb.ts';
import { listen } from '../../dataPath/httpServer.ts';
import {
  createGatewayOperatorHandlers,
  type GatewayOperatorViews,
} from '../../gateway/gatewayOperator.ts';
import { clearSuspect, showGatewayView } from '../cliGatewayViews.ts';
import type { OutputFormat } from '../cliOptions.ts';
import { GATEWAY_VIEWS, type GatewayViewName } from '../gatewayViewNames.ts';

const views: GatewayOperatorViews = {
  revision: () => 7,
  accounts: () => [
    create(AccountStatusSchema, { name: 'a', keys: 2, priority: 1, requests: 10n, refused: 3n }),
    create(AccountStatusSchema, { name: 'b', keys: 0, waiting: 4 }),
  ],
  usage: () => [create(UsageStatusSchema, { window: 9n, state: 'sent', requests: { a: 5, b: 6 } })],
  duties: () => [
    create(DutyStatusSchema, { name: 'usage-reports', holder: 'n', term: 4 }),
    create(DutyStatusSchema, {
      ...{ name: 'worker-orders', holder: 'm', term: 2, lastResult: 'fenced', lastCallAgeMs: 12 },
    }),
  ],
  workerOrders: () => [
    create(WorkerOrderStatusSchema, {
      ...{
        pool: 'p',
        availabilityZone: 'z',
        spot: true,
        ordered: 3,
        registered: 2,
        reason: 'load',
      },
    }),
  ],
  suspects: () => [
    create(SuspectStatusSchema, { digest: 'd1', workerEnds: 2, verdict: 'suspected' }),
  ],
  clearSuspect: (digest) => digest === 'd1',
  uploads: () =>
    create(ListUploadsResponseSchema, {
      ...{ limitBytes: 100n, heldBytes: 40n, connections: 3, refused: { slow: 2n } },
    }),
};

/** A node that answers requests of operators. */
const startNode = async () => {
  const server = http.createServer(
    connectNodeAdapter({
      routes: (router) => {
        router.service(GatewayOperatorService, createGatewayOperatorHandlers(views));
      },
    }),
  );
  const port = await listen(server, '127.0.0.1', 0);
  return {
    node: [`127.0.0.1:${port}`],
    [Symbol.dispose]: () => {
      server.closeAllConnections();
      server.close();
    },
  };
};

const TABLES: Readonly<Record<GatewayViewName, readonly string[]>> = {
  accounts: [
    'NAME  KEYS  PRIORITY      REQUESTS  WAITING  REFUSED  REVISION',
    'a     2     1             10        0        3        7',
    'b     0     of the route  0         4        0        7',
  ],
  usage: [
    'WINDOW  STATE  ACCOUNT  REQUESTS',
    '9       sent   a        5',
    '9       sent   b        6',
  ],
  duties: [
    'NAME           HOLDER  TERM  LAST RESULT  LAST CALL MS AGO',
    'usage-reports  n       4',
    'worker-orders  m       2     fenced       12',
  ],
  'worker-orders': [
    'POOL  ZONE  SPOT  ORDERED  REGISTERED  REASON',
    'p     z     true  3        2           load',
  ],
  suspects: [
    'DIGEST  WORKERS ENDED  VERDICT    LAST END MS AGO',
    'd1      2              suspected  0',
  ],
  uploads: [
    'NAME           VALUE',
    'limit bytes    100',
    'held bytes     40',
    'connections    3',
    'refused: slow  2',
  ],
};

for (const name of Object.keys(GATEWAY_VIEWS) as GatewayViewName[]) {
  // Guards against a view that operators cannot read, or that leaves out what a node answers.
  test(`get ${name} shows what the node answers`, async () => {
    using node = await startNode();
    const show = (output: OutputFormat) => showGatewayView(name, { ...node, output });
    expect((await show('table')).split('\n')).toEqual([...(TABLES[name] ?? [])]);
    expect(typeof JSON.parse(await show('json'))).toEqual('object');
  });
}

// Guards against an operator who believes that a request is sent to workers again after a mistyped digest.
test('clear suspect says whether the request was suspected', async () => {
  using node = await startNode();
  expect(await clearSuspect(node, 'd1')).toEqual('suspect d1 is cleared');
  await expect(clearSuspect(node, 'd2')).toBeRejectedWith('no request with the digest d2');
});
