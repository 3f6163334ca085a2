/**
 * Order between the accounts whose requests wait for one pool. The account with the smallest key is served next; the
 * requests of one account have the same key.
 */
export interface ShareRule {
  keyOf(account: string): number;
  /** Notes that a request waits; called before the key of its account is used. */
  onWait(account: string): void;
  /** Notes that a request was sent to a worker, with the work it is expected to take there, in ms of a slot. */
  onStart(account: string, workMs: number): void;
  /** Notes the difference between the work that a request took and what was expected, in ms of a slot. */
  onEnd(account: string, extraWorkMs: number): void;
}

/** Accounts whose use is tracked; the one that used least recently is dropped and starts anew. */
const MAX_ACCOUNTS = 4096;

/** Requests in the order of their arrival: each account gets what it sends. */
export const createFirstComeFirstServed = (): ShareRule => ({
  keyOf: () => 0,
  onWait() {},
  onStart() {},
  onEnd() {},
});

/** Work of each account in virtual time, which advances with the accounts that wait (start-time fair queueing). */
class VirtualTimes {
  readonly #accounts = new Map<string, number>();

  #nowMs = 0;

  of(account: string): number {
    return this.#accounts.get(account) ?? this.#nowMs;
  }

  /** An account that was idle keeps no claim to the share it has not used, and owes nothing either. */
  join(account: string): void {
    this.#set(account, Math.max(this.of(account), this.#nowMs));
  }

  start(account: string, workMs: number): void {
    const startMs = Math.max(this.of(account), this.#nowMs);
    this.#nowMs = startMs;
    this.#set(account, startMs + workMs);
  }

  add(account: string, workMs: number): void {
    if (this.#accounts.has(account)) this.#set(account, this.of(account) + workMs);
  }

  #set(account: string, value: number): void {
    this.#accounts.delete(account);
    this.#accounts.set(account, value);
    const [oldest] = this.#accounts.keys();
    if (this.#accounts.size > MAX_ACCOUNTS && oldest !== undefined) this.#accounts.delete(oldest);
  }
}

/** Weighted fair queueing by work (slots x time) with equal weights. */
export const createFairQueueing = (): ShareRule => {
  const times = new VirtualTimes();
  return {
    keyOf: (account) => times.of(account),
    onWait: (account) => times.join(account),
    onStart: (account, workMs) => times.start(account, workMs),
    onEnd: (account, extraWorkMs) => times.add(account, extraWorkMs),
  };
};

/** Work that an account may use before the next one has its turn, in ms of a slot: a few requests. */
const QUANTUM_MS = 200;

/** Deficit round robin: accounts take turns of about one quantum of work; within a round by arrival. */
export const createDeficitRoundRobin = (quantumMs = QUANTUM_MS): ShareRule => {
  const fair = createFairQueueing();
  return { ...fair, keyOf: (account) => Math.floor(fair.keyOf(account) / quantumMs) };
};

/** Work of accounts at other nodes, as told by them. */
export interface RemoteUse {
  /** Work of the account at other nodes in the last seconds, in ms of a slot. */
  of(account: string): number;
}

/** Fair queueing in which an account also pays for its recent use at other nodes. */
export const createGlobalFairQueueing = (remote: RemoteUse): ShareRule => {
  const fair = createFairQueueing();
  return { ...fair, keyOf: (account) => fair.keyOf(account) + remote.of(account) };
};
