import { readFile } from 'node:fs/promises';
import { toJson } from '@bufbuild/protobuf';
import { timestampDate } from '@bufbuild/protobuf/wkt';
import {
  GetHistoryResponseSchema,
  GetJobsResponseSchema,
  GetNodesResponseSchema,
  GetWorkersResponseSchema,
} from '../../gen/hyssoppulley/v1/operator_pb.ts';
import { parseTables } from '../tables/parseTables.ts';
import { callFirstReachable, type OperatorClient } from './cliConnection.ts';
import type { NodeOptions, OutputFormat } from './cliOptions.ts';
import { formatOutput, tablesToDocument } from './cliOutput.ts';
import { diffTables } from './tablesDiff.ts';

export interface ViewOptions extends NodeOptions {
  readonly output: OutputFormat;
}

const callNode = <T>(
  { node }: NodeOptions,
  call: (client: OperatorClient) => Promise<T>,
): Promise<T> => callFirstReachable(node, call, true);

/** Prints the accepted tables; as YAML or JSON, the output can be passed to `apply`. */
export const showTables = async (options: ViewOptions): Promise<void> => {
  const { tables, revision } = await callNode(options, (client) => client.getTables({}));
  const routes = (tables?.routes ?? []).map(({ name, pool }) => ({ table: 'route', name, pool }));
  const pools = (tables?.pools ?? []).map(({ name }) => ({ table: 'pool', name, pool: '' }));
  const format = options.output;
  if (format !== 'json') console.log(`# revision ${revision}`);
  console.log(formatOutput(format, tables ? tablesToDocument(tables) : {}, [...routes, ...pools]));
};

/** Prints the nodes known to the answering node. */
export const showNodes = async (options: ViewOptions): Promise<void> => {
  const response = await callNode(options, (client) => client.getNodes({}));
  const rows = response.nodes.map(({ digest, suspected, lastHeardMs }) => ({
    name: digest?.identity?.name ?? '',
    zone: digest?.identity?.availabilityZone ?? '',
    address: `${digest?.identity?.host}:${digest?.identity?.peerPort}`,
    revision: Number(digest?.acceptedRevision ?? 0),
    state: [digest?.leaving && 'leaving', suspected && 'suspected'].find(Boolean) || 'live',
    'heard ms ago': lastHeardMs,
  }));
  console.log(formatOutput(options.output, toJson(GetNodesResponseSchema, response), rows));
};

/** Prints the workers of one pool or of all pools. */
export const showWorkers = async (options: ViewOptions & { pool?: string }): Promise<void> => {
  const response = await callNode(options, (client) =>
    client.getWorkers({ pool: options.pool ?? '' }),
  );
  const rows = response.workers.map((worker) => ({
    pool: worker.pool,
    name: worker.name,
    address: worker.address,
    zone: worker.availabilityZone,
    state: worker.state,
    'in flight': worker.inFlight,
    weights: worker.weightVersion,
  }));
  console.log(formatOutput(options.output, toJson(GetWorkersResponseSchema, response), rows));
};

/** Prints the jobs known to the answering node. */
export const showJobs = async (options: ViewOptions): Promise<void> => {
  const response = await callNode(options, (client) => client.getJobs({}));
  const rows = response.jobs.map((job) => ({
    name: job.name,
    pool: job.pool,
    owner: job.owner,
    weights: job.weightVersion,
    next: job.nextPosition,
    acknowledged: job.acknowledgedPosition,
    steps: job.stepsInFlight,
  }));
  console.log(formatOutput(options.output, toJson(GetJobsResponseSchema, response), rows));
};

/** Prints the accepted revisions, newest first. */
export const showHistory = async (options: ViewOptions): Promise<void> => {
  const response = await callNode(options, (client) => client.getHistory({}));
  const rows = response.entries.map(({ acceptedAt, ...entry }) => ({
    revision: entry.revision,
    operation: entry.operationId,
    coordinator: entry.coordinator,
    accepted: acceptedAt ? timestampDate(acceptedAt).toISOString() : '',
    digest: entry.digest.slice(0, 12),
  }));
  console.log(formatOutput(options.output, toJson(GetHistoryResponseSchema, response), rows));
};

/** Prints the differences between the accepted tables and a file. */
export const showDiff = async (options: NodeOptions & { file: string }): Promise<void> => {
  const after = parseTables(await readFile(options.file, 'utf8'), options.file);
  const { tables, revision } = await callNode(options, (client) => client.getTables({}));
  const lines = diffTables(tables ? tablesToDocument(tables) : {}, tablesToDocument(after));
  console.log(lines.length > 0 ? lines.join('\n') : `no difference to revision ${revision}`);
};

/** Drains a worker or node, or puts it back in service. */
export const setDrain = async (
  options: NodeOptions,
  kind: string,
  name: string,
  drained: boolean,
): Promise<void> => {
  const response = await callNode(options, (client) => client.setDrain({ kind, name, drained }));
  const message = `${kind} ${name} is ${drained ? 'drained' : 'back in service'}`;
  console.log(
    response.kept
      ? message
      : `${message}, until the node restarts: the platform did not store the change`,
  );
};
