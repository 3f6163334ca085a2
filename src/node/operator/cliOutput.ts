import { type JsonValue, toJson } from '@bufbuild/protobuf';
import { stringify } from 'yaml';
import {
  FencingSchema,
  PrioritySchema,
  ProtocolSchema,
  RolloutStrategySchema,
  type Tables,
  TablesSchema,
} from '../../gen/hyssoppulley/v1/tables_pb.ts';
import { enumNamesInDocuments } from '../settings/parseDocument.ts';
import type { OutputFormat } from './cliOptions.ts';

/** Enums of the tables, by the name of the field that holds them. */
const ENUM_FIELDS = {
  protocol: ProtocolSchema,
  fencing: FencingSchema,
  priority: PrioritySchema,
  rollout: RolloutStrategySchema,
} as const;

/** By field name: the name used in tables documents for each enum value name in the protobuf JSON format. */
const DOCUMENT_NAMES = new Map(
  Object.entries(ENUM_FIELDS).map(([field, desc]) => [
    field,
    new Map([...enumNamesInDocuments(desc)].map(([written, name]) => [name, written])),
  ]),
);

const toDocumentValue = (value: JsonValue, field = ''): JsonValue => {
  if (Array.isArray(value)) return value.map((item) => toDocumentValue(item));
  if (value !== null && typeof value === 'object') {
    const entries = Object.entries(value).map(([key, item]) => [key, toDocumentValue(item, key)]);
    return Object.fromEntries(entries) as JsonValue;
  }
  return typeof value === 'string' ? (DOCUMENT_NAMES.get(field)?.get(value) ?? value) : value;
};

/** Converts tables to the form that operators write in a tables file. */
export const tablesToDocument = (tables: Tables): JsonValue =>
  toDocumentValue(toJson(TablesSchema, tables));

/** One line of a table, by the names of its columns. */
export type Row = Readonly<Record<string, string | number | boolean>>;

const formatTable = (rows: readonly Row[]): string => {
  const [first] = rows;
  if (first === undefined) return 'none';
  const names = Object.keys(first);
  const lines = [
    names.map((name) => name.toUpperCase()),
    ...rows.map((row) => names.map((name) => String(row[name] ?? ''))),
  ];
  const widths = names.map((_, column) =>
    Math.max(...lines.map((line) => (line[column] ?? '').length)),
  );
  return lines
    .map((line) =>
      line
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
};

/**
 * Formats the result of a command.
 *
 * @param value - the result for the formats YAML and JSON
 * @param rows - the result for the format `table`
 */
export const formatOutput = (
  format: OutputFormat,
  value: unknown,
  rows: readonly Row[],
): string => {
  if (format === 'json') return JSON.stringify(value, undefined, 2);
  return format === 'yaml' ? stringify(value).trimEnd() : formatTable(rows);
};
