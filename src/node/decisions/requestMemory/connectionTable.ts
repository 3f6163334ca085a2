import type { Clock } from '../../../shared/clock.ts';

/** Reason for which a connection is closed. */
export type ConnectionEndReason =
  /** The server has as many connections as its descriptors allow. */
  | 'connections-full'
  /** The client's address has its share of the connections. */
  | 'connections-of-address'
  /** The head of a request was not complete within the limit. */
  | 'head-timeout'
  /** Nobody read the response within the idle limit. */
  | 'response-unread'
  /** More requests were sent ahead of their responses than the limit. */
  | 'pipelined';

export interface ConnectionLimits {
  /** Descriptors for connections of clients and for the requests in progress on them. */
  readonly maxDescriptors: number;
  /** Descriptors that a request in progress occupies beside its client's connection. */
  readonly descriptorsPerRequest: number;
  /** Connections of one client address. */
  readonly maxOfAddress: number;
  /** Requests in progress on one connection. */
  readonly maxPipelined: number;
}

/** What the server has seen of a connection. */
export interface ConnectionActivity {
  readonly bytesRead: number;
  /** Bytes of responses that wait to be read by the client. */
  readonly unreadBytes: number;
}

/** State of a connection. */
export interface Connection {
  readonly address: string;
  readonly inProgress: number;
}

interface TrackedConnection extends Connection {
  inProgress: number;
  /** When bytes last moved or a request last ended, in ms. */
  activeMs: number;
  /** When the first byte of a head that is incomplete arrived, in ms. */
  headSinceMs: number | undefined;
  unreadSinceMs: number | undefined;
  bytesRead: number;
  unreadBytes: number;
}

/** What changes of a connection with what the server has seen of it. */
const observe = (
  connection: TrackedConnection,
  { bytesRead, unreadBytes }: ConnectionActivity,
  nowMs: number,
): Partial<TrackedConnection> => {
  const hasRead = bytesRead !== connection.bytesRead;
  const hasWritten = unreadBytes !== connection.unreadBytes;
  let { headSinceMs, unreadSinceMs } = connection;
  if (connection.inProgress > 0) headSinceMs = undefined;
  else if (hasRead) headSinceMs ??= nowMs;
  if (unreadBytes === 0) unreadSinceMs = undefined;
  else if (hasWritten) unreadSinceMs = nowMs;
  const activeMs = hasRead || hasWritten ? nowMs : connection.activeMs;
  return { activeMs, headSinceMs, unreadSinceMs, bytesRead, unreadBytes };
};

/**
 * Decides which connections of clients are closed. Addresses loads of idle connections up to the descriptor limit, of
 * heads without end, of requests without reading the responses. Where connections are short, the one that has been idle
 * for longest makes room, so that a flood of idle ones shuts nobody out.
 */
export class ConnectionTable<T> {
  readonly #limits: ConnectionLimits;

  readonly #clock: Clock;

  readonly #connections = new Map<T, TrackedConnection>();

  readonly #countOfAddress = new Map<string, number>();

  #inProgress = 0;

  constructor(limits: ConnectionLimits, clock: Clock) {
    this.#limits = limits;
    this.#clock = clock;
  }

  get size(): number {
    return this.#connections.size;
  }

  /** Descriptors of the connections and of the requests in progress. */
  get descriptors(): number {
    return this.#connections.size + this.#limits.descriptorsPerRequest * this.#inProgress;
  }

  /** Adds a connection. Returns the connections to close, among them possibly the new one. */
  add(key: T, address: string): { readonly key: T; readonly reason: ConnectionEndReason }[] {
    const { maxDescriptors, maxOfAddress } = this.#limits;
    const nowMs = this.#clock.monotonicMs();
    this.#connections.set(key, {
      ...{ address, inProgress: 0, activeMs: nowMs, headSinceMs: undefined },
      ...{ unreadSinceMs: undefined, bytesRead: 0, unreadBytes: 0 },
    });
    const ofAddress = (this.#countOfAddress.get(address) ?? 0) + 1;
    this.#countOfAddress.set(address, ofAddress);
    const isAddressFull = ofAddress > maxOfAddress;
    if (!isAddressFull && this.descriptors <= maxDescriptors) return [];
    const reason = isAddressFull ? 'connections-of-address' : 'connections-full';
    return [{ key: this.#longestIdle(key, isAddressFull ? address : undefined), reason }];
  }

  remove(key: T): void {
    const connection = this.#connections.get(key);
    if (connection === undefined) return;
    this.#connections.delete(key);
    this.#inProgress -= connection.inProgress;
    const left = (this.#countOfAddress.get(connection.address) ?? 1) - 1;
    if (left === 0) this.#countOfAddress.delete(connection.address);
    else this.#countOfAddress.set(connection.address, left);
  }

  /**
   * Counts a request whose head is complete.
   *
   * @returns whether the request may be served, or why its connection must be closed or the request refused
   */
  begin(key: T): 'served' | 'pipelined' | 'connections-full' {
    const connection = this.#connections.get(key);
    if (connection === undefined) return 'served';
    connection.inProgress += 1;
    connection.headSinceMs = undefined;
    connection.activeMs = this.#clock.monotonicMs();
    this.#inProgress += 1;
    if (connection.inProgress > this.#limits.maxPipelined) return 'pipelined';
    return this.descriptors > this.#limits.maxDescriptors ? 'connections-full' : 'served';
  }

  /** @param bytesRead - bytes read from the connection so far; further ones belong to the next head */
  end(key: T, bytesRead: number): void {
    const connection = this.#connections.get(key);
    if (connection === undefined || connection.inProgress === 0) return;
    connection.bytesRead = bytesRead;
    connection.inProgress -= 1;
    connection.activeMs = this.#clock.monotonicMs();
    this.#inProgress -= 1;
  }

  /**
   * Looks at all connections and returns those to close.
   *
   * @param headTimeoutMs - time from the first byte of a head to its end, in ms
   * @param unreadTimeoutMs - time in which a client must read some of a response, in ms
   */
  sweep(
    activityOf: (key: T) => ConnectionActivity,
    { headTimeoutMs, unreadTimeoutMs }: { headTimeoutMs: number; unreadTimeoutMs: number },
  ): { readonly key: T; readonly reason: ConnectionEndReason }[] {
    const nowMs = this.#clock.monotonicMs();
    const due: { key: T; reason: ConnectionEndReason }[] = [];
    for (const [key, connection] of this.#connections) {
      Object.assign(connection, observe(connection, activityOf(key), nowMs));
      const { headSinceMs, unreadSinceMs } = connection;
      if (headSinceMs !== undefined && nowMs - headSinceMs >= headTimeoutMs) {
        due.push({ key, reason: 'head-timeout' });
      } else if (unreadSinceMs !== undefined && nowMs - unreadSinceMs >= unreadTimeoutMs) {
        due.push({ key, reason: 'response-unread' });
      }
    }
    return due;
  }

  /** The connection that has been without a request for longest, or `fallback` where all have one. */
  #longestIdle(fallback: T, address: string | undefined): T {
    let longest = fallback;
    let sinceMs = Infinity;
    for (const [key, { inProgress, activeMs, address: other }] of this.#connections) {
      if (key === fallback || inProgress > 0 || activeMs >= sinceMs) continue;
      if (address !== undefined && address !== other) continue;
      longest = key;
      sinceMs = activeMs;
    }
    return longest;
  }
}
