import { invariant } from '../../shared/invariants.ts';

/** Steps of a planned stop, in order. */
export type StopPhase =
  'serving' | 'keeping' | 'handing-over' | 'finishing' | 'deregistering' | 'stopped';

export type StopAction =
  /** Leave the entries answers and tell every peer. */
  | { readonly type: 'announce' }
  /** Accept no more connections from callers. */
  | { readonly type: 'close-listener' }
  | { readonly type: 'hand-over' }
  | { readonly type: 'deregister' }
  | {
      readonly type: 'exit';
      readonly exitCode: 0 | 1;
      /** Requests that the exit cuts off. */
      readonly cutOffCount: number;
      readonly reason: 'finished' | 'deadline' | 'second-signal';
    };

export interface PlannedStopOptions {
  /** Time for which entries answers that name the node may still be kept, in ms. */
  readonly keepServingMs: number;
  /** Bound of the whole stop, in ms. */
  readonly deadlineMs: number;
}

const ORDER: readonly StopPhase[] = [
  'serving',
  'keeping',
  'handing-over',
  'finishing',
  'deregistering',
  'stopped',
];

/** Decides the steps of a planned stop. Each method returns the actions to take now. */
export class PlannedStop {
  readonly #options: PlannedStopOptions;

  #phase: StopPhase = 'serving';

  #startMs = 0;

  constructor(options: PlannedStopOptions) {
    this.#options = options;
  }

  get phase(): StopPhase {
    return this.#phase;
  }

  /** SIGTERM or SIGINT arrived. The second one ends the process at once. */
  signal(nowMs: number, inFlight: number): StopAction[] {
    if (this.#phase === 'stopped') return [];
    if (this.#phase !== 'serving') return [this.#exit(1, inFlight, 'second-signal')];
    this.#startMs = nowMs;
    this.#enter('keeping');
    return [{ type: 'announce' }, ...this.tick(nowMs, inFlight)];
  }

  /** Time passed, or the number of requests in progress changed. */
  tick(nowMs: number, inFlight: number): StopAction[] {
    if (this.#phase === 'serving' || this.#phase === 'stopped') return [];
    if (nowMs - this.#startMs >= this.#options.deadlineMs) {
      return [this.#exit(1, inFlight, 'deadline')];
    }
    if (this.#phase === 'keeping' && nowMs - this.#startMs >= this.#options.keepServingMs) {
      this.#enter('handing-over');
      return [{ type: 'close-listener' }, { type: 'hand-over' }];
    }
    if (this.#phase === 'finishing' && inFlight === 0) {
      this.#enter('deregistering');
      return [{ type: 'deregister' }];
    }
    return [];
  }

  /** Every lease was handed over, or will end by itself. */
  handedOver(nowMs: number, inFlight: number): StopAction[] {
    if (this.#phase !== 'handing-over') return [];
    this.#enter('finishing');
    return this.tick(nowMs, inFlight);
  }

  /** The registration was removed, or the attempt failed. */
  deregistered(inFlight: number): StopAction[] {
    if (this.#phase !== 'deregistering') return [];
    invariant(inFlight === 0, 'graceful-stop-cuts-nothing', { inFlight });
    return [this.#exit(0, 0, 'finished')];
  }

  /** When `tick` is next due by time alone; undefined: not before another event. */
  nextTickMs(): number | undefined {
    if (this.#phase === 'serving' || this.#phase === 'stopped') return undefined;
    const { keepServingMs, deadlineMs } = this.#options;
    const waitMs = this.#phase === 'keeping' ? Math.min(keepServingMs, deadlineMs) : deadlineMs;
    return this.#startMs + waitMs;
  }

  #exit(exitCode: 0 | 1, cutOffCount: number, reason: 'finished' | 'deadline' | 'second-signal') {
    this.#enter('stopped');
    return { type: 'exit', exitCode, cutOffCount, reason } as const;
  }

  #enter(next: StopPhase): void {
    invariant(ORDER.indexOf(next) > ORDER.indexOf(this.#phase), 'planned-stop-moves-forward', {
      from: this.#phase,
      to: next,
    });
    this.#phase = next;
  }
}
