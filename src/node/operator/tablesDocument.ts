import { createHash } from 'node:crypto';
import { fromJson, type JsonValue, toJson } from '@bufbuild/protobuf';
import { type Tables, TablesSchema } from '../../gen/hyssoppulley/v1/tables_pb.ts';
import { BaseError } from '../../shared/errors.ts';
import type { RevisionRecord } from '../decisions/configurationHead.ts';
import { formatFault } from '../settings/documentError.ts';
import { validateMessage } from '../settings/validateMessage.ts';
import { checkTables } from '../tables/checkTables.ts';
import { type ResolvedTables, resolveTables } from '../tables/resolveTables.ts';

/** Thrown for tables that this node cannot serve. */
export const TablesError = BaseError.subclass('TablesError');

/** The tables as JSON, as stored in the head, and the SHA-256 of that JSON. */
export const tablesDocument = (tables: Tables): { tables: JsonValue; digest: string } => {
  const json = toJson(TablesSchema, tables);
  return { tables: json, digest: createHash('sha256').update(JSON.stringify(json)).digest('hex') };
};

/**
 * Checks tables received as a message rather than read from a file.
 *
 * @throws TablesError that lists every fault
 */
export const checkTablesMessage = (tables: Tables): void => {
  const violations = validateMessage(TablesSchema, tables);
  const faults = violations.length > 0 ? violations : checkTables(tables);
  if (faults.length > 0) {
    throw new TablesError(faults.map((fault) => formatFault('tables', fault)).join('\n'));
  }
};

/**
 * Parses and resolves the tables of a record.
 *
 * @param check - whether to check the tables too, as for a proposal. Accepted tables were checked by the version that
 *   accepted them and stay in force even if a later version has stricter checks.
 * @throws TablesError if this version of the program cannot serve the tables
 */
export const resolveRecord = (record: RevisionRecord, check = true): ResolvedTables => {
  let tables: Tables;
  try {
    tables = fromJson(TablesSchema, record.tables);
  } catch (error) {
    throw new TablesError('the tables have a format that this version does not support', {
      cause: error,
    });
  }
  if (check) checkTablesMessage(tables);
  return resolveTables(tables, record.revision);
};
