import http from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Random } from '../../src/shared/random.ts';
import { sleepMs } from '../standIns/standInServer.ts';

/** Length of a window of the usage reports, in ms. */
export const USAGE_WINDOW_MS = 2000;

/** Time after the end of a window at which its report is due, in ms. */
const USAGE_DUE_MS = 10_000;

/** Time in which two holders may not act in turns while no fault keeps them from the platform, in ms. */
const LEASE_MS = 3000;

/** Longest time after which a call without an answer is executed, in ms. */
const MAX_LATE_MS = 12_000;

/**
 * `refuses`: calls get 503. `lost`: calls are executed, and their connections close without an answer. `silent`: calls
 * get no answer and are executed late.
 */
const CONTROL_FAULTS = ['refuses', 'lost', 'silent'] as const;

/** A time in which the control API has a fault. */
export interface ControlFault {
  readonly kind: (typeof CONTROL_FAULTS)[number];
  readonly startMs: number;
  readonly durationMs: number;
}

/** A usage report as it arrived. */
interface UsageCall {
  readonly holder: string;
  readonly term: number;
  readonly window: number;
  readonly counts: Readonly<Record<string, number>>;
}

/** Draws faults of the control API, with times without one between them. */
export const drawControlFaults = (random: Random, durationMs: number): ControlFault[] => {
  const faults: ControlFault[] = [];
  for (let startMs = 500 + random() * 3000; startMs < durationMs;) {
    const kind = CONTROL_FAULTS[Math.floor(random() * CONTROL_FAULTS.length)] ?? 'refuses';
    const fault = { kind, startMs, durationMs: 500 + random() * 3500 };
    faults.push(fault);
    startMs += fault.durationMs + random() * 3000;
  }
  return faults;
};

const windowNow = (): number => Math.floor(Date.now() / USAGE_WINDOW_MS);

const readBody = async (request: http.IncomingMessage): Promise<string> => {
  const chunks: Buffer[] = [];
  for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
};

/** The platform's control API: takes usage reports, refuses those of earlier terms, and checks what it got. */
export class SoakControl implements AsyncDisposable {
  readonly violations: string[] = [];

