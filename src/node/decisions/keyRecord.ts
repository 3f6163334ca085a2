import { invariant } from '../../shared/invariants.ts';

/** A worker's complete response. */
export interface CompleteResponse {
  readonly statusCode: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Uint8Array;
}

/** Size of a response as counted against the limits on kept responses, in bytes. */
export const responseSizeBytes = ({ headers, body }: CompleteResponse): number =>
  body.byteLength + JSON.stringify(headers).length;

/** Why a request was not run and never will be. The codes are stable and appear in problem documents. */
export type NotRunCode =
  | 'body-too-large'
  | 'key-closed'
  | 'key-expired'
  | 'key-not-issued'
  | 'no-route'
  | 'no-worker'
  | 'not-serving'
  | 'overloaded'
  | 'too-many-keys'
  | 'witness-full'
  | 'witness-refused'
  | 'witness-silent';

/** Why it is unknown whether a request ran, or what its response was. */
export type UnknownCode =
  | 'answer-lost'
  | 'answer-not-kept'
  | 'key-expired'
  | 'key-mismatch'
  | 'too-many-repeats'
  | 'wrong-home';

/** Final result that the home returns for every request with the key. */
export type Settlement =
  | { readonly outcome: 'answered'; readonly response: CompleteResponse }
  | { readonly outcome: 'not-run'; readonly code: NotRunCode }
  | { readonly outcome: 'unknown'; readonly code: UnknownCode };

export type KeyState = 'pending' | 'granted' | 'dispatched' | 'answered' | 'unknown' | 'closed';

/**
 * State transitions of section 8 of docs/design.md. `answered` changes to `unknown` when the kept response is dropped.
 */
const ALLOWED_TRANSITIONS: Readonly<Record<KeyState, readonly KeyState[]>> = {
  pending: ['granted', 'closed'],
  granted: ['dispatched', 'closed'],
  dispatched: ['answered', 'unknown'],
  answered: ['unknown'],
  unknown: [],
  closed: [],
};

/** State that a home keeps for one key. */
export class KeyRecord {
  readonly text: string;

  readonly expiresAtMs: number;

  readonly fingerprint: string;

  #waiting = 0;

  #state: KeyState = 'pending';

  #code: NotRunCode | UnknownCode | undefined = undefined;

  #response: CompleteResponse | undefined = undefined;

  constructor(text: string, expiresAtMs: number, fingerprint: string) {
    this.text = text;
    this.expiresAtMs = expiresAtMs;
    this.fingerprint = fingerprint;
  }

  get state(): KeyState {
    return this.#state;
  }

  get response(): CompleteResponse | undefined {
    return this.#response;
  }

  /** Number of repeated requests that are waiting for the running one. */
  get waiting(): number {
    return this.#waiting;
  }

  adjustWaiting(delta: number): void {
    this.#waiting += delta;
  }

  /** Whether the key is settled. */
  get isFinal(): boolean {
    return this.#state === 'answered' || this.#state === 'unknown' || this.#state === 'closed';
  }

  transitionTo(state: 'granted' | 'dispatched'): void {
    this.#transition(state);
  }

  close(code: NotRunCode): void {
    this.#transition('closed');
    this.#code = code;
  }

  storeResponse(response: CompleteResponse): void {
    this.#transition('answered');
    this.#response = response;
  }

  /** Records that the response is missing or no longer kept. */
  markUnknown(code: UnknownCode): void {
    this.#transition('unknown');
    this.#code = code;
    this.#response = undefined;
  }

  settlement(): Settlement {
    if (this.#response) return { outcome: 'answered', response: this.#response };
    return this.#state === 'closed'
      ? { outcome: 'not-run', code: this.#code as NotRunCode }
      : { outcome: 'unknown', code: this.#code as UnknownCode };
  }

  #transition(to: KeyState): void {
    const from = this.#state;
    invariant(ALLOWED_TRANSITIONS[from].includes(to), 'key-transition-allowed', { from, to });
    this.#state = to;
  }
}
