import { createHash, createHmac, timingSafeEqual } from 'node:crypto';
import { BaseError } from '../../shared/errors.ts';

/** First part of every key. Must change with the key format, so that nodes reject keys that they cannot parse. */
const VERSION_TAG = 'hk1';

/** Placeholder for the witness in keys without one. */
const NO_WITNESS = '-';

/** Maximum length of the unique part that a caller appends to a key prefix. */
export const MAX_UNIQUE_PART_LENGTH = 64;

/** Maximum length of a key. The prefix takes at most 100 characters. */
export const MAX_KEY_LENGTH = 100 + MAX_UNIQUE_PART_LENGTH;

/** Length of the base64url signature: 84 bits, far more than can be guessed within a key's lifetime. */
const SIGNATURE_LENGTH = 14;

const INCARNATION_PATTERN = /^[0-9a-z]{1,32}$/;
const EXPIRY_PATTERN = /^[0-9a-z]{1,10}$/;
const SIGNATURE_PATTERN = /^[A-Za-z0-9_-]{14}$/;
const UNIQUE_PART_PATTERN = /^[A-Za-z0-9_-]+$/;

/** The text is not a valid key. No node ever runs a request with it. */
export const KeyFormatError = BaseError.subclass('KeyFormatError');

/** Whether a key has another version of the key format, so that nodes of another version may have run its request. */
export const hasOtherFormatVersion = (header: string): boolean =>
  /^"?hk[0-9]+\./.test(header) && !header.replace('"', '').startsWith(`${VERSION_TAG}.`);

/** The fields of a key prefix. */
export interface KeyPrefixFields {
  /** Incarnation of the key's home, the only node that may dispatch the key's request. */
  readonly homeIncarnation: string;
  /** Incarnation of the witness, the node that must grant the dispatch; undefined if the home decides alone. */
  readonly witnessIncarnation: string | undefined;
  /** Expiry time according to the home's expiry clock, in ms since the Unix epoch. */
  readonly expiresAtMs: number;
}

/** A parsed key as sent by a caller. */
export interface IdempotencyKey extends KeyPrefixFields {
  /** The complete key without quotes. */
  readonly text: string;
  readonly signature: string;
}

const signPrefix = (fields: KeyPrefixFields, secret: string): string =>
  createHmac('sha256', secret)
    .update(
      `${fields.homeIncarnation}.${fields.witnessIncarnation ?? NO_WITNESS}.${fields.expiresAtMs}`,
    )
    .digest('base64url')
    .slice(0, SIGNATURE_LENGTH);

/**
 * Formats and signs a key prefix, to which a caller appends a unique part.
 *
 * @param secret - known only to the home's incarnation, so that the home can detect prefixes that it did not issue
 */
export const formatKeyPrefix = (fields: KeyPrefixFields, secret: string): string =>
  [
    VERSION_TAG,
    fields.homeIncarnation,
    fields.witnessIncarnation ?? NO_WITNESS,
    fields.expiresAtMs.toString(36),
    signPrefix(fields, secret),
    '',
  ].join('.');

const requireFormat = (condition: boolean, message: string): void => {
  if (!condition) throw new KeyFormatError(`Idempotency-Key: ${message}`);
};

/**
 * Parses the value of an `Idempotency-Key` header. It may be quoted, as in the IETF draft.
 *
 * @throws KeyFormatError with a message that says what is wrong and how to correct it
 */
export const parseIdempotencyKey = (header: string): IdempotencyKey => {
  const text = /^"(.*)"$/.exec(header)?.[1] ?? header;
  requireFormat(text.length <= MAX_KEY_LENGTH, `longer than ${MAX_KEY_LENGTH} characters`);
  const parts = text.split('.');
  const [version, home = '', witness = '', expiry = '', signature = '', unique = ''] = parts;
  requireFormat(
    version === VERSION_TAG && parts.length === 6,
    'not issued by this system; take the prefix from GET /v1/entries and append a unique part without dots',
  );
  requireFormat(
    INCARNATION_PATTERN.test(home),
    'the home in the prefix is damaged; send the prefix unchanged',
  );
  requireFormat(
    witness === NO_WITNESS || INCARNATION_PATTERN.test(witness),
    'the witness in the prefix is damaged; send the prefix unchanged',
  );
  // Only the canonical form is accepted; otherwise one prefix could be written as several different keys.
  requireFormat(
    EXPIRY_PATTERN.test(expiry) && Number.parseInt(expiry, 36).toString(36) === expiry,
    'the expiry in the prefix is damaged; send the prefix unchanged',
  );
  requireFormat(
    SIGNATURE_PATTERN.test(signature),
    'the signature in the prefix is damaged; send the prefix unchanged',
  );
  requireFormat(
    UNIQUE_PART_PATTERN.test(unique) && unique.length <= MAX_UNIQUE_PART_LENGTH,
    `the unique part after the prefix must be 1 to ${MAX_UNIQUE_PART_LENGTH} characters of A-Z, a-z, 0-9, "_" and "-"`,
  );
  return {
    text,
    homeIncarnation: home,
    witnessIncarnation: witness === NO_WITNESS ? undefined : witness,
    expiresAtMs: Number.parseInt(expiry, 36),
    signature,
  };
};

/** Whether the key's prefix was issued by the home with this secret and has not been altered. */
export const hasValidSignature = (key: IdempotencyKey, secret: string): boolean =>
  timingSafeEqual(Buffer.from(key.signature), Buffer.from(signPrefix(key, secret)));

/** Digest of a request, with which the home checks that a repeated key is sent with the same request. */
export const fingerprintOf = (method: string, pathAndQuery: string, body: Uint8Array): string =>
  createHash('sha256').update(`${method} ${pathAndQuery}\n`).update(body).digest('base64url');
