import { invariant } from '../../shared/invariants.ts';
import type { IdempotencyKey } from './idempotencyKey.ts';
import { ExpiringMap } from './keyExpiry.ts';

/** A witness's response to a home that asks to dispatch a request. Only `granted` allows the dispatch. */
export type GrantDecision = 'granted' | 'sealed' | 'expired' | 'wrong-incarnation' | 'full';

/**
 * A witness's response to an entry that gets no response from a key's home. `sealed`: no dispatch was granted and none
 * will be. `unknown`: the witness does not know.
 */
export type SealDecision = 'sealed' | 'granted-before' | 'unknown';

type WitnessEntry = Pick<IdempotencyKey, 'expiresAtMs'>;

export interface KeyWitnessOptions {
  /** Incarnation of this node. Grants and seals of earlier incarnations are lost. */
  readonly incarnation: string;
  /** Maximum number of stored grants. When it is reached, grants are refused and the home returns `not-run`. */
  readonly maxGrants: number;
  /** Maximum number of stored seals. At the limit the response is `unknown`, as an unstored seal has no effect. */
  readonly maxSeals: number;
  /** Expiry clock, see `createExpiryClock`. */
  readonly now: () => number;
}

/**
 * Arbitrates between the home of a key, which asks to dispatch, and an entry that gets no response from the home and
 * wants to return `not-run` to its caller. The first to ask wins permanently.
 *
 * A grant or seal is dropped only after its key has expired by this node's expiry clock, which never goes back. From
 * then on every grant is refused as `expired` and every seal gets `unknown`, so the record is no longer needed.
 */
export class KeyWitness {
  readonly #options: KeyWitnessOptions;

  readonly #grants: ExpiringMap<WitnessEntry>;

  readonly #seals: ExpiringMap<WitnessEntry>;

  constructor(options: KeyWitnessOptions) {
    this.#options = options;
    this.#grants = new ExpiringMap(options.maxGrants);
    this.#seals = new ExpiringMap(options.maxSeals);
  }

  /** Number of stored grants and seals. */
  get size(): number {
    return this.#grants.size + this.#seals.size;
  }

  /** Grants the dispatch unless the key is sealed. Granting again is safe, because the home dispatches only once. */
  grant(key: IdempotencyKey): GrantDecision {
    const { incarnation, now } = this.#options;
    if (key.witnessIncarnation !== incarnation) return 'wrong-incarnation';
    const nowMs = now();
    if (key.expiresAtMs <= nowMs) return 'expired';
    if (this.#seals.get(key.text)) return 'sealed';
    if (this.#grants.get(key.text)) return 'granted';
    const entry = { expiresAtMs: key.expiresAtMs };
    if (!this.#grants.add(key.text, entry, nowMs)) return 'full';
    this.#checkExclusive(key);
    return 'granted';
  }

  /** Forbids the dispatch permanently, unless it was already granted. */
  seal(key: IdempotencyKey): SealDecision {
    const { incarnation, now } = this.#options;
    if (key.witnessIncarnation !== incarnation) return 'unknown';
    const nowMs = now();
    if (key.expiresAtMs <= nowMs) return 'unknown';
    if (this.#grants.get(key.text)) return 'granted-before';
    if (this.#seals.get(key.text)) return 'sealed';
    const entry = { expiresAtMs: key.expiresAtMs };
    if (!this.#seals.add(key.text, entry, nowMs)) return 'unknown';
    this.#checkExclusive(key);
    return 'sealed';
  }

  #checkExclusive(key: IdempotencyKey): void {
    const both =
      this.#grants.get(key.text) !== undefined && this.#seals.get(key.text) !== undefined;
    invariant(!both, 'key-granted-and-sealed');
  }
}

/**
 * The outcome that an entry returns to its caller when the key's home does not respond.
 *
 * @param decision - response of the key's witness; undefined if there is no witness or it did not respond
 */
export const outcomeAfterSeal = (decision: SealDecision | undefined): 'not-run' | 'unknown' =>
  decision === 'sealed' ? 'not-run' : 'unknown';
