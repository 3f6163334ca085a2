import type { GenerationRequest, TokenChunk } from '../../../src/node/dataPath/engineApi.ts';
import type { TtlStart } from '../../../src/node/decisions/lease.ts';
import type { LedgerRules } from '../../../src/node/decisions/ledgerRules.ts';
import type { LedgerValue } from '../../../src/node/decisions/ledgerValue.ts';
import type { Handover } from '../../../src/node/decisions/sampleLedger.ts';
import { stalenessOf } from '../../../src/node/decisions/staleness.ts';
import type { SampleWithContent } from '../../../src/node/training/jobOwner.ts';
import type { PlatformObject } from '../../../src/node/platform/platformClient.ts';
import { sleep } from '../../../src/shared/clock.ts';
import { seededRandom } from '../../../src/shared/random.ts';
import { VirtualClock } from '../../../src/shared/virtualClock.ts';
import { ModelNode } from './modelNode.ts';
import { ModelPlatform } from './modelPlatform.ts';
import { ModelTrainer } from './modelTrainer.ts';

export type FaultKind =
  | 'crash'
  | 'pause'
  | 'outage'
  | 'lost-answers'
  | 'slow-platform'
  | 'engine-failures'
  | 'trainer-network'
  | 'publish';

export interface Fault {
  readonly kind: FaultKind;
  readonly atMs: number;
  readonly durationMs: number;
  readonly node: number;
}

export interface Schedule {
  readonly seed: number;
  readonly faults: readonly Fault[];
}

/** Weaker rules, to show that the harness notices their lack. */
export interface Variant {
  /** @default the product's rules */
  readonly rules?: LedgerRules;
  readonly holdStart?: TtlStart;
  /** Violations that are passed over, so that a run goes on to what a trainer notices. */
  readonly passOver?: RegExp;
}

const NODES = 3;
const STEPS = 2;
const GROUPS = 4;
const SAMPLES_PER_GROUP = 3;
const MAX_STALENESS = 1;
const JOB = 'job';
const TIMING = { ttlMs: 1800, renewIntervalMs: 600, marginMs: 400 };

/** Virtual time after the last fault in which everything must have arrived, in ms. */
const RECOVERY_MS = 60_000;

const ROUND_MS = 100;

/** One schedule of faults over contending owners, a trainer, engines and the platform, on virtual time. */
export class TrainingModel {
  readonly #world = new VirtualClock();

  readonly #random;

  readonly #platform: ModelPlatform;

  readonly #nodes: ModelNode[] = [];

  readonly #trainer: ModelTrainer;

  readonly #variant: Variant;

  readonly #received = new Set<string>();

  /** Position → digest of its content, or `void`. */
  readonly #answered = new Map<number, string>();

  readonly #violations: string[] = [];

  #engineVersion = 1;

  #publishedVersion = 1;

  #engineFailures = 0;

