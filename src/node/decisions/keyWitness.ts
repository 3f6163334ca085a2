import { invariant } from '../../shared/invariants.ts';
import type { IdempotencyKey } from './idempotencyKey.ts';
import { ExpiringMap } from './keyExpiry.ts';

/** Answer of a witness to a home that wants to dispatch. Only `granted` allows the dispatch. */
export type GrantDecision = 'granted' | 'sealed' | 'expired' | 'wrong-incarnation' | 'full';

/**
 * Answer of a witness to an entry whose key's home is silent. `sealed`: no dispatch was granted and none will be.
 * `unknown`: the witness cannot tell.
 */
export type SealDecision = 'sealed' | 'granted-before' | 'unknown';

type WitnessEntry = Pick<IdempotencyKey, 'expiresAtMs'>;

export interface KeyWitnessOptions {
  /** Incarnation of this node; entries of an earlier incarnation are lost. */
  readonly incarnation: string;
  /** Bound on remembered grants. At the bound grants are refused: the home then answers `not-run`. */
  readonly maxGrants: number;
  /** Bound on remembered seals. At the bound the answer is `unknown`, because a forgotten seal would not hold. */
  readonly maxSeals: number;
  /** See `createExpiryTime`. */
  readonly now: () => number;
}

/**
 * Decides between the home of a key, which asks to dispatch, and an entry that found the home silent and wants to tell
 * its caller `not-run`: whichever asks first wins for good.
 *
 * An entry is dropped only when its key has expired by this node's expiry time, which never goes back. From then on
 * every grant is refused as `expired` and every seal is answered `unknown`, so nothing depends on the dropped entry.
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

  /** Grants and seals that are remembered. */
  get size(): number {
    return this.#grants.size + this.#seals.size;
  }

  /** Allows the dispatch, unless the key is sealed. A repeat gets the same answer: the home itself dispatches once. */
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

  /** Forbids the dispatch for good, unless it was granted. */
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
 * What an entry tells the caller of a key whose home is silent.
 *
 * @param decision - answer of the key's witness; undefined: the key has no witness, or it did not answer
 */
export const outcomeAfterSeal = (decision: SealDecision | undefined): 'not-run' | 'unknown' =>
  decision === 'sealed' ? 'not-run' : 'unknown';
