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

/** Response to a request on a non-idempotent route. */
export interface KeyedResponse {
  readonly status: number;
  /** Value of `x-hyssoppulley-outcome`, or `answered` for a worker's response, which does not have that header. */
  readonly outcome: string;
  readonly code?: string;
  readonly repeated: boolean;
  readonly key: string | null;
  readonly text: string;
}

/** A deployment with one service, in which only the route `/dispatch` is non-idempotent. */
export interface KeyedDeployment extends AsyncDisposable {
  readonly nodes: readonly ClusterNode[];
  readonly platform: { readonly process: StartedProcess };
  /** Creates an idempotency key with the given home and witness that ends in `unique`. */
  createKey(home: ClusterNode, witness: ClusterNode, unique: string): Promise<string>;
  /** Sends a request to `/dispatch`. The service counts its runs under `runId`. */
  send(
    entry: ClusterNode,
    key: string | undefined,
    runId: string,
    body?: string,
  ): Promise<KeyedResponse>;
  runs(runId: string): Promise<number>;
  /** Sets the time that the service takes to respond, in ms. It counts the run before that. */
  setAnswerLatencyMs(answerLatencyMs: number): Promise<void>;
  /** Sum of a node's metric over all label sets that contain the text `labels`. */
  metric(node: ClusterNode, name: string, labels?: string): Promise<number>;
}

/**
 * Tolerates a slow machine: a grant may take 1 s, a peer is suspected after 1.5 s, and a pause of a few seconds does
 * not isolate a node.
 */
export const KEYED_TIMING = {
  ...SHORT_TIMING,
  peerTimeoutMs: 1000,
  suspectAfterMs: 1500,
  isolationMs: 10_000,
};

const DISPATCH_ROUTE = {
  name: 'dispatch',
  match: { pathPrefix: '/dispatch' },
  pool: 'intake',
  idempotent: false,
  timeoutMs: 20_000,
};

const incarnationOf = (node: ClusterNode): string =>
  / incarnation=(\w+)/.exec(node.process.readyLine)?.[1] ?? '';

const createKey = async (home: ClusterNode, witness: ClusterNode, unique: string) => {
  let prefix = '';
  const expectedPart = `.${incarnationOf(home)}.${incarnationOf(witness)}.`;
  await waitUntil(`${home.name} names ${witness.name} as witness`, async () => {
    prefix = (await entriesOf(home))?.idempotencyKeyPrefix ?? '';
    return prefix.includes(expectedPart);
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

const startInGroup = async (
  group: ProcessGroup,
  nodeNames: readonly string[],
): Promise<KeyedDeployment> => {
  const [platform, service] = await Promise.all([
    group.startStandIn('platform'),
    group.startStandIn('service'),
  ]);
  const nodes = await Promise.all(
    nodeNames.map((name) =>
      startClusterNode(group, platform.address, name, { timing: KEYED_TIMING }),
    ),
  );
  const worker = { name: 'intake-1', address: service.address };
  await applyServiceTables(group, nodes[0] as ClusterNode, [worker], [DISPATCH_ROUTE]);
  await waitForEntries(nodes, nodes);
  return {
    nodes,
    platform,
    createKey,
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

/** Starts a platform, a service and nodes in a zone each, and waits until every node lists all of them as entries. */
export const startKeyedDeployment = async (
  nodeNames: readonly string[],
): Promise<KeyedDeployment> => {
  const group = new ProcessGroup();
  try {
    return await startInGroup(group, nodeNames);
  } catch (error) {
    await group[Symbol.asyncDispose]();
    throw error;
  }
};
