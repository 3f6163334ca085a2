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
import { documentNames } from '../settings/parseDocument.ts';
import type { OutputFormat } from './cliOptions.ts';

const ENUM_FIELDS = {
  protocol: ProtocolSchema,
  fencing: FencingSchema,
  priority: PrioritySchema,
  rollout: RolloutStrategySchema,
} as const;

const NAMES = new Map(
  Object.entries(ENUM_FIELDS).map(([field, desc]) => [
    field,
    new Map([...documentNames(desc)].map(([written, name]) => [name, written])),
  ]),
);

const asWritten = (value: JsonValue, field = ''): JsonValue => {
  if (Array.isArray(value)) return value.map((item) => asWritten(item));
  if (value !== null && typeof value === 'object') {
    const entries = Object.entries(value).map(([key, item]) => [key, asWritten(item, key)]);
    return Object.fromEntries(entries) as JsonValue;
  }
  return typeof value === 'string' ? (NAMES.get(field)?.get(value) ?? value) : value;
};

/** Tables in the form in which operators write them. */
export const tablesAsWritten = (tables: Tables): JsonValue =>
  asWritten(toJson(TablesSchema, tables));

type Row = Readonly<Record<string, string | number | boolean>>;

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
 * Formats a result.
 *
 * @param value - printed as YAML or JSON
 * @param rows - printed as a table
 */
export const formatOutput = (
  format: OutputFormat,
  value: unknown,
  rows: readonly Row[],
): string => {
  if (format === 'json') return JSON.stringify(value, undefined, 2);
  return format === 'yaml' ? stringify(value).trimEnd() : formatTable(rows);
};
