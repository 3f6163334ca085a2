import { createHash } from 'node:crypto';
import { fromJson, type JsonValue, toJson } from '@bufbuild/protobuf';
import { type Tables, TablesSchema } from '../../gen/hyssoppulley/v1/tables_pb.ts';
import { BaseError } from '../../shared/errors.ts';
import type { RevisionRecord } from '../decisions/configurationHead.ts';
import { formatFault } from '../settings/documentError.ts';
import { validateMessage } from '../settings/validateMessage.ts';
import { checkTables } from '../tables/checkTables.ts';
import { type ResolvedTables, resolveTables } from '../tables/resolveTables.ts';

/** Tables that this node cannot serve. */
export const TablesError = BaseError.subclass('TablesError');

/** The JSON form of tables, as it is kept in the head, and its SHA-256. */
export const tablesDocument = (tables: Tables): { tables: JsonValue; digest: string } => {
  const json = toJson(TablesSchema, tables);
  return { tables: json, digest: createHash('sha256').update(JSON.stringify(json)).digest('hex') };
};

/**
 * Checks tables that did not come from a file.
 *
 * @throws TablesError with every fault
 */
export const checkMessage = (tables: Tables): void => {
  const violations = validateMessage(TablesSchema, tables);
  const faults = violations.length > 0 ? violations : checkTables(tables);
  if (faults.length > 0) {
    throw new TablesError(faults.map((fault) => formatFault('tables', fault)).join('\n'));
  }
};

/**
 * Parses and resolves the tables of a record.
 *
 * @param check - whether to check them as well: for a proposal. Accepted tables were checked by the version that
 *   accepted them and stay in force when a later version checks more.
 * @throws TablesError when this version of the program cannot serve them
 */
export const resolveRecord = (record: RevisionRecord, check = true): ResolvedTables => {
  let tables: Tables;
  try {
    tables = fromJson(TablesSchema, record.tables);
  } catch (error) {
    throw new TablesError('the tables have a form that this version does not know', {
      cause: error,
    });
  }
  if (check) checkMessage(tables);
  return resolveTables(tables, record.revision);
};
