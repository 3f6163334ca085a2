import { hash } from 'node:crypto';
import { fromJson, type JsonObject, type JsonValue, toJson } from '@bufbuild/protobuf';
import {
  type BatchItem,
  BatchItemSchema,
  BatchItemsSchema,
  type BatchLogEntry,
  BatchLogEntrySchema,
  type BatchRecord,
  BatchRecordSchema,
  type DispatcherRecord,
  DispatcherRecordSchema,
  type ItemProgress,
  ItemProgressSchema,
  type ItemResult,
  ItemResultSchema,
} from '../../gen/hyssoppulley/v1/batch_pb.ts';
import { messageOf } from '../../shared/errors.ts';
import type { DispatcherRank } from '../decisions/batchMoves/dispatcherRank.ts';
import type { Logger } from '../observability/logger.ts';
import type { PlatformObject } from '../platform/platformClient.ts';

/** Key prefixes (object kinds) under which batches are stored at the platform. */
export const BATCHES_PREFIX = 'batches/';
export const ITEMS_PREFIX = 'batch-items/';
export const DISPATCHERS_PREFIX = 'dispatchers/';

const READ_OPTIONS = { ignoreUnknownFields: true };

/** Restricts batch ids to characters that are valid in object names. */
export const isBatchId = (id: string): boolean => /^[0-9A-Za-z_-]{1,64}$/.test(id);

export const batchKey = (batchId: string): string => `${BATCHES_PREFIX}${batchId}`;

/** Length of the part of an items key that stands for the account, in hexadecimal digits. */
const OWNER_DIGEST_LENGTH = 16;

/**
 * Key of a part of a batch's items. It depends on the account, because items are stored before the record that decides
 * to whom the batch belongs: those of another account under the same id must not become part of it.
 */
export const itemsKey = (
  { id, account }: Pick<BatchRecord, 'id' | 'account'>,
  part: number,
): string => {
  const owner = account === '' ? '' : `.${hash('sha256', account).slice(0, OWNER_DIGEST_LENGTH)}`;
  return `${ITEMS_PREFIX}${id}${owner}.${part}`;
};

/** Key prefix of a batch's result log. Each batch has its own kind, so that one list call returns the entire log. */
export const logPrefix = (batchId: string): string => `batch-log-${batchId}/`;

/** Key of a log entry. Keys sort by entry number. */
export const logKey = (batchId: string, number: number): string =>
  `${logPrefix(batchId)}${String(number).padStart(8, '0')}`;

/** Key prefix of a batch's progress checkpoints. Each batch has its own kind, as for the log. */
export const progressPrefix = (batchId: string): string => `batch-progress-${batchId}/`;

/** Key of a progress checkpoint. Keys sort by the moves of the batch, then by term, then by number. */
export const progressKey = (
  batchId: string,
  { moves, term }: DispatcherRank,
  number: number,
): string => {
  // A letter sorts after the digits with which the keys of a batch that was never moved begin.
  const afterMove = moves === 0 ? '' : `m${String(moves).padStart(6, '0')}.`;
  const inTerm = `${String(term).padStart(8, '0')}.${String(number).padStart(6, '0')}`;
  return `${progressPrefix(batchId)}${afterMove}${inTerm}`;
};

export const dispatcherKey = (pool: string): string => `${DISPATCHERS_PREFIX}${pool}`;

export const encodeBatch = (record: BatchRecord): JsonValue => toJson(BatchRecordSchema, record);
export const decodeBatch = (value: unknown): BatchRecord =>
  fromJson(BatchRecordSchema, value as JsonValue, READ_OPTIONS);

/** Decodes a batch record; undefined, with a log line, if it cannot be read. */
export const tryDecodeBatch = (
  { key, value }: Pick<PlatformObject, 'key' | 'value'>,
  logger: Logger,
): BatchRecord | undefined => {
  try {
    return decodeBatch(value);
  } catch (error) {
    logger.warn('batch-unreadable', { key, message: messageOf(error) });
    return undefined;
  }
};

const NO_BYTES = new Uint8Array();

const encodeBytes = (bytes: Uint8Array): { readonly body?: string } =>
  bytes.length === 0
    ? {}
    : { body: Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length).toString('base64') };

const encodeItem = (item: BatchItem): JsonObject => {
  const { body, scoring } = item;
  // protobuf-es builds base64 character by character, which takes about 50 bytes of heap for each.
  const json = toJson(BatchItemSchema, {
    ...item,
    body: NO_BYTES,
    scoring: scoring && { ...scoring, body: NO_BYTES },
  }) as JsonObject;
  if (scoring === undefined) return { ...json, ...encodeBytes(body) };
  const scoringJson = { ...(json.scoring as JsonObject), ...encodeBytes(scoring.body) };
  return { ...json, ...encodeBytes(body), scoring: scoringJson };
};

export const encodeItems = (items: BatchItem[]): JsonValue =>
  items.length === 0 ? {} : { items: items.map(encodeItem) };
export const decodeItems = (value: unknown): BatchItem[] =>
  fromJson(BatchItemsSchema, value as JsonValue, READ_OPTIONS).items;

export const encodeLogEntry = (entry: BatchLogEntry): JsonValue =>
  toJson(BatchLogEntrySchema, entry);
export const decodeLogEntry = (value: unknown): BatchLogEntry =>
  fromJson(BatchLogEntrySchema, value as JsonValue, READ_OPTIONS);

export const encodeDispatcher = (record: DispatcherRecord): JsonValue =>
  toJson(DispatcherRecordSchema, record);
export const decodeDispatcher = (value: unknown): DispatcherRecord =>
  fromJson(DispatcherRecordSchema, value as JsonValue, READ_OPTIONS);

/** Space reserved in an object for its envelope and metadata, in bytes. */
const ENVELOPE_BYTES = 4096;

/** Upper estimate of an item's stored size, in bytes. Binary fields are stored as base64. */
export const storedSizeBytes = (item: BatchItem): number =>
  1024 +
  item.headers.reduce((sum, { name, value }) => sum + name.length + value.length + 32, 0) +
  Math.ceil(((item.body.length + (item.scoring?.body.length ?? 0)) * 4) / 3);

/** Largest content of an object, in bytes. */
export const maxContentBytes = (maxValueBytes: number): number => maxValueBytes - ENVELOPE_BYTES;

/** Splits values into parts of at most `maxBytes`. A value that is larger gets a part of its own. */
export const splitBySize = <T>(
  values: readonly T[],
  sizeBytesOf: (value: T) => number,
  maxBytes: number,
): T[][] => {
  const parts: T[][] = [];
  let remainingBytes = 0;
  for (const value of values) {
    const sizeBytes = sizeBytesOf(value);
    const part = parts.at(-1);
    if (part === undefined || sizeBytes > remainingBytes) {
      parts.push([value]);
      remainingBytes = maxBytes - sizeBytes;
    } else {
      part.push(value);
      remainingBytes -= sizeBytes;
    }
  }
  return parts;
};

/** Splits items into parts that each fit into one object of at most `maxValueBytes`. */
export const splitItems = (items: readonly BatchItem[], maxValueBytes: number): BatchItem[][] =>
  splitBySize(items, storedSizeBytes, maxContentBytes(maxValueBytes));

/** Stored size of a result, in bytes. */
export const resultSizeBytes = (result: ItemResult): number =>
  Buffer.byteLength(JSON.stringify(toJson(ItemResultSchema, result))) + 1;

/** Stored size of an item's progress, in bytes. */
export const progressSizeBytes = (progress: ItemProgress): number =>
  Buffer.byteLength(JSON.stringify(toJson(ItemProgressSchema, progress))) + 1;
