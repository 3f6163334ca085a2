import type { Clock } from '../../../shared/clock.ts';

/** Bytes that each upload draws from the part of the budget that is kept for small requests. */
export const SMALL_UPLOAD_BYTES = 64 * 1024;

/** Time without a byte after which an upload may be ended while others wait, in ms; a lost packet takes less. */
export const STALL_MS = 2000;

/** Time after which the rate of an upload is judged, in ms; covers the slow start of a connection. */
export const RATE_AFTER_MS = 2000;

/** Reason for which an upload ends before it is complete. */
export type UploadEndReason =
  /** No byte arrived within the idle limit. */
  | 'upload-idle'
  /** It stalled or was slower than the minimum rate while others waited. */
  | 'upload-slow'
  /** It waited too long for memory. */
  | 'memory-full'
  /** Too many uploads wait. */
  | 'too-many-waiting';

export interface UploadMemoryLimits {
  /** Bytes for the parts of uploads beyond `SMALL_UPLOAD_BYTES`. Uploads that cannot fit are refused. */
  readonly largeBytes: number;
  /** Bytes for the first `SMALL_UPLOAD_BYTES` of each upload. */
  readonly smallBytes: number;
  /** Minimum rate of an upload while others wait, in bytes per second. */
  readonly minBytesPerSecond: number;
  /** Longest wait of an upload for memory, in ms. */
  readonly maxWaitMs: number;
  /** Largest number of uploads that wait. Each occupies up to two chunks of 64 KiB beyond the budget. */
  readonly maxWaiting: number;
}

/** The memory of one upload. */
export interface UploadShare {
  /** Bytes granted so far. */
  readonly grantedBytes: number;
  readonly waiting: boolean;
}

interface Share extends UploadShare {
  grantedBytes: number;
  waiting: boolean;
  maxBytes: number;
  wantedBytes: number;
  receivedBytes: number;
  complete: boolean;
  /** When the last byte arrived or the last wait ended, whichever is later, in ms. */
  progressMs: number;
  waitingSinceMs: number;
  /** Time in which the upload could have made progress, up to the last wait, in ms. */
  activeMs: number;
  activeSinceMs: number;
}

const smallPart = (bytes: number): number => Math.min(bytes, SMALL_UPLOAD_BYTES);
const largePart = (bytes: number): number => bytes - smallPart(bytes);
const totalOf = (shares: Iterable<Share>, part: (bytes: number) => number): number =>
  [...shares].reduce((sum, share) => sum + part(share.grantedBytes), 0);

/**
 * Divides the memory for request bodies among uploads. Addresses a load of many clients that send large bodies at once
 * and stop short of their end: memory is granted in steps, and only if the uploads under way can still end one after
 * another (the banker's algorithm), so that at least one of them always can. The others wait. While some wait, the
 * uploads that stall or are slower than the minimum rate are ended, the slowest first and of equals the largest.
 */
export class UploadMemory {
  readonly #limits: UploadMemoryLimits;

  readonly #clock: Clock;

  readonly #shares = new Set<Share>();

  constructor(limits: UploadMemoryLimits, clock: Clock) {
    this.#limits = limits;
    this.#clock = clock;
  }

  get limitBytes(): number {
    return this.#limits.largeBytes + this.#limits.smallBytes;
  }

