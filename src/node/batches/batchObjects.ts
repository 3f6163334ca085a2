import { fromJson, type JsonValue, toJson } from '@bufbuild/protobuf';
import {
  type BatchItem,
  BatchItemsSchema,
  type BatchLogEntry,
  BatchLogEntrySchema,
  type BatchRecord,
  BatchRecordSchema,
  type DispatcherRecord,
  DispatcherRecordSchema,
} from '../../gen/hyssoppulley/v1/batch_pb.ts';

/** Kinds under which batches are kept at the platform. */
export const BATCHES_PREFIX = 'batches/';
export const ITEMS_PREFIX = 'batch-items/';
export const DISPATCHERS_PREFIX = 'dispatchers/';

const READ_OPTIONS = { ignoreUnknownFields: true };

/** Ids of batches become parts of object names. */
export const isBatchId = (id: string): boolean => /^[0-9A-Za-z_-]{1,64}$/.test(id);

export const batchKey = (batchId: string): string => `${BATCHES_PREFIX}${batchId}`;
export const itemsKey = (batchId: string, part: number): string =>
  `${ITEMS_PREFIX}${batchId}.${part}`;

/** Each batch has a kind of its own for its log, so that one list reads it whole. */
export const logPrefix = (batchId: string): string => `batch-log-${batchId}/`;

/** Names of entries sort by their number. */
export const logKey = (batchId: string, number: number): string =>
  `${logPrefix(batchId)}${String(number).padStart(8, '0')}`;

/** Checkpoints of a batch; like the log they have a kind of their own. */
export const progressPrefix = (batchId: string): string => `batch-progress-${batchId}/`;

/** Names sort by term and number. */
export const progressKey = (batchId: string, term: number, number: number): string =>
  `${progressPrefix(batchId)}${String(term).padStart(8, '0')}.${String(number).padStart(6, '0')}`;

export const dispatcherKey = (pool: string): string => `${DISPATCHERS_PREFIX}${pool}`;

export const encodeBatch = (record: BatchRecord): JsonValue => toJson(BatchRecordSchema, record);
export const decodeBatch = (value: unknown): BatchRecord =>
  fromJson(BatchRecordSchema, value as JsonValue, READ_OPTIONS);

export const encodeItems = (items: BatchItem[]): JsonValue =>
  toJson(BatchItemsSchema, { $typeName: 'hyssoppulley.v1.BatchItems', items });
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

/** Room in an object for its envelope and its metadata, in bytes. */
const ENVELOPE_BYTES = 4096;

/** Size of an item as it is stored: bytes are written in base64. */
const storedBytes = (item: BatchItem): number =>
  1024 +
  item.headers.reduce((sum, { name, value }) => sum + name.length + value.length + 32, 0) +
  Math.ceil(((item.body.length + (item.scoring?.body.length ?? 0)) * 4) / 3);

/** Spreads items over as many objects as their size needs. */
export const splitItems = (items: readonly BatchItem[], maxValueBytes: number): BatchItem[][] => {
  const parts: BatchItem[][] = [];
  let roomBytes = 0;
  for (const item of items) {
    const sizeBytes = storedBytes(item);
    const part = parts.at(-1);
    if (part === undefined || sizeBytes > roomBytes) {
      parts.push([item]);
      roomBytes = maxValueBytes - ENVELOPE_BYTES - sizeBytes;
    } else {
      part.push(item);
      roomBytes -= sizeBytes;
    }
  }
  return parts;
};
