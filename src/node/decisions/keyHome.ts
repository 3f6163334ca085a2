import { invariant } from '../../shared/invariants.ts';
import { hasValidSignature, type IdempotencyKey } from './idempotencyKey.ts';
import { ExpiringMap } from './keyExpiry.ts';
import {
  responseSizeBytes,
  KeyRecord,
  type NotRunCode,
  type Settlement,
  type UnknownCode,
  type CompleteResponse,
} from './keyRecord.ts';
import type { GrantDecision } from './keyWitness.ts';
import { RefusedKeys } from './refusedKeys.ts';

/** What to do with a request after `KeyHome.arrive`. */
export type ArrivalDecision =
  /** The key is new: ask the witness for a grant, or dispatch immediately if the key has no witness. */
  | { readonly next: 'ask-witness' | 'dispatch' }
  /** The key's request is already running: wait until it is settled, then call `stopWaiting`. */
  | { readonly next: 'wait' }
  | { readonly next: 'settled'; readonly settlement: Settlement };

export interface KeyHomeOptions {
  /** Incarnation of this node. */
  readonly incarnation: string;
  /** Secret with which this incarnation signs its key prefixes. */
  readonly secret: string;
  /** Maximum lifetime of a key, in ms. */
  readonly keyTtlMs: number;
  /** Maximum number of records. When it is reached, new keys are refused with `not-run`. */
  readonly maxRecords: number;
  /** Maximum total size of kept responses. Above it, the oldest are dropped and repeats of their keys get `unknown`. */
  readonly maxKeptBytes: number;
  /**
   * Maximum size of a response to keep. Requests that are already waiting for a larger response still get it; later
   * repeats get `unknown`.
   */
  readonly maxResponseBytes: number;
  /** Maximum number of repeats of a key that wait for its running request. Further repeats get `unknown`. */
  readonly maxWaiting: number;
  /** Expiry clock, see `createExpiryClock`. */
  readonly now: () => number;
}

const notRun = (code: NotRunCode): Settlement => ({ outcome: 'not-run', code });

const unknown = (code: UnknownCode): Settlement => ({ outcome: 'unknown', code });

const settled = (settlement: Settlement): ArrivalDecision => ({ next: 'settled', settlement });

const GRANT_REFUSALS: Readonly<Record<Exclude<GrantDecision, 'granted'>, NotRunCode>> = {
  sealed: 'witness-refused',
  expired: 'witness-refused',
  'wrong-incarnation': 'witness-refused',
  full: 'witness-full',
};

/** Decides what happens to requests whose keys name this node as their home. No other node dispatches them. */
export class KeyHome {
  readonly #options: KeyHomeOptions;

  readonly #records: ExpiringMap<KeyRecord>;

  readonly #refusedKeys: RefusedKeys;

  /** Records with a kept response, oldest first. */
  readonly #keptResponses = new Map<string, KeyRecord>();

  #keptBytes = 0;

  constructor(options: KeyHomeOptions) {
    this.#options = options;
    this.#records = new ExpiringMap(options.maxRecords, (record) => this.#releaseIfFinal(record));
    this.#refusedKeys = new RefusedKeys(options.keyTtlMs);
  }

  get size(): number {
    return this.#records.size;
  }

  get keptBytes(): number {
    return this.#keptBytes;
  }

  /**
   * Registers a request that has arrived.
   *
   * @param fingerprint - see `fingerprintOf`
   * @param refusal - why this node cannot run the request, if it cannot; a new key is then closed permanently, so that
   * a repeat through another entry cannot run after this caller got `not-run`
   */
  arrive(key: IdempotencyKey, fingerprint: string, refusal?: NotRunCode): ArrivalDecision {
    const { incarnation, secret, now } = this.#options;
    if (key.homeIncarnation !== incarnation) return settled(unknown('wrong-home'));
    if (!hasValidSignature(key, secret)) return settled(notRun('key-not-issued'));
    const nowMs = now();
    const record = this.#records.get(key.text);
    if (record) return this.#repeat(record, fingerprint, nowMs);
    if (key.expiresAtMs <= nowMs) return settled(unknown('key-expired'));
    if (this.#refusedKeys.has(key.text, nowMs)) {
      // Added again because a false positive, whose key was never added, could disappear before the key expires.
      this.#refusedKeys.add(key.text, nowMs);
      return settled(notRun('key-closed'));
    }
    return this.#create(key, fingerprint, refusal, nowMs);
  }

  /** Ends the wait of a repeated request. */
  stopWaiting(key: IdempotencyKey): void {
    const record = this.#records.get(key.text);
    if (record && record.waiting > 0) record.adjustWaiting(-1);
  }

  /**
   * Processes the witness's response; undefined if there was none within the timeout. Returns whether the request may
   * proceed.
   */
  handleGrantDecision(key: IdempotencyKey, decision: GrantDecision | undefined): boolean {
    const record = this.#records.get(key.text);
    if (record?.state !== 'pending') return false;
    if (decision === 'granted') record.transitionTo('granted');
    else this.close(key, decision === undefined ? 'witness-silent' : GRANT_REFUSALS[decision]);
    return decision === 'granted';
  }

