import { type Random, seededRandom } from '../../src/shared/random.ts';
import { VirtualClock } from '../../src/shared/virtualClock.ts';
import { PoisonRequests } from '../../src/node/decisions/poisonRequests/poisonRequests.ts';

/** What a node does with a request whose attempt a worker has broken off. */
export type Policy =
  /** Retries it, whatever happened. */
  | 'none'
  /** Stops after three ends of workers under one id; each return of the caller has a new id. */
  | 'by-id'
  /** Stops after three ends under equal requests at this node. */
  | 'by-digest'
  /** Stops after three ends under equal requests at any node. */
  | 'shared'
  /** As `shared`, and a suspected request runs as a trial, with no other one of its node on the worker. */
  | 'shared-trials';

export const POLICIES: readonly Policy[] = [
  'none',
  'by-id',
  'by-digest',
  'shared',
  'shared-trials',
];

export interface ModelOptions {
  readonly seed: number;
  readonly policy: Policy;
  /** Share of requests that end their worker. */
  readonly deadlyShare: number;
  /** Whether all workers of one zone crash at times, without any request's fault. */
  readonly zoneCrashes: boolean;
  /** Whether one node is cut off from the others for a third of the time. */
  readonly partition: boolean;
}

export interface ModelResult {
  /** Ends of workers that deadly requests caused, for each deadly request. */
  readonly endsPerDeadlyRequest: number;
  /** Share of the other requests that were not served. */
  readonly innocentFailedShare: number;
  /** Largest number of sends of one request after three workers had ended under it, at nodes in touch. */
  readonly sendsAfterThreeEnds: number;
}

const NODES = 6;
const WORKERS = 8;
const ZONES = 4;
const DURATION_MS = 40_000;
const REQUESTS_PER_S = 20;
const WORK_MS = 40;
/** Time after which a deadly request ends its worker, in ms. */
const DEADLY_AFTER_MS = 30;
const RESTART_MS = 3300;
const ZONE_CRASH_INTERVAL_MS = 9000;
const MAX_SENDS = 3;
/** Attempts of a caller, and the delay between them, in ms. */
const CALLER_ATTEMPTS = 2;
const CALLER_DELAY_MS = 100;
/** Time for news to reach other nodes, in ms. */
const SHARE_DELAY_MS = 15;
const TRIAL_WORKERS = WORKERS / 2;
const MAX_ENDS = 3;

interface ModelRequest {
  readonly digest: string;
  readonly deadly: boolean;
  served: boolean;
  sendsAfterThreeEnds: number;
  readonly ends: Set<string>;
}

interface ModelWorker {
  readonly name: string;
  readonly zone: number;
  start: number;
  up: boolean;
  readonly running: Set<{ readonly broken: () => void }>;
}

interface ModelNode {
  readonly index: number;
  readonly known: PoisonRequests;
  readonly trialWorkers: Set<string>;
  readonly waiting: (() => void)[];
}

/** What a node knows of one attempt of a caller. */
interface NodeAttempt {
  /** Ends of workers under the id of this attempt. */
  readonly endsUnderId: number;
  /** Workers that the request was sent to. */
  readonly tried: Set<string>;
}

const endTrial = (node: ModelNode, worker: ModelWorker, trial: boolean): void => {
  if (!trial) return;
  node.trialWorkers.delete(worker.name);
  node.waiting.shift()?.();
};

/** Plays callers, nodes and workers on a virtual clock. */
export class PoisonModel {
  readonly #options: ModelOptions;

  readonly #clock = new VirtualClock(0);

  readonly #random: Random;

  readonly #workers: ModelWorker[];

  readonly #nodes: ModelNode[];

  readonly #requests: ModelRequest[] = [];

  #deadlyEnds = 0;

