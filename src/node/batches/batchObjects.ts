import { hash } from 'node:crypto';
import { fromJson, type JsonObject, type JsonValue, toJson } from '@bufbuild/protobuf';
import {
  type BatchItem,
  BatchItemSchema,
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
import { base64Length, decodeBase64, writeBase64 } from '../../shared/base64.ts';
import { messageOf } from '../../shared/errors.ts';
import type { LongStrings } from '../../shared/longStrings.ts';
import type { DispatcherRank } from '../decisions/batchMoves/dispatcherRank.ts';
import type { Logger } from '../observability/logger.ts';
import { JsonText } from '../platform/jsonText.ts';
import type { PlatformObject } from '../platform/platformClient.ts';

/** Key prefixes (object kinds) under which batches are stored at the platform. */
export const BATCHES_PREFIX = 'batches/';
export const ITEMS_PREFIX = 'batch-items/';
export const DISPATCHERS_PREFIX = 'dispatchers/';

/** The value of an object, and the strings that were left out of it. */
type StoredValue = Pick<PlatformObject, 'value' | 'strings'>;

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

/** A part of a JSON text: text, or bytes that are written as base64. */
type TextPart = string | Uint8Array;

/** The JSON of an object with a field `body` beside the others. */
const withBody = (json: JsonObject, body: Uint8Array): TextPart[] => {
  const text = JSON.stringify(json);
  if (body.length === 0) return [text];
  return [`${text.slice(0, -1)}${text === '{}' ? '' : ','}"body":"`, body, '"}'];
};

const encodeItem = (item: BatchItem): TextPart[] => {
  const { body, scoring } = item;
  // protobuf-es builds base64 character by character, which takes about 50 bytes of heap for each.
  const json = toJson(BatchItemSchema, {
    ...item,
    body: NO_BYTES,
    scoring: scoring && { ...scoring, body: NO_BYTES },
  }) as JsonObject;
  if (scoring === undefined) return withBody(json, body);
  const { scoring: scoringJson, ...others } = json;
  const [first = '', ...rest] = withBody(others, body);
  const scoringText = withBody(scoringJson as JsonObject, scoring.body);
  const separator = first === '{}' ? '' : ',';
  return ['{"scoring":', ...scoringText, `${separator}${String(first).slice(1)}`, ...rest];
};

/** Encodes items in the JSON form of `BatchItems`. */
export const encodeItems = (items: readonly BatchItem[]): JsonText => {
  if (items.length === 0) return new JsonText(Buffer.from('{}'));
  const parts: TextPart[] = items.flatMap((item, index) => [
    index === 0 ? '{"items":[' : ',',
    ...encodeItem(item),
  ]);
  parts.push(']}');
  const sizeBytes = parts.reduce(
    (sum, part) =>
      sum + (typeof part === 'string' ? Buffer.byteLength(part) : base64Length(part.length)),
    0,
  );
  const bytes = Buffer.allocUnsafeSlow(sizeBytes);
  let offset = 0;
  for (const part of parts) {
    offset +=
      typeof part === 'string' ? bytes.write(part, offset) : writeBase64(part, bytes, offset);
  }
  return new JsonText(bytes);
};

/** Field of stored items whose values may be long. */
export const BODY_FIELD = 'body';

/** A JSON object without its body, and the bytes of the body. */
const takeBody = (
  { body = '', ...others }: JsonObject,
  strings: LongStrings | undefined,
): { readonly others: JsonObject; readonly body: Uint8Array } => {
  if (typeof body !== 'string') throw new TypeError('the body of a stored item is no string');
  return { others, body: strings?.decodeBase64(body) ?? decodeBase64(Buffer.from(body)) };
};

const decodeItem = (json: JsonObject, strings: LongStrings | undefined): BatchItem => {
  const { others, body } = takeBody(json, strings);
  const { scoring } = others;
  if (scoring === undefined) {
    return Object.assign(fromJson(BatchItemSchema, others, READ_OPTIONS), { body });
  }
  const scoringCall = takeBody(scoring as JsonObject, strings);
  const item = fromJson(BatchItemSchema, { ...others, scoring: scoringCall.others }, READ_OPTIONS);
  Object.assign(item.scoring ?? {}, { body: scoringCall.body });
  return Object.assign(item, { body });
};

/** Decodes the items of a part. Returns the memory of the strings that were left out of its value. */
export const decodeItems = ({ value, strings }: StoredValue): BatchItem[] => {
  const { items = [] } = value as { readonly items?: readonly JsonObject[] };
  const decoded = items.map((item) => decodeItem(item, strings));
  strings?.release();
  return decoded;
};

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

/** Space for the other fields of an item and for short texts, in bytes. */
const ITEM_FIELDS_BYTES = 1024;

/** Parts of a prompt whose space is part of `ITEM_FIELDS_BYTES`. */
const MAX_SHORT_PROMPT_PARTS = 4;

/** Length up to which the space of a text is part of `ITEM_FIELDS_BYTES`, also if some characters are escaped. */
const SHORT_TEXT_CHARS = 128;

/** Space of each part of a prompt and of each header beside its text, in bytes. */
const FIELD_BYTES = 32;

const longTextBytes = (text: string): number =>
  text.length <= SHORT_TEXT_CHARS ? 0 : Buffer.byteLength(JSON.stringify(text));

/** Upper estimate of an item's stored size, in bytes. Binary fields are stored as base64. */
export const storedSizeBytes = (item: BatchItem): number => {
  const { id, path, group, headers, promptParts, body, scoring } = item;
  const texts = [id, path, group, scoring?.id ?? '', scoring?.host ?? '', scoring?.path ?? ''];
  return (
    ITEM_FIELDS_BYTES +
    texts.reduce((sum, text) => sum + longTextBytes(text), 0) +
    headers.reduce(
      (sum, { name, value }) =>
        sum + name.length + Math.max(value.length, longTextBytes(value)) + FIELD_BYTES,
      0,
    ) +
    promptParts
      .slice(MAX_SHORT_PROMPT_PARTS)
      .reduce((sum, part) => sum + part.id.length + FIELD_BYTES, 0) +
    base64Length(body.length) +
    base64Length(scoring?.body.length ?? 0)
  );
};

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

/** Stored size of a result, in bytes. */
export const resultSizeBytes = (result: ItemResult): number =>
  Buffer.byteLength(JSON.stringify(toJson(ItemResultSchema, result))) + 1;

/** Stored size of an item's progress, in bytes. */
export const progressSizeBytes = (progress: ItemProgress): number =>
  Buffer.byteLength(JSON.stringify(toJson(ItemProgressSchema, progress))) + 1;
