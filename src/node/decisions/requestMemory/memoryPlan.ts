import { decodeCost } from './decodeBudget.ts';

/** Division of a process's memory and descriptors among what callers make it hold. */
export interface MemoryPlan {
  /** Bytes for all uses together. */
  readonly freeBytes: number;
  /** Bytes that are kept for uploads: one of the largest size and small ones beside it. */
  readonly reservedUploadBytes: number;
  /** Bytes that are kept for decoding and storing one submission of the largest size with large items. */
  readonly reservedDecodeBytes: number;
  /** Bytes that are kept for responses. */
  readonly reservedResponseBytes: number;
  /** Bytes that are kept for contents of batches. */
  readonly reservedBatchBytes: number;
  /** Most bytes for request bodies beyond the first part of each, and the least, in which one of the largest size fits. */
  readonly largeUploadBytes: number;
  readonly minLargeUploadBytes: number;
  /** Bytes for the first part of each request body. */
  readonly smallUploadBytes: number;
  /** Bytes for responses that are being read from workers or wait to be read by callers. */
  readonly responseBytes: number;
  /** Bytes that the decoding of batch submissions may occupy at the same time. */
  readonly decodeBytes: number;
  readonly callerDescriptors: number;
  readonly peerDescriptors: number;
  readonly statusDescriptors: number;
}

const MEBIBYTE = 1024 * 1024;

/**
 * Memory of a process without requests, and what the collector of V8 leaves behind of released buffers before it runs
 * (it starts at the latest when external memory has grown by 64 MiB), in bytes.
 */
const AT_REST_BYTES = 112 * MEBIBYTE;
const UNCOLLECTED_BYTES = 48 * MEBIBYTE;

/** Least memory for responses: one of the largest size that is buffered, and small ones beside it. */
const MIN_RESPONSE_BYTES = 20 * MEBIBYTE;

/** Most memory for responses, which was the fixed limit before; beyond it, uploads gain more. */
const MAX_RESPONSE_BYTES = 64 * MEBIBYTE;

/** Least memory for contents of batches: a few objects of the largest size. */
const MIN_BATCH_BYTES = 8 * MEBIBYTE;

/** Parts of the free memory for each use. */
const RESPONSE_SHARE = 0.25;
const UPLOAD_SHARE = 0.5;
const SMALL_SHARE = 0.1;

/** Memory for the first part of request bodies, which hold 64 small requests of the largest small size. */
const MIN_SMALL_BYTES = 4 * MEBIBYTE;

/** A request of the largest legal size fits in any case; further ones wait. */
const LARGE_MARGIN_BYTES = 2 * MEBIBYTE;

/**
 * Divides memory and descriptors. On a VM whose memory does not suffice, one request of the largest size and small ones
 * beside it still fit, because a single request within the limits must be served.
 *
 * @param memoryMb - memory of the process, in MB of 1,048,576 bytes
 * @param maxBodyBytes - largest legal size of a request body
 */
export const planMemory = (
  { memoryMb, fileDescriptors }: { readonly memoryMb: number; readonly fileDescriptors: number },
  maxBodyBytes: number,
): MemoryPlan => {
  const freeBytes = Math.max(0, memoryMb * MEBIBYTE - AT_REST_BYTES - UNCOLLECTED_BYTES);
  const minLargeUploadBytes = maxBodyBytes + LARGE_MARGIN_BYTES;
  return {
    ...{ freeBytes, minLargeUploadBytes },
    reservedUploadBytes: minLargeUploadBytes + MIN_SMALL_BYTES,
    reservedDecodeBytes: decodeCost('', maxBodyBytes),
    reservedResponseBytes: MIN_RESPONSE_BYTES,
    reservedBatchBytes: MIN_BATCH_BYTES,
    largeUploadBytes: Math.max(minLargeUploadBytes, freeBytes * UPLOAD_SHARE),
    smallUploadBytes: Math.max(MIN_SMALL_BYTES, freeBytes * SMALL_SHARE),
    responseBytes: Math.min(
      MAX_RESPONSE_BYTES,
      Math.max(MIN_RESPONSE_BYTES, freeBytes * RESPONSE_SHARE),
    ),
    decodeBytes: Math.max(4 * maxBodyBytes, freeBytes),
    callerDescriptors: Math.floor(fileDescriptors / 2),
    // Followers of a relay keep a call open each; 410 nodes need less than a quarter of 2,212 descriptors.
    peerDescriptors: Math.floor(fileDescriptors / 4),
    statusDescriptors: Math.floor(fileDescriptors / 16),
  };
};