  constructor(seed: number, variant: Variant = {}) {
    this.#random = seededRandom(seed);
    this.#variant = variant;
    this.#platform = new ModelPlatform(this.#world, this.#random, (before, after) =>
      this.#checkFencing(before, after),
    );
    for (let index = 0; index < NODES; index += 1) this.#nodes.push(this.#makeNode(index));
    const steps = Array.from({ length: STEPS }, (_, step) => ({
      stepId: `step-${step}`,
      groups: Array.from({ length: GROUPS }, (__, group) => ({
        groupId: `group-${group}`,
        prompt: 'x'.repeat(group),
      })),
      samplesPerGroup: SAMPLES_PER_GROUP,
      sampling: { maxTokens: 3 },
      deadlineMs: 10_000,
    }));
    this.#trainer = new ModelTrainer({
      world: this.#world,
      random: this.#random,
      nodes: this.#nodes,
      steps,
      job: JOB,
      onSample: (position, name) => {
        if (this.#received.has(name)) this.#violate(`sample ${name} received twice`);
        this.#received.add(name);
      },
    });
  }

  /** Runs a schedule. Returns what was violated. */
  async run(faults: readonly Fault[]): Promise<readonly string[]> {
    const expected = STEPS * GROUPS * SAMPLES_PER_GROUP;
    for (const fault of faults) this.#world.schedule(fault.atMs, () => this.#begin(fault));
    const lastMs = Math.max(0, ...faults.map(({ atMs, durationMs }) => atMs + durationMs));
    const endMs = this.#world.monotonicMs() + lastMs + RECOVERY_MS;
    void this.#trainer.run();
    while (this.#received.size < expected && this.#violations.length === 0) {
      if (this.#world.monotonicMs() > endMs) {
        this.#violate(`only ${this.#received.size} of ${expected} samples received`);
      }
      await this.#world.advanceAsync(ROUND_MS);
      this.#checkHolders();
    }
    return this.#violations;
  }

  /** Records a violation that the product itself has reported. */
  readonly onInvariant = (name: string): void => this.#violate(`invariant ${name}`);

  #begin({ kind, durationMs, node }: Fault): void {
    const { faults } = this.#platform;
    const during = (begin: () => void, end: () => void) => {
      begin();
      this.#world.schedule(durationMs, end);
    };
    const set = <T extends object>(target: T, fault: Partial<T>, normal: Partial<T>) =>
      during(
        () => Object.assign(target, fault),
        () => Object.assign(target, normal),
      );
    const { process } = this.#nodes[node] ?? {};
    if (kind === 'crash') {
      process?.kill();
      this.#world.schedule(durationMs, () => {
        this.#nodes[node]?.process.kill();
        this.#nodes[node] = this.#makeNode(node);
      });
    } else if (kind === 'pause') {
      during(
        () => process?.pause(),
        () => process?.resume(),
      );
    } else if (kind === 'outage') set(faults, { outage: true }, { outage: false });
    else if (kind === 'lost-answers') set(faults, { lostAnswers: 0.4 }, { lostAnswers: 0 });
    else if (kind === 'slow-platform') set(faults, { latencyMs: 900 }, { latencyMs: 5 });
    else if (kind === 'trainer-network') {
      const fault = { lost: 0.2, duplicated: 0.7, latencyMs: 500 };
      set(this.#trainer.faults, fault, { lost: 0, duplicated: 0, latencyMs: 5 });
    } else if (kind === 'engine-failures') {
      during(
        () => {
          this.#engineFailures = 0.2;
        },
        () => {
          this.#engineFailures = 0;
        },
      );
    } else this.#publish(durationMs);
  }

  /** The engines follow a publication after `lagMs`. */
  #publish(lagMs: number): void {
    this.#publishedVersion += 1;
    const version = this.#publishedVersion;
    this.#trainer.publish(version);
    this.#world.schedule(lagMs, () => {
      this.#engineVersion = Math.max(this.#engineVersion, version);
    });
  }

  #makeNode(index: number): ModelNode {
    return new ModelNode({
      ...this.#variant,
      name: `node-${index}`,
      world: this.#world,
      random: this.#random,
      platform: this.#platform,
      timing: TIMING,
      job: JOB,
      workers: ['engine-0', 'engine-1'],
      engine: { generate: (_, request) => this.#generate(request) },
      maxStaleness: () => MAX_STALENESS,
      windowLimit: 8,
      commitIntervalMs: 300,
      onHandOver: (handover, fencing) => this.#checkHandOver(handover, fencing),
    });
  }

  async *#generate({ resumeAfter, maxTokens }: GenerationRequest): AsyncGenerator<TokenChunk> {
    for (let position = resumeAfter?.length ?? 0; position < maxTokens; position += 1) {
      await sleep(this.#world, 20 + this.#random() * 280);
      if (this.#random() < this.#engineFailures) throw new Error('connection reset');
      yield {
        text: 't',
        // Differs between attempts, so that two contents of one sample are told apart.
        tokenIds: [Math.floor(this.#random() * 1e9)],
        weightVersion: this.#engineVersion,
        position,
        finishReason: position === maxTokens - 1 ? 'length' : undefined,
      };
    }
  }

  #checkHandOver(handover: Handover<SampleWithContent>, fencing: number): void {
    const { position } = handover;
    const lease = this.#platform.objects.get(`leases/job/${JOB}`)?.value as { fencing: number };
    if (lease.fencing !== fencing) {
      this.#violate(`owner ${fencing} hands over under lease ${lease.fencing}`);
    }
    const content = handover.voided ? 'void' : handover.sample.digest;
    const before = this.#answered.get(position);
    this.#answered.set(position, content);
    if (handover.voided) {
      if (position < this.#trainer.position) this.#violate(`${position} voided after receipt`);
      return;
    }
    if (before !== undefined && before !== content) {
      this.#violate(`position ${position} answered with two contents`);
    }
    const staleness = stalenessOf(handover.sample.oldestVersion, this.#trainer.published);
    if (staleness > MAX_STALENESS) this.#violate(`staleness ${staleness} at hand-over`);
    const { window } = this.#platform.objects.get(`ledger/${JOB}`)?.value as LedgerValue;
    const isCommitted = window.some(
      (entry) => entry.position === position && entry.digest === content && !entry.voided,
    );
    if (!isCommitted) this.#violate(`position ${position} handed over without a commit`);
  }

  #checkFencing(before: PlatformObject | undefined, after: PlatformObject): void {
    const fencingOf = (object: PlatformObject | undefined) =>
      (object?.value as { fencing?: number } | undefined)?.fencing ?? 0;
    if (fencingOf(after) < fencingOf(before)) this.#violate(`fencing of ${after.key} fell`);
    this.#checkHolders();
  }

  #checkHolders(): void {
    const acting = this.#nodes.filter(({ process, lease }) => process.running && lease.isHeld());
    if (acting.length > 1) this.#violate(`${acting.length} holders act at once`);
  }

  #violate(what: string): void {
    if (this.#variant.passOver?.test(what)) return;
    this.#violations.push(`${what} at ${this.#world.monotonicMs() - 1_700_000_000_000} ms`);
  }
}
