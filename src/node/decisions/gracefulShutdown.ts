import { invariant } from '../../shared/invariants.ts';

/**
 * Phases of a graceful shutdown, in order. `keeping`: still serving callers that have cached this node as an entry.
 * `handing-over`: giving up leases. `finishing`: draining the requests in progress.
 */
export type ShutdownPhase =
  'serving' | 'keeping' | 'handing-over' | 'finishing' | 'deregistering' | 'stopped';

export type ShutdownAction =
  /** Stop being listed in responses to `GET /v1/entries`, and notify every peer. */
  | { readonly type: 'announce' }
  /** Stop accepting connections from callers. */
  | { readonly type: 'close-listener' }
  | { readonly type: 'hand-over' }
  /** Answer the requests in progress that could not be completed. */
  | { readonly type: 'abort-requests' }
  | { readonly type: 'deregister' }
  | {
      readonly type: 'exit';
      readonly exitCode: 0 | 1;
      /** Number of requests that the exit aborts. */
      readonly cutOffCount: number;
      readonly reason: 'finished' | 'deadline' | 'second-signal';
    };

export interface GracefulShutdownOptions {
  /** Time for which callers may cache a list of entries that contains this node, in ms. */
  readonly keepServingMs: number;
  /** Maximum duration of the whole shutdown, in ms. */
  readonly deadlineMs: number;
}

/** Time before the deadline at which requests in progress are answered as failed, in ms: enough to write the answers. */
const ABORT_MARGIN_MS = 250;

const PHASE_ORDER: readonly ShutdownPhase[] = [
  'serving',
  'keeping',
  'handing-over',
  'finishing',
  'deregistering',
  'stopped',
];

/** State machine of a graceful shutdown. Each method returns the actions to take now. */
export class GracefulShutdown {
  readonly #options: GracefulShutdownOptions;

  #phase: ShutdownPhase = 'serving';

  #startMs = 0;

  #requestsAborted = false;

  #isDeregistered = false;

  constructor(options: GracefulShutdownOptions) {
    this.#options = options;
  }

  get phase(): ShutdownPhase {
    return this.#phase;
  }

  /**
   * Whether a request that arrives now may be started. A stopping node refuses one that it might not complete; the caller
   * can send it to another node.
   *
   * @param budgetMs - time in which the request is answered at the latest, in ms
   */
  admits(budgetMs: number, nowMs: number): boolean {
    if (this.#phase === 'serving') return true;
    if (this.#phase === 'deregistering' || this.#phase === 'stopped') return false;
    return nowMs + budgetMs <= this.#abortMs;
  }

  /** Handles SIGTERM or SIGINT. The first one starts the shutdown; the second one exits immediately. */
  signal(nowMs: number, inFlight: number): ShutdownAction[] {
    if (this.#phase === 'stopped') return [];
    if (this.#phase !== 'serving') return [this.#exit(1, inFlight, 'second-signal')];
    this.#startMs = nowMs;
    this.#enterPhase('keeping');
    return [{ type: 'announce' }, ...this.tick(nowMs, inFlight)];
  }

  /** Advances the shutdown after time has passed or the number of requests in progress has changed. */
  tick(nowMs: number, inFlight: number): ShutdownAction[] {
    if (this.#phase === 'serving' || this.#phase === 'stopped') return [];
    if (nowMs - this.#startMs >= this.#options.deadlineMs) {
      return [this.#exit(1, inFlight, 'deadline')];
    }
    if (this.#phase === 'keeping' && nowMs - this.#startMs >= this.#options.keepServingMs) {
      this.#enterPhase('handing-over');
      return [{ type: 'close-listener' }, { type: 'hand-over' }];
    }
    if (this.#phase === 'finishing' && inFlight === 0) {
      this.#enterPhase('deregistering');
      return [{ type: 'deregister' }];
    }
    if (this.#isDeregistered && inFlight === 0) return [this.#exit(0, 0, 'finished')];
    if (!this.#requestsAborted && nowMs >= this.#abortMs) {
      this.#requestsAborted = true;
      return [{ type: 'abort-requests' }];
    }
    return [];
  }

  /** Records that every lease was released or will expire by itself. */
  handedOver(nowMs: number, inFlight: number): ShutdownAction[] {
    if (this.#phase !== 'handing-over') return [];
    this.#enterPhase('finishing');
    return this.tick(nowMs, inFlight);
  }

  /** Records that the registration was removed, or that the attempt to remove it failed. */
  deregistered(inFlight: number): ShutdownAction[] {
    if (this.#phase !== 'deregistering') return [];
    this.#isDeregistered = true;
    // Requests that arrived meanwhile are being refused; the next `tick` exits after the last of them.
    return inFlight === 0 ? [this.#exit(0, 0, 'finished')] : [];
  }

  /** Time at which `tick` is next due if no other event occurs; undefined when nothing is due by time. */
  nextTickMs(): number | undefined {
    if (this.#phase === 'serving' || this.#phase === 'stopped') return undefined;
    const { keepServingMs, deadlineMs } = this.#options;
    const abortOrEndMs = this.#requestsAborted ? deadlineMs : this.#abortMs - this.#startMs;
    const waitMs = this.#phase === 'keeping' ? Math.min(keepServingMs, abortOrEndMs) : abortOrEndMs;
    return this.#startMs + waitMs;
  }

  /** When requests in progress are answered as failed. */
  get #abortMs(): number {
    return this.#startMs + Math.max(0, this.#options.deadlineMs - ABORT_MARGIN_MS);
  }

  #exit(exitCode: 0 | 1, cutOffCount: number, reason: 'finished' | 'deadline' | 'second-signal') {
    this.#enterPhase('stopped');
    return { type: 'exit', exitCode, cutOffCount, reason } as const;
  }

  #enterPhase(next: ShutdownPhase): void {
    invariant(
      PHASE_ORDER.indexOf(next) > PHASE_ORDER.indexOf(this.#phase),
      'planned-stop-moves-forward',
      {
        from: this.#phase,
        to: next,
      },
    );
    this.#phase = next;
  }
}
