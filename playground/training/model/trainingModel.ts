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

/** Changes to the production rules, used by mutations to show that the model detects a weakened rule. */
export interface ModelVariant {
  /** @default `STANDARD_LEDGER_RULES` */
  readonly rules?: LedgerRules;
  readonly ttlStart?: TtlStart;
  /** Violations that are not recorded, so that the run continues until the trainer itself is affected. */
  readonly ignoredViolations?: RegExp;
}

const NODE_COUNT = 3;
const STEP_COUNT = 2;
const GROUPS_PER_STEP = 4;
const SAMPLES_PER_GROUP = 3;
const MAX_STALENESS = 1;
const JOB = 'job';
const TIMING = { ttlMs: 1800, renewIntervalMs: 600, marginMs: 400 };

/** Maximum virtual time from the end of the last fault to the receipt of all samples, in ms. */
const RECOVERY_MS = 60_000;

const CHECK_INTERVAL_MS = 100;

/** Runs one schedule of faults against contending owners, a trainer, engines and the platform in virtual time. */
export class TrainingModel {
  readonly #clock = new VirtualClock();

  readonly #random;

  readonly #platform: ModelPlatform;

  readonly #nodes: ModelNode[] = [];

  readonly #trainer: ModelTrainer;

  readonly #variant: ModelVariant;

  readonly #received = new Set<string>();

  /** Maps each position that was handed over to the digest of its content, or to `void`. */
  readonly #handedOver = new Map<number, string>();

  readonly #violations: string[] = [];

  #engineVersion = 1;

  #publishedVersion = 1;

  #engineFailures = 0;

  constructor(seed: number, variant: ModelVariant = {}) {
    this.#random = seededRandom(seed);
    this.#variant = variant;
    this.#platform = new ModelPlatform(this.#clock, this.#random, (before, after) =>
      this.#checkFencing(before, after),
    );
    for (let index = 0; index < NODE_COUNT; index += 1) this.#nodes.push(this.#makeNode(index));
    const steps = Array.from({ length: STEP_COUNT }, (_, step) => ({
      stepId: `step-${step}`,
      groups: Array.from({ length: GROUPS_PER_STEP }, (__, group) => ({
        groupId: `group-${group}`,
        prompt: 'x'.repeat(group),
      })),
      samplesPerGroup: SAMPLES_PER_GROUP,
      sampling: { maxTokens: 3 },
      deadlineMs: 10_000,
    }));
    this.#trainer = new ModelTrainer({
      clock: this.#clock,
      random: this.#random,
      nodes: this.#nodes,
      steps,
      job: JOB,
      onSample: (position, name) => {
        if (this.#received.has(name)) this.#report(`sample ${name} received twice`);
        this.#received.add(name);
      },
    });
  }

  /** Runs a schedule until all samples are received or a violation is found. Returns the violations. */
  async run(faults: readonly Fault[]): Promise<readonly string[]> {
    const expected = STEP_COUNT * GROUPS_PER_STEP * SAMPLES_PER_GROUP;
    for (const fault of faults) this.#clock.schedule(fault.atMs, () => this.#inject(fault));
    const lastMs = Math.max(0, ...faults.map(({ atMs, durationMs }) => atMs + durationMs));
    const endMs = this.#clock.monotonicMs() + lastMs + RECOVERY_MS;
    void this.#trainer.run();
    while (this.#received.size < expected && this.#violations.length === 0) {
      if (this.#clock.monotonicMs() > endMs) {
        this.#report(`only ${this.#received.size} of ${expected} samples received`);
      }
      await this.#clock.advanceAsync(CHECK_INTERVAL_MS);
      this.#checkHolders();
    }
    return this.#violations;
  }

  /** Listener for invariant checks that fail in the production code. */
  readonly onInvariant = (name: string): void => this.#report(`invariant ${name}`);

  #inject({ kind, durationMs, node }: Fault): void {
    const { faults } = this.#platform;
    const during = (begin: () => void, end: () => void) => {
      begin();
      this.#clock.schedule(durationMs, end);
    };
    const set = <T extends object>(target: T, fault: Partial<T>, normal: Partial<T>) =>
      during(
        () => Object.assign(target, fault),
        () => Object.assign(target, normal),
      );
    const { process } = this.#nodes[node] ?? {};
    if (kind === 'crash') {
      process?.kill();
      this.#clock.schedule(durationMs, () => {
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
      const fault = { lossFraction: 0.2, duplicateFraction: 0.7, latencyMs: 500 };
      set(this.#trainer.faults, fault, { lossFraction: 0, duplicateFraction: 0, latencyMs: 5 });
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

  /** Publishes the next weight version; the engines load it after `lagMs`. */
  #publish(lagMs: number): void {
    this.#publishedVersion += 1;
    const version = this.#publishedVersion;
    this.#trainer.publish(version);
    this.#clock.schedule(lagMs, () => {
      this.#engineVersion = Math.max(this.#engineVersion, version);
    });
  }

  #makeNode(index: number): ModelNode {
    return new ModelNode({
      ...this.#variant,
      name: `node-${index}`,
      virtualClock: this.#clock,
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
      await sleep(this.#clock, 20 + this.#random() * 280);
      if (this.#random() < this.#engineFailures) throw new Error('connection reset');
      yield {
        text: 't',
        // Random, so that two attempts at the same sample have different contents.
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
      this.#report(`owner with token ${fencing} hands over under lease token ${lease.fencing}`);
    }
    const content = handover.voided ? 'void' : handover.sample.digest;
    const before = this.#handedOver.get(position);
    this.#handedOver.set(position, content);
    if (handover.voided) {
      if (position < this.#trainer.position) this.#report(`${position} voided after receipt`);
      return;
    }
    if (before !== undefined && before !== content) {
      this.#report(`position ${position} handed over with two contents`);
    }
    const staleness = stalenessOf(handover.sample.oldestVersion, this.#trainer.published);
    if (staleness > MAX_STALENESS) this.#report(`staleness ${staleness} at hand-over`);
    const { window } = this.#platform.objects.get(`ledger/${JOB}`)?.value as LedgerValue;
    const isCommitted = window.some(
      (entry) => entry.position === position && entry.digest === content && !entry.voided,
    );
    if (!isCommitted) this.#report(`position ${position} handed over without a commit`);
  }

  #checkFencing(before: PlatformObject | undefined, after: PlatformObject): void {
    const fencingOf = (object: PlatformObject | undefined) =>
      (object?.value as { fencing?: number } | undefined)?.fencing ?? 0;
    if (fencingOf(after) < fencingOf(before)) this.#report(`fencing of ${after.key} decreased`);
    this.#checkHolders();
  }

  #checkHolders(): void {
    const acting = this.#nodes.filter(({ process, lease }) => process.running && lease.isHeld());
    if (acting.length > 1) this.#report(`${acting.length} holders act at once`);
  }

  #report(violation: string): void {
    if (this.#variant.ignoredViolations?.test(violation)) return;
    this.#violations.push(`${violation} at ${this.#clock.monotonicMs() - 1_700_000_000_000} ms`);
  }
}
