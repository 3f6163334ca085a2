import { type Clock, sleep } from '../../../shared/clock.ts';
import type { VirtualClock } from '../../../shared/virtualClock.ts';
import type { ControlCalls, UsageReport, UsageReportResult } from '../controlCalls.ts';

/** Time within which no two holders may act in turns, in ms. */
export const LEASE_MS = 3000;

/** An executed call. */
export interface ExecutedCall {
  readonly atMs: number;
  readonly node: string;
  readonly fencing: number;
  readonly window: number;
  readonly counts: ReadonlyMap<string, number>;
}

/** The control API as the tests need it: executes calls, at once or late, and checks tokens if it is fenced. */
export class FakeControl {
  readonly executed: ExecutedCall[] = [];

  /** `silent`: calls are executed after `lateMs` and not answered. */
  mode: 'answers' | 'silent' | 'refuses' = 'answers';

  lateMs = 0;

  highestToken = 0;

  callCount = 0;

  constructor(
    readonly clock: VirtualClock,
    readonly fenced: boolean,
  ) {}

  #execute({ holder, fencing, window, counts }: UsageReport): UsageReportResult {
    if (this.fenced && fencing < this.highestToken) return 'fenced';
    this.highestToken = Math.max(this.highestToken, fencing);
    const atMs = this.clock.monotonicMs();
    this.executed.push({ atMs, node: holder, fencing, window, counts });
    return 'accepted';
  }

  /** @param clock - clock of the calling node */
  callsOf(clock: Clock): ControlCalls {
    return {
      reportUsage: async (report) => {
        this.callCount += 1;
        if (this.mode === 'refuses') return 'refused';
        if (this.mode === 'answers') return this.#execute(report);
        this.clock.schedule(this.lateMs, () => this.#execute(report));
        await sleep(clock, 2500);
        return 'unknown';
      },
      // The control API has no workers, and says so with the status that it also has for an outdated token.
      orderWorkers: () => {
        this.callCount += 1;
        return Promise.resolve('fenced');
      },
    };
  }

  /** Breaches of the rules for calls without fencing and for tokens, as text. */
  violations(): string[] {
    const found: string[] = [];
    const nodesByToken = new Map<number, string>();
    this.executed.forEach(({ atMs, node, fencing }, index) => {
      if ((nodesByToken.get(fencing) ?? node) !== node) found.push(`token ${fencing} of two nodes`);
      nodesByToken.set(fencing, node);
      const earlier = this.executed.slice(0, index);
      if (earlier.some((call) => call.fencing > fencing)) found.push(`token ${fencing} decreased`);
      const lastOther = earlier.findLastIndex((call) => call.node !== node);
      const before = earlier
        .slice(0, Math.max(0, lastOther))
        .findLast((call) => call.node === node);
      if (before !== undefined && atMs - before.atMs < LEASE_MS) {
        found.push(`${node} acts in turns`);
      }
    });
    return found;
  }
}
