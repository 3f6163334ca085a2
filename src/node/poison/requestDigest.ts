import { createHash } from 'node:crypto';
import type { ForwardedRequest } from '../gateway/forwardedRequest.ts';

/** What makes two requests equal, whatever their ids. */
export interface DigestedRequest extends Pick<ForwardedRequest, 'method' | 'host' | 'path'> {
  readonly body: Uint8Array;
  /** @default computed from the body */
  readonly digest?: string;
}

/** Length of a digest, in hexadecimal digits. */
const DIGEST_LENGTH = 24;

/** Digest by which a request is recognised when it comes again under another id. */
export const requestDigest = ({ method, host, path, body, digest }: DigestedRequest): string =>
  digest ??
  createHash('sha256')
    .update(JSON.stringify([method, host, path]))
    .update(body)
    .digest('hex')
    .slice(0, DIGEST_LENGTH);
