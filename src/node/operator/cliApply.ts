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
  /** In ms. */
  readonly wait: number;
  readonly operation?: string;
}

/** A coordinator takes up to 5 s to read, 5 s to propose, 10 s to prepare, and 7 s to accept; and the wait. */
const COORDINATION_LIMIT_MS = 30_000;

const repeatCommand = (options: ApplyOptions, operationId: string): string => {
  const { file, ifRevision, node } = options;
  const condition = ifRevision === undefined ? '' : ` --if-revision ${ifRevision}`;
  const nodes = node.map((address) => ` --node ${address}`).join('');
  return `hyssoppulley apply -f ${file}${condition} --operation ${operationId}${nodes}`;
};

const unknownResult = (options: ApplyOptions, operationId: string, reason: string) =>
  commandError(
    ExitCode.UNKNOWN_RESULT,
    `unknown: ${reason}; operation ${operationId}\nrun this to learn the result:\n  ${repeatCommand(options, operationId)}`,
  );

const report = (
  options: ApplyOptions,
  operationId: string,
  answer: ApplyTablesResponse,
): string => {
  const { result, reason, missingNodes, nodesInForce, nodesTotal, revision } = answer;
  const inForce = `in force on ${nodesInForce} of ${nodesTotal} nodes at revision ${revision}`;
  if (result === ApplyResult.IN_FORCE) return inForce;
  if (result === ApplyResult.REFUSED) throw commandError(ExitCode.REFUSED, `refused: ${reason}`);
  if (result === ApplyResult.ACCEPTED) {
    const missing = missingNodes.join(', ');
    throw unknownResult(options, operationId, `accepted, ${inForce}; no word yet from ${missing}`);
  }
  throw unknownResult(options, operationId, reason);
};

/** Puts tables in force and prints the result. */
export const apply = async (options: ApplyOptions): Promise<void> => {
  const { file, ifRevision, wait: waitMs, operation, node } = options;
  const tables = parseTables(await readFile(file, 'utf8'), file);
  const operationId = operation ?? newId();
  const repeatedCall = operation !== undefined;
  const request = { tables, operationId, ifRevision, waitMs, repeatedCall };
  let answer: ApplyTablesResponse;
  try {
    answer = await callFirstReachable(
      node,
      (client) => client.applyTables(request),
      // Another node could refuse the change while the first one still carries it out.
      false,
      COORDINATION_LIMIT_MS + waitMs,
    );
  } catch (error) {
    if (error instanceof CommandError) throw error;
    throw unknownResult(options, operationId, `the node did not answer (${messageOf(error)})`);
  }
  console.log(report(options, operationId, answer));
};
