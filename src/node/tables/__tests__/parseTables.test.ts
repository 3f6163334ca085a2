import { readdir, readFile } from 'node:fs/promises';
import { test } from 'node:test';
import { expect } from 'earl';
import { fileURLToPath } from 'node:url';
import { Protocol } from '../../../gen/hyssoppulley/v1/tables_pb.ts';
import { parseSettings } from '../../settings/resolveSettings.ts';
import { parseTables } from '../parseTables.ts';

const EXAMPLES = fileURLToPath(new URL('../../../../examples', import.meta.url));

const linesOf = (parse: () => unknown): string[] => {
  try {
    parse();
    return [];
  } catch (error) {
    return (error as Error).message.split('\n');
  }
};
const tables = (text: string) => linesOf(() => parseTables(text, 't.yaml'));

// Guards against reporting only one fault at a time, or faults without their location and what to write instead.
test('every fault of the tables is reported with its line, path, found value and what is allowed', () => {
  expect(
    tables(`routes:
  - name: a
    match: { pathPrefix: /x }
    pool: gone
    idempotent: false
    retryBudgetFraction: 0.5
  - name: a
    match: { pathPrefix: /x/y, methods: [post] }
    pool: desk
  - name: train
    match: { pathPrefix: /v1/jobs/j, headers: { X-Team: ml } }
    pool: desk
    idempotent: false
    job: { name: j, scorerPool: lm }
pools:
  - name: lm
    protocol: model-engine
    objective: { stalenessWeight: 0, trainerIdleWeight: 0 }
    fromVmList: { label: lm, port: 8000 }
    workers:
      - { name: w, address: "10.0.0.300:8000" }
      - { name: w, address: "10.0.0.1:70000" }
  - name: desk
    protocol: plain-service
    rollout: rolling
`),
  ).toEqual([
    't.yaml:7: routes[1].name: found "a" a second time; allowed: a name used once',
    't.yaml:4: routes[0].pool: found unknown pool "gone"; allowed: one of lm, desk',
    't.yaml:12: routes[2].pool: found pool "desk" with a different protocol; allowed: a pool with protocol model-engine',
    't.yaml:14: routes[2].job.scorerPool: found pool "lm" with a different protocol; allowed: a pool with protocol plain-service',
    't.yaml:6: routes[0].retryBudgetFraction: found retries (0.5) on a route with idempotent: false; allowed: 0 or no value: a non-idempotent request runs at most once',
    't.yaml:8: routes[1].match.methods[0]: found "post"; allowed: one of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS',
    't.yaml:13: routes[2].idempotent: found false on a route with a job; allowed: true or no value: lost samples are generated again',
    't.yaml:11: routes[2].match.headers.X-Team: found "X-Team"; allowed: "x-team": header names in lower case',
    't.yaml:8: routes[1].match: found a route whose requests are all matched by "a" before it; allowed: a narrower match in that route, or this route placed before it',
    't.yaml:22: pools[0].workers[1].name: found "w" a second time; allowed: a name used once',
    't.yaml:21: pools[0].workers[0].address: found "10.0.0.300:8000"; allowed: an IP address with octets up to 255 and a port from 1 to 65535',
    't.yaml:22: pools[0].workers[1].address: found "10.0.0.1:70000"; allowed: an IP address with octets up to 255 and a port from 1 to 65535',
    't.yaml:16: pools[0]: found both workers and fromVmList; allowed: one of them',
    't.yaml:18: pools[0].objective: found both weights set to 0; allowed: at least one weight above 0',
    't.yaml:25: pools[1].rollout: found rollout on a plain-service pool; allowed: only on a model-engine pool',
  ]);
});

// Guards against accepting documents with a misspelled field or a field of the wrong type.
test('unknown fields, wrong types and broken YAML are reported with their line', () => {
  const [unknownField] = tables('pools:\n  - name: a\n    protocl: model-engine\n');
  expect(unknownField?.startsWith('t.yaml:3: pools[0].protocl: found an unknown field')).toEqual(
    true,
  );
  const [wrongType] = tables('pools:\n  - name: 7\n    protocol: plain-service\n');
  expect(wrongType).toEqual('t.yaml:2: pools[0].name: found 7; allowed: text; put it in quotes');
  const [notAMapping] = tables('- a\n');
  expect(notAMapping).toEqual('t.yaml:1: document: found a list; allowed: a mapping');
  expect(tables('pools: [').every((line) => /^t\.yaml:\d+: document/.test(line))).toEqual(true);
  const [badName] = tables('pools:\n  - name: Not_A_Name\n    protocol: plain-service\n');
  expect(badName?.startsWith('t.yaml:2: pools[0].name: found "Not_A_Name"; allowed:')).toEqual(
    true,
  );
});

const NODE = 'name: a\nregion: r\navailabilityZone: z\nplatform: { url: "http://127.0.0.1:1" }\n';
const settings = (text: string) => linesOf(() => parseSettings(NODE + text, 's.yaml'));

// Guards against a node that starts with timings under which its guarantees do not hold.
test('settings whose values contradict each other are rejected', () => {
  expect(settings('')).toEqual([]);
  expect(settings('timing:\n  suspectAfterMs: 500\n  leaseMarginMs: 9000\n')).toEqual([
    's.yaml:6: timing.suspectAfterMs: found 500 ms; allowed: at least 2000 ms (2 × heartbeatIntervalMs)',
    's.yaml:7: timing.leaseMarginMs: found 9000 ms; allowed: at most 4500 ms (half of leaseTtlMs)',
    's.yaml:6: timing.leaseRenewIntervalMs: found 3000 ms; allowed: at most 0 ms (half of (leaseTtlMs - leaseMarginMs))',
  ]);
  expect(settings('callerPort: 7000\npeerPort: 7000\n').length).toEqual(1);
  expect(settings('seedPeers: ["10.0.0.1:0"]\n').length).toEqual(1);
});

// Guards against examples that no longer pass the checks or whose pools no longer have the real sizes.
test('the examples of both users are valid and their pools have the real sizes', async () => {
  const nodeNames: string[] = [];
  for (const file of await readdir(EXAMPLES, { recursive: true })) {
    if (!/node-\d+\.yaml$/.test(file)) continue;
    nodeNames.push(parseSettings(await readFile(`${EXAMPLES}/${file}`, 'utf8'), file).name);
  }
  // Both users run 6 to 8 entry VMs; the examples contain six each.
  expect(nodeNames.length).toEqual(12);
  const read = async (user: string) =>
    parseTables(await readFile(`${EXAMPLES}/${user}/tables.yaml`, 'utf8'), user);
  const [czujka, thornbury] = [await read('czujka'), await read('thornbury-vail')];
  const sizes = ({ pools }: typeof czujka) => pools.map(({ workers }) => workers.length);
  expect([sizes(czujka), sizes(thornbury)]).toEqual([
    [6, 4, 2],
    [6, 3, 2],
  ]);
  const objective = ({ pools }: typeof czujka) =>
    pools.find(({ protocol }) => protocol === Protocol.MODEL_ENGINE)?.objective;
  const [first, second] = [objective(czujka), objective(thornbury)];
  expect((first?.stalenessWeight ?? 0) > (first?.trainerIdleWeight ?? 0)).toEqual(true);
  expect((second?.trainerIdleWeight ?? 0) > (second?.stalenessWeight ?? 0)).toEqual(true);
  for (const { routes } of [czujka, thornbury]) {
    expect(routes.some(({ idempotent }) => idempotent === false)).toEqual(true);
    expect(routes.some(({ job }) => job !== undefined)).toEqual(true);
  }
});
