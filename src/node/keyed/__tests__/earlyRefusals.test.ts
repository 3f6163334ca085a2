import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { expect } from 'earl';
import { NodeIdentitySchema } from '../../../gen/hyssoppulley/v1/peer_pb.ts';
import { TestResources } from '../../dataPath/__tests__/dataPathHarness.ts';

const TABLES = `
routes:
  - { name: r, match: { pathPrefix: /dispatch }, pool: p, idempotent: false }
pools:
  - { name: p, protocol: plain-service }
`;

// Guards against returning `not-run` without asking the home of a key, where a request with the key may be running.
test(
  'a request with a key does not get not-run before the home of the key was asked',
  { timeout: 20_000 },
  async () => {
    await using resources = new TestResources();
    const { base } = await resources.startDataPath(TABLES, {
      membership: {
        self: create(NodeIdentitySchema, { name: 'n' }),
        peers: () => [],
        findIncarnation: () => undefined,
        leaseHolder: () => undefined,
        mayServe: () => false,
        workersOf: () => [],
      },
      handleNonIdempotent: (_route, _request, response) => {
        response.end('asked the home');
        return Promise.resolve();
      },
    });
    const keyedInit = { method: 'POST', headers: { 'idempotency-key': 'k' } };
    expect(await (await fetch(`${base}/dispatch`, keyedInit)).text()).toEqual('asked the home');
    const outcomes = await Promise.all(
      [keyedInit, { method: 'POST' }].map(async (init) =>
        (await fetch(`${base}/elsewhere`, init)).headers.get('x-hyssoppulley-outcome'),
      ),
    );
    expect(outcomes).toEqual(['unknown', 'not-run']);
  },
);
