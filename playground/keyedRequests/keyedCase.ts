import { ProcessGroup, type StartedProcess } from '../processes.ts';
import {
  applyServiceTables,
  type ClusterNode,
  entriesOf,
  SHORT_TIMING,
  startClusterNode,
  waitForEntries,
  waitUntil,
} from '../membership/cluster.ts';

/** What a caller of a non-idempotent route is told. */
export interface KeyedAnswer {
  readonly status: number;
  /** `answered` when a worker's answer came back. */
  readonly outcome: string;
  readonly code?: string;
  readonly repeated: boolean;
  readonly key: string | null;
  readonly text: string;
}

/** A deployment in which `/dispatch` is non-idempotent and every other path is not, with one service. */
export interface KeyedCase extends AsyncDisposable {
  readonly nodes: readonly ClusterNode[];
  readonly platform: { readonly process: StartedProcess };
  /** A key with this home and witness. */
  keyOf(home: ClusterNode, witness: ClusterNode, unique: string): Promise<string>;
  /** Sends a request whose run is counted under `runId`. */
  send(
    entry: ClusterNode,
    key: string | undefined,
    runId: string,
    body?: string,
  ): Promise<KeyedAnswer>;
  runs(runId: string): Promise<number>;
  /** Time from the run to its answer, in ms. */
  setAnswerLatencyMs(answerLatencyMs: number): Promise<void>;
  /** Sum of a metric of a node over the label sets that contain `labels`. */
  metric(node: ClusterNode, name: string, labels?: string): Promise<number>;
}

/** Room for a slow machine: a grant within 1 s, a sign of life within 1.5 s, no isolation in a pause of a few seconds. */
export const KEYED_TIMING = {
  ...SHORT_TIMING,
  peerTimeoutMs: 1000,
  suspectAfterMs: 1500,
  isolationMs: 10_000,
};

const DISPATCH = {
  name: 'dispatch',
  match: { pathPrefix: '/dispatch' },
  pool: 'intake',
  idempotent: false,
  timeoutMs: 20_000,
};

const incarnationOf = (node: ClusterNode): string =>
  / incarnation=(\w+)/.exec(node.process.firstLine)?.[1] ?? '';

const keyOf = async (home: ClusterNode, witness: ClusterNode, unique: string) => {
  let prefix = '';
  const wanted = `.${incarnationOf(home)}.${incarnationOf(witness)}.`;
  await waitUntil(`${home.name} names ${witness.name} as witness`, async () => {
    prefix = (await entriesOf(home))?.idempotencyKeyPrefix ?? '';
    return prefix.includes(wanted);
  });
  return prefix + unique;
};

const send = async (
  entry: ClusterNode,
  key: string | undefined,
  runId: string,
  body = `crew for ${runId}`,
) => {
  const response = await fetch(`http://${entry.address}/dispatch`, {
    method: 'POST',
    headers: { 'x-run-id': runId, ...(key ? { 'idempotency-key': key } : {}) },
    body,
  });
  const text = await response.text();
  const outcome = response.headers.get('x-hyssoppulley-outcome') ?? 'answered';
  return {
    status: response.status,
    outcome,
    code: outcome === 'answered' ? undefined : (JSON.parse(text) as { title: string }).title,
    repeated: response.headers.get('x-hyssoppulley-repeat') === 'true',
    key: response.headers.get('idempotency-key'),
    text,
  };
};

const metric = async (node: ClusterNode, name: string, labels = ''): Promise<number> => {
  const text = await (await fetch(`http://${node.address}/metrics`)).text();
  return text
    .split('\n')
    .filter((line) => line.startsWith(name) && line.includes(labels))
    .reduce((sum, line) => sum + Number(line.split(' ').at(-1)), 0);
};

/** Starts a platform, a service and nodes in a zone each, and waits until every node serves. */
export const startKeyedCase = async (nodeNames: readonly string[]): Promise<KeyedCase> => {
  const group = new ProcessGroup();
  const [platform, service] = await Promise.all([
    group.standIn('platform'),
    group.standIn('service'),
  ]);
  const nodes = await Promise.all(
    nodeNames.map((name) =>
      startClusterNode(group, platform.address, name, { timing: KEYED_TIMING }),
    ),
  );
  const worker = { name: 'intake-1', address: service.address };
  await applyServiceTables(group, nodes[0] as ClusterNode, [worker], [DISPATCH]);
  await waitForEntries(nodes, nodes);
  return {
    nodes,
    platform,
    keyOf,
    send,
    metric,
    runs: async (runId) => {
      const counts = await fetch(`http://${service.address}/control/runs`);
      return ((await counts.json()) as Record<string, number>)[runId] ?? 0;
    },
    setAnswerLatencyMs: async (answerLatencyMs) => {
      await fetch(`http://${service.address}/control/faults`, {
        method: 'PUT',
        body: JSON.stringify({ answerLatencyMs }),
      });
    },
    [Symbol.asyncDispose]: () => group[Symbol.asyncDispose](),
  };
};