  constructor(options: ModelOptions) {
    this.#options = options;
    this.#random = seededRandom(options.seed);
    this.#workers = Array.from({ length: WORKERS }, (_, index) => ({
      ...{ name: `w${index}`, zone: index % ZONES, start: 0, up: true },
      running: new Set<{ readonly broken: () => void }>(),
    }));
    this.#nodes = Array.from({ length: NODES }, (_, index) => ({
      ...{ index, known: new PoisonRequests(), trialWorkers: new Set<string>() },
      waiting: [],
    }));
  }

  run(): ModelResult {
    const { deadlyShare, zoneCrashes } = this.#options;
    for (let atMs = 0; atMs < DURATION_MS; atMs += (2000 / REQUESTS_PER_S) * this.#random()) {
      const request: ModelRequest = {
        ...{ digest: `d${this.#requests.length}`, deadly: this.#random() < deadlyShare },
        ...{ served: false, sendsAfterThreeEnds: 0, ends: new Set<string>() },
      };
      this.#requests.push(request);
      this.#clock.schedule(atMs, () => this.#call(request, CALLER_ATTEMPTS));
    }
    if (zoneCrashes) {
      for (let atMs = 5000; atMs < DURATION_MS; atMs += ZONE_CRASH_INTERVAL_MS) {
        this.#clock.schedule(atMs, () => this.#crashZone());
      }
    }
    this.#clock.advance(DURATION_MS + 5000);
    const deadly = this.#requests.filter((request) => request.deadly);
    const innocent = this.#requests.filter((request) => !request.deadly);
    return {
      endsPerDeadlyRequest: this.#deadlyEnds / Math.max(1, deadly.length),
      innocentFailedShare: innocent.filter(({ served }) => !served).length / innocent.length,
      sendsAfterThreeEnds: Math.max(0, ...this.#requests.map((each) => each.sendsAfterThreeEnds)),
    };
  }

  #pick<T>(values: readonly T[]): T | undefined {
    return values[Math.floor(this.#random() * values.length)];
  }

  /** One attempt of a caller, at any node. */
  #call(request: ModelRequest, attemptsLeft: number): void {
    const node = this.#pick(this.#nodes);
    if (node === undefined) return;
    const comeBack = () => {
      if (attemptsLeft <= 1) return;
      this.#clock.schedule(CALLER_DELAY_MS, () => this.#call(request, attemptsLeft - 1));
    };
    this.#send(node, request, { endsUnderId: 0, tried: new Set() }, comeBack);
  }

  #send(node: ModelNode, request: ModelRequest, attempt: NodeAttempt, onFailed: () => void): void {
    const { policy } = this.#options;
    const ends = policy === 'by-id' ? attempt.endsUnderId : this.#endsKnown(node, request);
    const verdict =
      policy === 'shared-trials'
        ? node.known.verdictOf(request.digest, this.#clock.monotonicMs())
        : 'unsuspected';
    const isStopped = policy !== 'none' && (ends >= MAX_ENDS || verdict === 'condemned');
    if (isStopped || attempt.tried.size >= MAX_SENDS) {
      onFailed();
      return;
    }
    const trial = verdict === 'suspected';
    if (trial && node.trialWorkers.size >= TRIAL_WORKERS) {
      node.waiting.push(() => this.#send(node, request, attempt, onFailed));
      return;
    }
    const usable = this.#workers.filter(
      ({ up, name }) => up && !attempt.tried.has(name) && !(trial && node.trialWorkers.has(name)),
    );
    const worker = this.#pick(usable);
    if (worker === undefined) {
      onFailed();
      return;
    }
    attempt.tried.add(worker.name);
    if (request.ends.size >= MAX_ENDS && !this.#isCutOff(node)) request.sendsAfterThreeEnds += 1;
    this.#execute(worker, request, {
      onStart: () => trial && node.trialWorkers.add(worker.name),
      onAnswered: () => {
        endTrial(node, worker, trial);
        request.served = true;
        if (node.known.recordAnswer(request.digest, this.#clock.monotonicMs())) {
          this.#share(node, request.digest);
        }
      },
      onBroken: (start) => {
        endTrial(node, worker, trial);
        request.ends.add(start);
        node.known.recordEnd(request.digest, {
          ...{ worker: start, trial, atMs: this.#clock.monotonicMs() },
        });
        this.#share(node, request.digest);
        const next = { ...attempt, endsUnderId: attempt.endsUnderId + 1 };
        this.#send(node, request, next, onFailed);
      },
    });
  }

  #endsKnown(node: ModelNode, { digest }: ModelRequest): number {
    return node.known.endsOf(digest, this.#clock.monotonicMs());
  }

  #execute(
    worker: ModelWorker,
    request: ModelRequest,
    on: { onStart(): void; onAnswered(): void; onBroken(start: string): void },
  ): void {
    const start = `${worker.name}@${worker.start}`;
    on.onStart();
    const run = {
      broken: () => on.onBroken(start),
    };
    worker.running.add(run);
    this.#clock.schedule(request.deadly ? DEADLY_AFTER_MS : WORK_MS, () => {
      if (!worker.running.has(run)) return;
      if (request.deadly) {
        this.#deadlyEnds += 1;
        this.#crash(worker);
      } else {
        worker.running.delete(run);
        on.onAnswered();
      }
    });
  }

  #crash(worker: ModelWorker): void {
    if (!worker.up) return;
    const runs = [...worker.running];
    worker.running.clear();
    Object.assign(worker, { up: false });
    this.#clock.schedule(RESTART_MS, () =>
      Object.assign(worker, { up: true, start: worker.start + 1 }),
    );
    for (const { broken } of runs) broken();
  }

  #crashZone(): void {
    const zone = Math.floor(this.#random() * ZONES);
    for (const worker of this.#workers) if (worker.zone === zone) this.#crash(worker);
  }

  /** The first node is cut off in the second third of the time. */
  #isCutOff({ index }: ModelNode): boolean {
    const third = Math.floor((this.#clock.monotonicMs() * 3) / DURATION_MS);
    return this.#options.partition && index === 0 && third === 1;
  }

  #share(node: ModelNode, digest: string): void {
    const { policy } = this.#options;
    if (!policy.startsWith('shared') || this.#isCutOff(node)) return;
    const nowMs = this.#clock.monotonicMs();
    const entry = node.known.all(nowMs).find((request) => request.digest === digest);
    if (entry === undefined) return;
    this.#clock.schedule(SHARE_DELAY_MS, () => {
      for (const other of this.#nodes) {
        if (other !== node && !this.#isCutOff(other)) {
          other.known.merge(entry, this.#clock.monotonicMs());
        }
      }
    });
  }
}