  readonly #server = http.createServer((request, response) => {
    this.#handle(request, response).catch(() => response.destroy());
  });

  /** Whether no node and no link to the platform has a fault, or had one in the last 3 s. */
  nodes: { readonly isCalm: boolean } = { isCalm: false };

  #fault: ControlFault['kind'] | undefined;

  /** When the last fault ended, in ms. */
  #faultEndMs = -Infinity;

  /** Highest term of the calls that arrived, and of those that were executed. */
  #arrivedTerm = 0;

  #executedTerm = 0;

  readonly #holders = new Map<number, string>();

  /** Counts of the accepted reports, by window, as text. */
  readonly #reports = new Map<number, string>();

  /** Holder and time of the executed calls, in ms. */
  readonly #executed: { readonly holder: string; readonly atMs: number }[] = [];

  /** Terms and windows of the calls that were answered with 200. */
  readonly #answered = new Set<string>();

  #firstWindow = Infinity;

  /** Times in which no node ran, as wall-clock times in ms. The latest one may not have ended yet. */
  readonly #outages: { readonly startMs: number; endMs: number }[] = [];

  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  get reportCount(): number {
    return this.#reports.size;
  }

  async listen(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
  }

  /** To be called when all nodes run. Windows that begin later must be reported. */
  nodesStarted(): void {
    this.#firstWindow = windowNow() + 1;
  }

  allNodesEnded(): void {
    this.#outages.push({ startMs: Date.now(), endMs: Infinity });
  }

  nodeStarted(): void {
    const last = this.#outages.at(-1);
    if (last?.endMs === Infinity) last.endMs = Date.now();
  }

  async runFaults(faults: readonly ControlFault[]): Promise<void> {
    await Promise.all(
      faults.map(async ({ kind, startMs, durationMs }) => {
        await sleepMs(startMs);
        this.#fault = kind;
        await sleepMs(durationMs);
        this.#fault = undefined;
        this.#faultEndMs = performance.now();
      }),
    );
  }

  /** Checks, after every fault has ended, that each window was reported whose report is due. */
  async checkRecovered(): Promise<void> {
    const endedMs = Date.now() - USAGE_WINDOW_MS;
    const owed = () => {
      const windows: number[] = [];
      for (let window = this.#firstWindow; window * USAGE_WINDOW_MS < endedMs; window += 1) {
        if (!this.#reports.has(window) && !this.#isLost(window)) windows.push(window);
      }
      return windows;
    };
    const startMs = performance.now();
    while (owed().length > 0 && performance.now() - startMs < USAGE_DUE_MS) await sleepMs(100);
    for (const window of owed()) this.violations.push(`window ${window} was not reported`);
  }

  /** Whether the counts of a window were lost because no node ran before its report was due. */
  #isLost(window: number): boolean {
    const [beginMs, endMs] = [window * USAGE_WINDOW_MS, (window + 1) * USAGE_WINDOW_MS];
    return this.#outages.some(
      (outage) => endMs + USAGE_DUE_MS > outage.startMs && beginMs < outage.endMs,
    );
  }

  /** @param ranFor - number of requests that ran for an account */
  checkCounts(ranFor: (account: string) => number): void {
    const sums = new Map<string, number>();
    for (const counts of this.#reports.values()) {
      for (const [account, count] of JSON.parse(counts) as [string, number][]) {
        sums.set(account, (sums.get(account) ?? 0) + count);
      }
    }
    for (const [account, count] of sums) {
      const ran = ranFor(account);
      if (count > ran) this.violations.push(`${count} requests of ${account} reported, ${ran} ran`);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
    });
  }

  async #handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const { window, counts } = JSON.parse(await readBody(request)) as UsageCall;
    const holder = String(request.headers['x-duty-holder']);
    const term = Number(request.headers['x-fencing-token']);
    const call = { holder, term, window, counts };
    this.#checkTerm(call);
    if (this.#answered.has(`${term} ${window}`) && this.#isCalm) {
      this.violations.push(`${holder} repeated window ${window}, which had been accepted`);
    }
    const fault = this.#fault;
    if (fault === 'refuses') response.writeHead(503).end();
    else if (fault === 'lost') {
      this.#execute(call);
      response.destroy();
    } else if (fault === 'silent') {
      setTimeout(() => this.#execute(call), Math.random() * MAX_LATE_MS).unref();
    } else {
      const statusCode = this.#execute(call);
      if (statusCode === 200) this.#answered.add(`${term} ${window}`);
      response.writeHead(statusCode).end();
    }
  }

  get #isCalm(): boolean {
    const isFaulty = this.#fault !== undefined || performance.now() - this.#faultEndMs < LEASE_MS;
    return !isFaulty && this.nodes.isCalm;
  }

  /** Calls arrive at once, so that even those that are executed late arrive by growing terms, one holder each. */
  #checkTerm({ holder, term }: UsageCall): void {
    if (term < this.#arrivedTerm) {
      this.violations.push(`${holder} called with term ${term} after ${this.#arrivedTerm}`);
    }
    this.#arrivedTerm = Math.max(this.#arrivedTerm, term);
    const first = this.#holders.get(term) ?? holder;
    this.#holders.set(term, first);
    if (first !== holder) this.violations.push(`term ${term} of ${first} and ${holder}`);
  }

  #execute({ holder, term, window, counts }: UsageCall): number {
    if (term < this.#executedTerm) return 409;
    this.#executedTerm = term;
    const text = JSON.stringify(Object.entries(counts).sort());
    const stored = this.#reports.get(window) ?? text;
    this.#reports.set(window, stored);
    if (stored !== text) this.violations.push(`window ${window}: ${text} after ${stored}`);
    this.#checkTurns(holder);
    return 200;
  }

  #checkTurns(holder: string): void {
    const atMs = performance.now();
    const calls = this.#executed;
    const other = calls.findLastIndex((call) => call.holder !== holder);
    const before = calls.slice(0, Math.max(0, other)).findLast((call) => call.holder === holder);
    if (before !== undefined && atMs - before.atMs < LEASE_MS && this.#isCalm) {
      this.violations.push(`${holder} takes turns with ${calls[other]?.holder}`);
    }
    calls.push({ holder, atMs });
  }
}
