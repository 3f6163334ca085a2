import type { IncomingMessage, ServerResponse } from 'node:http';
import { releaseBytes } from '../../shared/byteCollector.ts';
import type { Clock } from '../../shared/clock.ts';
import { announcedBytes, type BodyMemory, readBody } from '../dataPath/readBody.ts';
import { requestError, type RequestFailure } from '../dataPath/problem.ts';
import {
  type UploadEndReason,
  UploadMemory,
  type UploadMemoryLimits,
  type UploadShare,
} from '../decisions/requestMemory/uploadMemory.ts';
import { MEMORY_RETRY_AFTER_MS } from './constants.ts';

const REFUSALS: Record<UploadEndReason, { statusCode: number; code: string; message: string }> = {
  'upload-idle': {
    ...{ statusCode: 408, code: 'upload-timeout' },
    message: 'no part of the request body arrived within the idle limit',
  },
  'upload-slow': {
    ...{ statusCode: 503, code: 'upload-slow' },
    message: 'the request body arrived too slowly while other uploads waited; send it again later',
  },
  'memory-full': {
    ...{ statusCode: 503, code: 'memory-full' },
    message: 'the node has no memory for the request body now; send it again later',
  },
  'too-many-waiting': {
    ...{ statusCode: 503, code: 'memory-full' },
    message: 'too many uploads wait for memory; send it again later',
  },
};

const refusalOf = (reason: UploadEndReason): RequestFailure => {
  const { message, statusCode, code } = REFUSALS[reason];
  const retryAfterMs = statusCode === 503 ? MEMORY_RETRY_AFTER_MS : undefined;
  return requestError(message, { outcome: 'not-run', statusCode, code, retryAfterMs });
};

interface Upload {
  readonly abort: AbortController;
  granted: (() => void) | undefined;
}

export interface UploadsOptions {
  readonly limits: UploadMemoryLimits;
  readonly clock: Clock;
  /** Called when uploads have taken more memory. @default nothing */
  readonly onGrown?: () => void;
  /** Called for each upload that ends before it is complete. */
  readonly onEnded: (reason: UploadEndReason, fields: Readonly<Record<string, unknown>>) => void;
}

/** Receives request bodies within one limit on their memory. */
export class Uploads {
  readonly #memory: UploadMemory;

  readonly #onEnded: UploadsOptions['onEnded'];

  readonly #onGrown: () => void;

  readonly #uploads = new Map<UploadShare, Upload>();

  /** Shares of complete bodies. */
  readonly #complete = new WeakMap<Buffer, UploadShare>();

  constructor({ limits, clock, onGrown = () => {}, onEnded }: UploadsOptions) {
    this.#memory = new UploadMemory(limits, clock);
    this.#onGrown = onGrown;
    this.#onEnded = onEnded;
  }

  get heldBytes(): number {
    return this.#memory.heldBytes;
  }

  /** Bytes held beyond the first part of each upload. */
  get heldLargeBytes(): number {
    return this.#memory.heldLargeBytes;
  }

  get limitBytes(): number {
    return this.#memory.limitBytes;
  }

  get waitingCount(): number {
    return this.#memory.waitingCount;
  }

  /**
   * Reads a complete body. Its bytes count until it is released or the response is closed.
   *
   * @throws RequestError
   */
  async read(
    request: IncomingMessage,
    response: ServerResponse,
    maxBytes: number,
  ): Promise<Buffer> {
    const share = this.#memory.open(Math.min(announcedBytes(request) ?? maxBytes, maxBytes));
    const upload: Upload = { abort: new AbortController(), granted: undefined };
    this.#uploads.set(share, upload);
    try {
      const body = await readBody(request, maxBytes, this.#bodyMemory(share, upload));
      this.#memory.complete(share, share.grantedBytes);
      this.#complete.set(body, share);
      if (response.destroyed) this.#close(share);
      else response.once('close', () => this.#close(share));
      return body;
    } catch (error) {
      this.#close(share);
      throw error;
    }
  }

  /** Returns the memory of a complete body that nothing uses any more. */
  release(body: Buffer): void {
    releaseBytes(body);
    const share = this.#complete.get(body);
    if (share !== undefined) this.#close(share);
  }

  /** Ends the uploads that make no progress. */
  sweep(idleLimitMs: number): void {
    for (const { upload: share, reason } of this.#memory.overdue(idleLimitMs)) {
      const upload = this.#uploads.get(share);
      const { grantedBytes } = share;
      this.#onEnded(reason, { grantedBytes, heldBytes: this.heldBytes });
      this.#close(share);
      upload?.abort.abort(refusalOf(reason));
    }
    this.#grantWaiting();
  }

  #bodyMemory(share: UploadShare, upload: Upload): BodyMemory {
    return {
      signal: upload.abort.signal,
      receive: (bytes) => this.#memory.receive(share, bytes),
      grow: (bytes) => {
        const result = this.#memory.grow(share, bytes);
        if (result === 'granted') {
          this.#onGrown();
          return undefined;
        }
        if (result === 'waiting') {
          return new Promise((resolve) => {
            Object.assign(upload, { granted: resolve });
          });
        }
        this.#onEnded(result, { grantedBytes: share.grantedBytes, heldBytes: this.heldBytes });
        throw refusalOf(result);
      },
    };
  }

  #close(share: UploadShare): void {
    if (!this.#uploads.delete(share)) return;
    this.#memory.close(share);
    this.#grantWaiting();
  }

  #grantWaiting(): void {
    for (const share of this.#memory.grantWaiting()) {
      const upload = this.#uploads.get(share);
      const granted = upload?.granted;
      if (upload) upload.granted = undefined;
      granted?.();
    }
  }
}
