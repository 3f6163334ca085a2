import { create } from '@bufbuild/protobuf';
import { TablesSchema } from '../../../gen/hyssoppulley/v1/tables_pb.ts';
import type { Clock } from '../../../shared/clock.ts';
import type { Random } from '../../../shared/random.ts';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import type {
  DispatchOnceOptions,
  DispatchOnceRequest,
  DispatchOnceResult,
} from '../../dataPath/dispatchOnce.ts';
import { formatKeyPrefix, parseIdempotencyKey } from '../../decisions/idempotencyKey.ts';
import type { IdempotencyKey } from '../../decisions/idempotencyKey.ts';
import type { KeyHomeOptions } from '../../decisions/keyHome.ts';
import type { Settlement } from '../../decisions/keyRecord.ts';
import type { KeyWitness, KeyWitnessOptions, SealDecision } from '../../decisions/keyWitness.ts';
import { silentLogger } from '../../observability/logger.ts';
import { resolveTables } from '../../tables/resolveTables.ts';
import { type HomeDecisions, KeyedRuns } from '../keyedRuns.ts';

/** The design under test. Faulty variants replace single parts. */
export interface Design {
  readonly createHome: (options: KeyHomeOptions) => HomeDecisions & {
    readonly size: number;
    readonly keptBytes: number;
  };
  readonly createWitness: (
    options: KeyWitnessOptions,
  ) => Pick<KeyWitness, 'grant' | 'seal' | 'size'>;
  readonly createNow: (clock: Clock) => () => number;
  readonly outcomeAfterSeal: (decision: SealDecision | undefined) => 'not-run' | 'unknown';
  readonly witnesses: boolean;
}

export const LIMITS = {
  keyTtlMs: 2500,
  maxRecords: 2,
  maxKeptBytes: 300,
  maxResponseBytes: 150,
  maxWaiting: 2,
};
const GRANT_TIMEOUT_MS = 150;
const HOME_TIMEOUT_MS = 400;
const RUN_TIMEOUT_MS = 1500;
const NODES = 3;

export type Step =
  | { kind: 'send'; atMs: number; key: number; entry: number; body: number }
  | { kind: 'pause'; atMs: number; node: number; forMs: number }
  | { kind: 'crash'; atMs: number; node: number }
  | { kind: 'jump'; atMs: number; node: number; byMs: number; backAfterMs: number | null };

const TABLES = resolveTables(
  create(TablesSchema, {
    routes: [{ name: 'r', match: {}, pool: 'p', idempotent: false, timeoutMs: RUN_TIMEOUT_MS }],
    pools: [{ name: 'p' }],
  }),
  1,
);

const WORKERS = ['w1', 'w2'].map((name) => ({ name, address: name, availabilityZone: 'z' }));

/** The successive processes on one VM. A crash starts the next incarnation; a pause delays all events. */
interface ModelNode {
  incarnation: string;
  wallOffsetMs: number;
  heldEvents: (() => void)[] | undefined;
  home: ReturnType<Design['createHome']>;
  witness: ReturnType<Design['createWitness']>;
  runs: KeyedRuns;
}

/** Wraps an event sent to an address: it reaches the process that runs there then, and is delayed during a pause. */
const atAddress = (node: ModelNode, event: () => void) => (): void => {
  if (node.heldEvents) node.heldEvents.push(event);
  else event();
};

/** Wraps an event of a process: it is dropped if the process has crashed by then. */
const inProcess = (
  node: ModelNode,
  event: () => void,
  incarnation = node.incarnation,
): (() => void) => {
  const deliver = atAddress(node, event);
  return () => {
    if (node.incarnation === incarnation) deliver();
  };
};

/** Simulates nodes, messages that are delayed, lost, repeated and reordered, and workers that count runs. */
export class KeyedModel {
  readonly clock = new VirtualClock();

  readonly violations: string[] = [];

  readonly outcomes: Record<string, number> = {};

  readonly #design: Design;

  readonly #random: Random;

  readonly #nodes = Array.from({ length: NODES }, () => ({ wallOffsetMs: 0 }) as ModelNode);

  readonly #addresses = new Map<string, ModelNode>();

  readonly #keys = new Map<number, IdempotencyKey>();

  readonly #runs = new Map<string, number>();

  readonly #reportedNotRun = new Set<string>();

  readonly #responses = new Map<string, string>();

  #incarnations = 0;

