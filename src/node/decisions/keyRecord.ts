import { invariant } from '../../shared/invariants.ts';

/** A worker's whole answer. */
export interface WorkerAnswer {
  readonly statusCode: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Uint8Array;
}

/** Size of an answer for the bounds, in bytes. */
export const answerSizeBytes = ({ headers, body }: WorkerAnswer): number =>
  body.byteLength + JSON.stringify(headers).length;

/** Why a request was never run. Stable names that appear in problem documents. */
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

/** Why it cannot be told whether a request ran, or what it answered. */
export type UnknownCode =
  | 'answer-lost'
  | 'answer-not-kept'
  | 'key-expired'
  | 'key-mismatch'
  | 'too-many-repeats'
  | 'wrong-home';

/** What the home tells everyone who sent the key. */
export type Settlement =
  | { readonly outcome: 'answered'; readonly answer: WorkerAnswer }
  | { readonly outcome: 'not-run'; readonly code: NotRunCode }
  | { readonly outcome: 'unknown'; readonly code: UnknownCode };

export type KeyState = 'pending' | 'granted' | 'dispatched' | 'answered' | 'unknown' | 'closed';

/** Transitions of section 8 of the design; `answered` becomes `unknown` when the stored answer is dropped. */
const ALLOWED: Readonly<Record<KeyState, readonly KeyState[]>> = {
  pending: ['granted', 'closed'],
  granted: ['dispatched', 'closed'],
  dispatched: ['answered', 'unknown'],
  answered: ['unknown'],
  unknown: [],
  closed: [],
};

/** What a home remembers of one key. */
export class KeyRecord {
  readonly text: string;

  readonly expiresAtMs: number;

  readonly fingerprint: string;

  #waiting = 0;

  #state: KeyState = 'pending';

  #code: NotRunCode | UnknownCode | undefined = undefined;

  #answer: WorkerAnswer | undefined = undefined;

  constructor(text: string, expiresAtMs: number, fingerprint: string) {
    this.text = text;
    this.expiresAtMs = expiresAtMs;
    this.fingerprint = fingerprint;
  }

  get state(): KeyState {
    return this.#state;
  }

  get answer(): WorkerAnswer | undefined {
    return this.#answer;
  }

  /** Repeats that wait for the running request. */
  get waiting(): number {
    return this.#waiting;
  }

  changeWaiting(by: number): void {
    this.#waiting += by;
  }

  /** Whether the request has ended. */
  get isFinal(): boolean {
    return this.#state === 'answered' || this.#state === 'unknown' || this.#state === 'closed';
  }

  moveTo(state: 'granted' | 'dispatched'): void {
    this.#move(state);
  }

  close(code: NotRunCode): void {
    this.#move('closed');
    this.#code = code;
  }

  keepAnswer(answer: WorkerAnswer): void {
    this.#move('answered');
    this.#answer = answer;
  }

  /** There is no answer, or it is no longer kept. */
  becomeUnknown(code: UnknownCode): void {
    this.#move('unknown');
    this.#code = code;
    this.#answer = undefined;
  }

  settlement(): Settlement {
    if (this.#answer) return { outcome: 'answered', answer: this.#answer };
    return this.#state === 'closed'
      ? { outcome: 'not-run', code: this.#code as NotRunCode }
      : { outcome: 'unknown', code: this.#code as UnknownCode };
  }

  #move(to: KeyState): void {
    const from = this.#state;
    invariant(ALLOWED[from].includes(to), 'key-transition-allowed', { from, to });
    this.#state = to;
  }
}
