import { createHash, createHmac, timingSafeEqual } from 'node:crypto';
import { BaseError } from '../../shared/errors.ts';

/** First part of every key. Changes when the format changes, so that nodes refuse keys that they cannot read. */
const VERSION_TAG = 'hk1';

/** Stands for the witness in keys that have none. */
const NO_WITNESS = '-';

/** Longest part that a caller may append to a key prefix. */
export const MAX_UNIQUE_LENGTH = 64;

/** Longest accepted key: the prefix takes at most 100 characters. */
export const MAX_KEY_LENGTH = 100 + MAX_UNIQUE_LENGTH;

/** Length of the base64url signature: 80 bits, far more than can be tried within a key's lifetime. */
const SIGNATURE_LENGTH = 14;

const INCARNATION = /^[0-9a-z]{1,32}$/;
const EXPIRY = /^[0-9a-z]{1,10}$/;
const SIGNATURE = /^[A-Za-z0-9_-]{14}$/;
const UNIQUE = /^[A-Za-z0-9_-]+$/;

/** The text is not a key of this system. No node ever runs a request under it. */
export const KeyFormatError = BaseError.subclass('KeyFormatError');

/** Whether a key has the form of another version of this system, whose nodes may have run it. */
export const isOfOtherVersion = (header: string): boolean =>
  /^"?hk[0-9]+\./.test(header) && !header.replace('"', '').startsWith(`${VERSION_TAG}.`);

/** What a key prefix says. */
export interface KeyPrefixFields {
  /** Incarnation of the only node that may dispatch requests under the key. */
  readonly homeIncarnation: string;
  /** Incarnation of the node that grants the dispatch; undefined: the home decides alone. */
  readonly witnessIncarnation: string | undefined;
  /** End of the key's life by the home's expiry clock, in ms since 1970-01-01 UTC. */
  readonly expiresAtMs: number;
}

/** A key as a caller sent it, taken apart. */
export interface IdempotencyKey extends KeyPrefixFields {
  /** The whole key without quotes. */
  readonly text: string;
  readonly signature: string;
}

const signatureOf = (fields: KeyPrefixFields, secret: string): string =>
  createHmac('sha256', secret)
    .update(
      `${fields.homeIncarnation}.${fields.witnessIncarnation ?? NO_WITNESS}.${fields.expiresAtMs}`,
    )
    .digest('base64url')
    .slice(0, SIGNATURE_LENGTH);

/**
 * Makes a key prefix, to which a caller appends its own part.
 *
 * @param secret - known only to the home's incarnation, so that a home tells the prefixes it issued from altered ones
 */
export const formatKeyPrefix = (fields: KeyPrefixFields, secret: string): string =>
  [
    VERSION_TAG,
    fields.homeIncarnation,
    fields.witnessIncarnation ?? NO_WITNESS,
    fields.expiresAtMs.toString(36),
    signatureOf(fields, secret),
    '',
  ].join('.');

const check = (condition: boolean, message: string): void => {
  if (!condition) throw new KeyFormatError(`Idempotency-Key: ${message}`);
};

/**
 * Takes a key apart. Quotes around it, as the draft IETF standard writes them, are accepted.
 *
 * @throws KeyFormatError that says what is wrong and what to write instead
 */
export const parseIdempotencyKey = (header: string): IdempotencyKey => {
  const text = /^"(.*)"$/.exec(header)?.[1] ?? header;
  check(text.length <= MAX_KEY_LENGTH, `longer than ${MAX_KEY_LENGTH} characters`);
  const parts = text.split('.');
  const [version, home = '', witness = '', expiry = '', signature = '', unique = ''] = parts;
  check(
    version === VERSION_TAG && parts.length === 6,
    'not issued by this system; take the prefix from GET /v1/entries and append a part of your own without dots',
  );
  check(INCARNATION.test(home), 'the home in the prefix is damaged; send the prefix unchanged');
  check(
    witness === NO_WITNESS || INCARNATION.test(witness),
    'the witness in the prefix is damaged; send the prefix unchanged',
  );
  // One spelling only: two spellings would be two keys for one prefix.
  check(
    EXPIRY.test(expiry) && Number.parseInt(expiry, 36).toString(36) === expiry,
    'the expiry in the prefix is damaged; send the prefix unchanged',
  );
  check(
    SIGNATURE.test(signature),
    'the signature in the prefix is damaged; send the prefix unchanged',
  );
  check(
    UNIQUE.test(unique) && unique.length <= MAX_UNIQUE_LENGTH,
    `the caller's part after the prefix must be 1 to ${MAX_UNIQUE_LENGTH} characters of A-Z, a-z, 0-9, "_" and "-"`,
  );
  return {
    text,
    homeIncarnation: home,
    witnessIncarnation: witness === NO_WITNESS ? undefined : witness,
    expiresAtMs: Number.parseInt(expiry, 36),
    signature,
  };
};

/** Whether the home with this secret issued the key's prefix, unaltered. */
export const isIssuedWith = (key: IdempotencyKey, secret: string): boolean =>
  timingSafeEqual(Buffer.from(key.signature), Buffer.from(signatureOf(key, secret)));

/** Digest by which the home recognises that a repeated key comes with the same request. */
export const fingerprintOf = (method: string, pathAndQuery: string, body: Uint8Array): string =>
  createHash('sha256').update(`${method} ${pathAndQuery}\n`).update(body).digest('base64url');