  constructor(design: Design, random: Random) {
    this.#design = design;
    this.#random = random;
    for (const node of this.#nodes) this.#start(node);
  }

  /** Runs the steps until no timers are left; returns the violations. */
  async runSteps(steps: readonly Step[]): Promise<readonly string[]> {
    for (const step of steps) this.clock.schedule(step.atMs, () => this.#perform(step));
    for (let next = this.clock.nextTimerInMs(); next !== undefined;) {
      this.clock.advance(next);
      await new Promise(setImmediate);
      this.#checkLimits();
      next = this.clock.nextTimerInMs();
    }
    return this.violations;
  }

  #perform(step: Step): void {
    const node = this.#node('node' in step ? step.node : step.entry);
    if (step.kind === 'send') void this.#request(step.key, node, step.body);
    else if (step.kind === 'crash') this.#start(node);
    else if (step.kind === 'jump') this.#jump(node, step.byMs, step.backAfterMs);
    else if (node.heldEvents === undefined) {
      const { incarnation } = node;
      node.heldEvents = [];
      this.clock.schedule(step.forMs, () => {
        if (node.incarnation !== incarnation) return;
        const held = node.heldEvents ?? [];
        node.heldEvents = undefined;
        // A resumed process handles expired timers and waiting messages in any order.
        held.sort(() => this.#random() - 0.5).forEach((event) => event());
      });
    }
  }

  #jump(node: ModelNode, byMs: number, backAfterMs: number | null): void {
    Object.assign(node, { wallOffsetMs: node.wallOffsetMs + byMs });
    if (backAfterMs === null) return;
    this.clock.schedule(backAfterMs, () => this.#jump(node, -byMs, null));
  }

  #start(started: ModelNode): void {
    const node = started;
    this.#incarnations += 1;
    node.incarnation = `i${this.#incarnations}`;
    node.heldEvents = undefined;
    this.#addresses.set(node.incarnation, node);
    const clock = this.#clockOf(node);
    const now = this.#design.createNow(clock);
    const { incarnation } = node;
    const bounds = { maxGrants: 6, maxSeals: 1 };
    node.home = this.#design.createHome({ ...LIMITS, incarnation, secret: incarnation, now });
    node.witness = this.#design.createWitness({ ...bounds, incarnation, now });
    node.runs = new KeyedRuns({
      home: node.home,
      tables: { current: () => TABLES },
      membership: { mayServe: () => this.#random() > 0.02 },
      clock,
      logger: { ...silentLogger, error: (event) => this.violations.push(event) },
      requestGrant: (key) =>
        this.#call(node, key.witnessIncarnation, GRANT_TIMEOUT_MS, ({ witness }) =>
          witness.grant(key),
        ),
      dispatch: (request, options) => this.#dispatch(node, request, options),
      admit: () =>
        Promise.resolve({
          choose: ({ exclude }) => WORKERS.find(({ address }) => !exclude.has(address)),
          [Symbol.dispose]() {},
        }),
      connectTimeoutMs: 100,
    });
  }

  #clockOf(node: ModelNode): Clock {
    return {
      nowMs: () => this.clock.nowMs() + node.wallOffsetMs,
      monotonicMs: () => this.clock.monotonicMs(),
      schedule: (delayMs, callback) => this.clock.schedule(delayMs, inProcess(node, callback)),
    };
  }

