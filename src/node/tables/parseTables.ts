import { type Tables, TablesSchema } from '../../gen/hyssoppulley/v1/tables_pb.ts';
import { documentError } from '../settings/documentError.ts';
import { parseDocument } from '../settings/parseDocument.ts';
import { checkTables } from './checkTables.ts';

/**
 * Parses an operator's tables and checks all rules.
 *
 * @param file - file name shown in errors
 * @throws DocumentError with every fault that was found
 */
export const parseTables = (text: string, file: string): Tables => {
  const { message, lineOf } = parseDocument(TablesSchema, text, file);
  const faults = checkTables(message);
  if (faults.length > 0) {
    throw documentError(
      file,
      faults.map((fault) => ({ ...fault, line: lineOf(fault.path) })),
    );
  }
  return message;
};