  /**
   * Whether the request may be written to the socket now. Must be called synchronously right before the write, because
   * the process may have been paused since the grant.
   *
   * @param mayServe - whether this node may accept new work at this moment
   */
  beginDispatch(key: IdempotencyKey, mayServe: boolean): boolean {
    const record = this.#records.get(key.text);
    if (record?.state !== 'granted') return false;
    if (record.expiresAtMs <= this.#options.now()) this.close(key, 'key-expired');
    else if (!mayServe) this.close(key, 'not-serving');
    else record.transitionTo('dispatched');
    return this.#records.get(key.text)?.state === 'dispatched';
  }

  /** Records the worker's complete response. */
  recordResponse(key: IdempotencyKey, response: CompleteResponse): void {
    const record = this.#records.get(key.text);
    invariant(record !== undefined, 'key-record-present-while-running');
    record.storeResponse(response);
    const sizeBytes = responseSizeBytes(response);
    if (sizeBytes > Math.min(this.#options.maxResponseBytes, this.#options.maxKeptBytes)) {
      record.markUnknown('answer-not-kept');
      return;
    }
    this.#keptResponses.set(record.text, record);
    this.#keptBytes += sizeBytes;
    this.#dropOldestResponses();
  }

  /** Records that the request may have reached a worker but no complete response was received. */
  recordLostResponse(key: IdempotencyKey): void {
    const record = this.#records.get(key.text);
    invariant(record !== undefined, 'key-record-present-while-running');
    record.markUnknown('answer-lost');
  }

  /** Ensures that the key's request never runs. Has no effect once the request was dispatched. */
  close(key: IdempotencyKey, code: NotRunCode): void {
    const record = this.#records.get(key.text);
    if (record?.state === 'pending' || record?.state === 'granted') record.close(code);
  }

  /**
   * Closes a key whose request body is not known. Returns `not-run` only if no request with the key has run or will
   * run.
   */
  refuse(key: IdempotencyKey, code: NotRunCode): 'not-run' | 'unknown' {
    const arrival = this.arrive(key, '', code);
    if (arrival.next === 'settled' && arrival.settlement.outcome === 'not-run') return 'not-run';
    return 'unknown';
  }

  /** Settles a key after an internal error: as closed if its request was not dispatched yet, as `unknown` otherwise. */
  abandon(key: IdempotencyKey): Settlement {
    const record = this.#records.get(key.text);
    if (record?.state === 'dispatched') record.markUnknown('answer-lost');
    this.close(key, 'key-closed');
    return this.settlementOf(key) ?? unknown('answer-lost');
  }

  /** The settlement of a key; undefined while its request is running or if there is no record of the key. */
  settlementOf(key: IdempotencyKey): Settlement | undefined {
    const record = this.#records.get(key.text);
    return record?.isFinal ? record.settlement() : undefined;
  }

  #repeat(record: KeyRecord, fingerprint: string, nowMs: number): ArrivalDecision {
    // The request of a closed key never runs, so its content need not match.
    if (record.state === 'closed') return settled(record.settlement());
    // Not `not-run`: a caller whose retry serializes the body differently must not conclude that nothing ran.
    if (record.fingerprint !== fingerprint) return settled(unknown('key-mismatch'));
    if (record.isFinal) {
      const expired = record.expiresAtMs <= nowMs;
      return settled(expired ? unknown('key-expired') : record.settlement());
    }
    if (record.waiting >= this.#options.maxWaiting) return settled(unknown('too-many-repeats'));
    record.adjustWaiting(1);
    return { next: 'wait' };
  }

  #create(
    key: IdempotencyKey,
    fingerprint: string,
    refusal: NotRunCode | undefined,
    nowMs: number,
  ): ArrivalDecision {
    const record = new KeyRecord(key.text, key.expiresAtMs, fingerprint);
    if (refusal) record.close(refusal);
    if (!this.#records.add(key.text, record, nowMs)) {
      this.#refusedKeys.add(key.text, nowMs);
      return settled(notRun('too-many-keys'));
    }
    if (refusal) return settled(notRun(refusal));
    if (key.witnessIncarnation !== undefined) return { next: 'ask-witness' };
    record.transitionTo('granted');
    return { next: 'dispatch' };
  }

  #dropOldestResponses(): void {
    for (const record of this.#keptResponses.values()) {
      if (this.#keptBytes <= this.#options.maxKeptBytes) break;
      this.#removeKeptResponse(record);
      record.markUnknown('answer-not-kept');
    }
    invariant(this.#keptBytes <= this.#options.maxKeptBytes, 'kept-answers-within-bound');
  }

  /** Removes a record's response from the kept responses and their total size. */
  #removeKeptResponse(record: KeyRecord): void {
    if (record.response === undefined) return;
    this.#keptResponses.delete(record.text);
    this.#keptBytes -= responseSizeBytes(record.response);
  }

  /** Prepares an expired record for removal. Returns false, which keeps the record, while its request is running. */
  #releaseIfFinal(record: KeyRecord): boolean {
    if (!record.isFinal) return false;
    this.#removeKeptResponse(record);
    return true;
  }
}