  /** Delivers a message, which may be lost, delayed or duplicated. */
  #deliver(event: () => void): void {
    const copies = this.#random() < 0.08 ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      if (this.#random() >= 0.06) this.clock.schedule(this.#delayMs(), event);
    }
  }

  #delayMs(): number {
    return this.#random() < 0.1 ? this.#random() * 1500 : 1 + this.#random() * 20;
  }

  /** Calls the VM on which an incarnation was started; undefined if there is no response within the timeout. */
  #call<T>(
    from: ModelNode,
    incarnation: string | undefined,
    timeoutMs: number,
    serve: (node: ModelNode) => T | Promise<T>,
  ): Promise<T | undefined> {
    const to = this.#addresses.get(incarnation ?? '');
    if (to === undefined) return Promise.resolve(undefined);
    if (to.incarnation === from.incarnation) return Promise.resolve(serve(to));
    return new Promise((resolve) => {
      this.clock.schedule(
        timeoutMs,
        inProcess(from, () => resolve(undefined)),
      );
      const caller = from.incarnation;
      const request = atAddress(to, () => {
        void Promise.resolve(serve(to)).then((result) =>
          this.#deliver(inProcess(from, () => resolve(result), caller)),
        );
      });
      this.#deliver(request);
    });
  }

  #dispatch(
    from: ModelNode,
    request: DispatchOnceRequest,
    options: DispatchOnceOptions,
  ): Promise<DispatchOnceResult> {
    return new Promise((resolve) => {
      const connected = () => {
        if (this.#random() < 0.15 || !options.mayDispatch?.()) {
          resolve({ status: 'not-dispatched', reason: '' });
          return;
        }
        const lost = inProcess(from, () => resolve({ status: 'unknown', reason: '' }));
        this.clock.schedule(options.timeoutMs, lost);
        if (this.#random() < 0.05) return;
        this.clock.schedule(this.#delayMs(), () => {
          const body = this.#runOnWorker(String(request.headers['idempotency-key']));
          if (this.#random() < 0.1) return;
          const response = { status: 'answered', statusCode: 200, headers: {}, body } as const;
          this.clock.schedule(
            this.#delayMs(),
            inProcess(from, () => resolve(response)),
          );
        });
      };
      this.clock.schedule(this.#delayMs(), inProcess(from, connected));
    });
  }

  #runOnWorker(key: string): Buffer {
    const runs = (this.#runs.get(key) ?? 0) + 1;
    this.#runs.set(key, runs);
    if (runs > 1) this.violations.push('ran twice');
    if (this.#reportedNotRun.has(key)) this.violations.push('ran after not-run');
    return Buffer.alloc(20 + Math.floor(this.#random() * 160), `${runs}${this.#random()}`);
  }

  async #request(index: number, entry: ModelNode, body: number): Promise<void> {
    const key = this.#keys.get(index) ?? this.#issue(index);
    const request = {
      key,
      method: 'POST',
      pathAndQuery: '/r',
      headers: {},
      body: Buffer.from([body]),
    };
    const settled = await this.#call(entry, key.homeIncarnation, HOME_TIMEOUT_MS, ({ runs }) =>
      runs.handle(request),
    );
    // The forward handler responds to this with 421 without a home header, so the entry treats the home as silent.
    const wrongHome =
      settled?.settlement.outcome === 'unknown' && settled.settlement.code === 'wrong-home';
    if (settled && !wrongHome) {
      this.#recordOutcome(key.text, settled.settlement);
      return;
    }
    const decision = await this.#call(entry, key.witnessIncarnation, GRANT_TIMEOUT_MS, (node) =>
      node.witness.seal(key),
    );
    const outcome = this.#design.outcomeAfterSeal(decision);
    this.#recordOutcome(key.text, { outcome, code: 'key-closed' } as Settlement);
  }

  /** Records the outcome that a caller gets and checks it against the runs and the earlier responses. */
  #recordOutcome(key: string, settlement: Settlement): void {
    this.outcomes[settlement.outcome] = (this.outcomes[settlement.outcome] ?? 0) + 1;
    if (settlement.outcome === 'not-run') {
      this.#reportedNotRun.add(key);
      if (this.#runs.has(key)) this.violations.push('not-run after it ran');
    } else if (settlement.outcome === 'answered') {
      const bytes = Buffer.from(settlement.response.body).toString('base64');
      const first = this.#responses.get(key) ?? bytes;
      this.#responses.set(key, first);
      if (first !== bytes) this.violations.push('different bytes for a repeat');
    }
  }

  #issue(index: number): IdempotencyKey {
    const home = this.#node(index);
    const witness = this.#node(index + 1 + Math.floor(this.#random() * (NODES - 1)));
    const namesWitness = this.#design.witnesses && this.#random() > 0.1;
    const fields = {
      homeIncarnation: home.incarnation,
      witnessIncarnation: namesWitness ? witness.incarnation : undefined,
      expiresAtMs: this.clock.nowMs() + home.wallOffsetMs + LIMITS.keyTtlMs,
    };
    const key = parseIdempotencyKey(`${formatKeyPrefix(fields, home.incarnation)}k${index}`);
    this.#keys.set(index, key);
    return key;
  }

  #node(index: number): ModelNode {
    return this.#nodes[index % NODES] as ModelNode;
  }

  #checkLimits(): void {
    for (const { home, witness } of this.#nodes) {
      if (home.size > LIMITS.maxRecords) this.violations.push('too many records');
      if (home.keptBytes > LIMITS.maxKeptBytes) this.violations.push('too many kept bytes');
      if (witness.size > 7) this.violations.push('too many witness entries');
    }
  }
}
