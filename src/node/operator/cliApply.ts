import { readFile } from 'node:fs/promises';
import { ApplyResult, type ApplyTablesResponse } from '../../gen/hyssoppulley/v1/operator_pb.ts';
import { messageOf } from '../../shared/errors.ts';
import { newId } from '../../shared/random.ts';
import { parseTables } from '../tables/parseTables.ts';
import { callFirstReachable } from './cliConnection.ts';
import { CommandError, commandError, ExitCode } from './cliErrors.ts';
import type { NodeOptions } from './cliOptions.ts';

export interface ApplyOptions extends NodeOptions {
  readonly file: string;
  readonly ifRevision?: number;
  /** Longest time to wait for every node to serve the revision, in ms. */
  readonly wait: number;
  readonly operation?: string;
}

/**
 * Longest time that a coordinator takes, apart from the operator's wait, in ms: up to 5 s to read the head, 5 s to
 * propose, 10 s to prepare and 7 s to accept.
 */
const COORDINATION_TIMEOUT_MS = 30_000;

const repeatCommand = (options: ApplyOptions, operationId: string): string => {
  const { file, ifRevision, node } = options;
  const condition = ifRevision === undefined ? '' : ` --if-revision ${ifRevision}`;
  const nodes = node.map((address) => ` --node ${address}`).join('');
  return `hyssoppulley apply -f ${file}${condition} --operation ${operationId}${nodes}`;
};

const unknownResultError = (options: ApplyOptions, operationId: string, reason: string) =>
  commandError(
    ExitCode.UNKNOWN_RESULT,
    `unknown: ${reason}; operation ${operationId}\nto find out the result, run:\n  ${repeatCommand(options, operationId)}`,
  );

const formatResult = (
  options: ApplyOptions,
  operationId: string,
  response: ApplyTablesResponse,
): string => {
  const { result, reason, missingNodes, nodesInForce, nodesTotal, revision } = response;
  const inForce = `in force on ${nodesInForce} of ${nodesTotal} nodes at revision ${revision}`;
  if (result === ApplyResult.IN_FORCE) return inForce;
  if (result === ApplyResult.REFUSED) throw commandError(ExitCode.REFUSED, `refused: ${reason}`);
  if (result === ApplyResult.ACCEPTED) {
    const missing = missingNodes.join(', ');
    throw unknownResultError(
      options,
      operationId,
      `accepted, ${inForce}; no report yet from ${missing}`,
    );
  }
  throw unknownResultError(options, operationId, reason);
};

/** Applies the tables of a file and prints the result. */
export const apply = async (options: ApplyOptions): Promise<void> => {
  const { file, ifRevision, wait: waitMs, operation, node } = options;
  const tables = parseTables(await readFile(file, 'utf8'), file);
  const operationId = operation ?? newId();
  const repeatedCall = operation !== undefined;
  const request = { tables, operationId, ifRevision, waitMs, repeatedCall };
  let response: ApplyTablesResponse;
  try {
    response = await callFirstReachable(
      node,
      (client) => client.applyTables(request),
      // Not repeated: another node could refuse the change while the first node still applies it.
      false,
      COORDINATION_TIMEOUT_MS + waitMs,
    );
  } catch (error) {
    if (error instanceof CommandError) throw error;
    throw unknownResultError(options, operationId, `the node did not answer (${messageOf(error)})`);
  }
  console.log(formatResult(options, operationId, response));
};