  get heldBytes(): number {
    return totalOf(this.#shares, (bytes) => bytes);
  }

  /** Bytes held of the part for large bodies. */
  get heldLargeBytes(): number {
    return totalOf(this.#shares, largePart);
  }

  get waitingCount(): number {
    return [...this.#shares].filter(({ waiting }) => waiting).length;
  }

  /** @param maxBytes - size of the body, or the largest one it may have */
  open(maxBytes: number): UploadShare {
    const nowMs = this.#clock.monotonicMs();
    const share: Share = {
      ...{ grantedBytes: 0, waiting: false, maxBytes, wantedBytes: 0, receivedBytes: 0 },
      ...{ complete: false, progressMs: nowMs, waitingSinceMs: nowMs },
      ...{ activeMs: 0, activeSinceMs: nowMs },
    };
    this.#shares.add(share);
    return share;
  }

  /**
   * Asks for memory up to `bytes` in total. `waiting`: the caller must stop reading until `grantWaiting` names the share.
   */
  grow(upload: UploadShare, bytes: number): 'granted' | 'waiting' | UploadEndReason {
    const share = upload as Share;
    if (bytes <= share.grantedBytes || !this.#shares.has(share)) return 'granted';
    if (this.#tryGrant(share, bytes)) return 'granted';
    if (this.waitingCount >= this.#limits.maxWaiting) return 'too-many-waiting';
    const nowMs = this.#clock.monotonicMs();
    share.waiting = true;
    share.wantedBytes = bytes;
    share.waitingSinceMs = nowMs;
    share.activeMs += nowMs - share.activeSinceMs;
    return 'waiting';
  }

  /** Records that bytes of an upload arrived. */
  receive(upload: UploadShare, bytes: number): void {
    const share = upload as Share;
    share.receivedBytes += bytes;
    share.progressMs = this.#clock.monotonicMs();
  }

  /** Records that an upload is complete. It keeps `bytes` until it is closed. */
  complete(upload: UploadShare, bytes: number): void {
    const share = upload as Share;
    if (!this.#shares.has(share)) return;
    share.complete = true;
    share.maxBytes = bytes;
    share.grantedBytes = Math.min(share.grantedBytes, bytes);
  }

  close(upload: UploadShare): void {
    this.#shares.delete(upload as Share);
  }

  /** Grants memory to uploads that wait, those that have waited longest first, and returns them. */
  grantWaiting(): UploadShare[] {
    const nowMs = this.#clock.monotonicMs();
    const granted = this.#waiting().filter((share) => this.#tryGrant(share, share.wantedBytes));
    for (const share of granted) {
      share.waiting = false;
      share.progressMs = nowMs;
      share.activeSinceMs = nowMs;
    }
    return granted;
  }

  /**
   * Uploads that must end now. The caller closes them.
   *
   * @param idleLimitMs - time without a byte after which an upload ends in any case, in ms
   */
  overdue(
    idleLimitMs: number,
  ): { readonly upload: UploadShare; readonly reason: UploadEndReason }[] {
    const nowMs = this.#clock.monotonicMs();
    const waiting = this.#waiting();
    const active = [...this.#shares].filter((share) => !share.waiting && !share.complete);
    const idle = active.filter(({ progressMs }) => nowMs - progressMs >= idleLimitMs);
    const refused = waiting.filter(
      ({ waitingSinceMs }) => nowMs - waitingSinceMs >= this.#limits.maxWaitMs,
    );
    const isContended = waiting.length > refused.length;
    const slow = isContended ? this.#slowest(active, nowMs) : undefined;
    return [
      ...idle.map((upload) => ({ upload, reason: 'upload-idle' as const })),
      ...refused.map((upload) => ({ upload, reason: 'memory-full' as const })),
      ...(slow === undefined || idle.includes(slow)
        ? []
        : [{ upload: slow, reason: 'upload-slow' as const }]),
    ];
  }

  #slowest(active: readonly Share[], nowMs: number): Share | undefined {
    const rateOf = ({ receivedBytes, activeMs, activeSinceMs }: Share) =>
      (1000 * receivedBytes) / Math.max(1, activeMs + nowMs - activeSinceMs);
    const isSlow = (share: Share) =>
      nowMs - share.progressMs >= STALL_MS ||
      (share.activeMs + nowMs - share.activeSinceMs >= RATE_AFTER_MS &&
        rateOf(share) < this.#limits.minBytesPerSecond);
    const stalledMs = (share: Share) => Math.floor((nowMs - share.progressMs) / STALL_MS);
    return active
      .filter((share) => share.grantedBytes > 0 && isSlow(share))
      .sort(
        (left, right) =>
          Math.sign(stalledMs(right)) - Math.sign(stalledMs(left)) ||
          right.grantedBytes - left.grantedBytes ||
          rateOf(left) - rateOf(right),
      )[0];
  }

  #waiting(): Share[] {
    return [...this.#shares]
      .filter(({ waiting }) => waiting)
      .sort((left, right) => left.waitingSinceMs - right.waitingSinceMs);
  }

  #tryGrant(share: Share, bytes: number): boolean {
    const before = share.grantedBytes;
    Object.assign(share, { grantedBytes: bytes });
    const fits =
      totalOf(this.#shares, smallPart) <= this.#limits.smallBytes &&
      (largePart(bytes) === largePart(before) || this.#canAllEnd());
    if (!fits) Object.assign(share, { grantedBytes: before });
    return fits;
  }

  /** Whether the uploads can still be completed one after another with the memory that is left. */
  #canAllEnd(): boolean {
    let freeBytes = this.#limits.largeBytes - totalOf(this.#shares, largePart);
    if (freeBytes < 0) return false;
    const missing = (share: Share) => largePart(share.maxBytes) - largePart(share.grantedBytes);
    const large = [...this.#shares]
      .filter(({ grantedBytes }) => largePart(grantedBytes) > 0)
      .sort((left, right) => missing(left) - missing(right));
    for (const share of large) {
      if (missing(share) > freeBytes) return false;
      freeBytes += largePart(share.grantedBytes);
    }
    return true;
  }
}
