import { createHash } from 'node:crypto';
import type { Clock } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import { invariant } from '../../shared/invariants.ts';
import type { Random } from '../../shared/random.ts';
import { requestError } from '../dataPath/problem.ts';
import type { LedgerRules } from '../decisions/ledgerRules.ts';
import { type CompletedSample, EMPTY_LEDGER, type LedgerValue } from '../decisions/ledgerValue.ts';
import { encodeCursor } from '../decisions/sampleCursor.ts';
import { type Handover, type LedgerChange, SampleLedger } from '../decisions/sampleLedger.ts';
import { stalenessOf } from '../decisions/staleness.ts';
import { type GroupOrder, StepPlan, type StragglerPolicy } from '../decisions/stepPlan.ts';
import type { Logger } from '../observability/logger.ts';
import type { PlatformClient } from '../platform/platformClient.ts';
import type { ByteBudget } from '../../shared/byteBudget.ts';
import { pullRefusal, noOwner, stepRefusal } from './jobRefusals.ts';
import type { Lease } from './leaseManager.ts';
import { LedgerWriter } from './ledgerWriter.ts';
import { SampleGenerator, type SampleGeneratorOptions } from './sampleGenerator.ts';
import { SampleScheduler } from './sampleScheduler.ts';
import type { PullEnd, PullRequest, SampleContent, StepSubmission } from './trainerMessages.ts';
import { Notifier } from '../../shared/notifier.ts';
import type { WeightRecords } from './weightRecords.ts';

export interface JobOwnerOptions extends Pick<
  SampleGeneratorOptions,
  'engine' | 'slots' | 'score'
> {
  readonly job: string;
  readonly pool: string;
  readonly lease: Lease;
  readonly platform: PlatformClient;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly newOperationId: () => string;
  readonly budget: ByteBudget;
  readonly records: Pick<WeightRecords, 'published' | 'refresh'>;
  readonly maxStaleness: () => number;
  readonly maxStepsInFlight: number;
  readonly order: GroupOrder;
  readonly duplicate: StragglerPolicy;
  readonly rules?: LedgerRules;
  /** @default LEDGER_WINDOW */
  readonly windowLimit?: number;
  /** Minimum interval between two writes of the ledger, in ms. */
  readonly commitIntervalMs: number;
  /** Called for each position that is handed over, directly before it is sent. */
  readonly onHandOver?: (handover: Handover<SampleWithContent>, fencing: number) => void;
}

/** A completed sample with its content, serialized for sending. */
export interface SampleWithContent extends CompletedSample {
  /** The content as a JSON object without its opening brace; the position is prepended when it is handed over. */
  readonly jsonTail: string;
  readonly sizeBytes: number;
}

/** Response to a pull: JSON lines for the handed-over positions, and the `PullEnd` that is sent as the last line. */
export interface PullResponse {
  readonly lines: readonly string[];
  readonly end: PullEnd;
}

export interface JobState {
  readonly fencing: number;
  readonly nextPosition: number;
  readonly acknowledged: number;
  readonly weightVersion: number;
  readonly stepsInFlight: number;
  readonly resubmitSteps: readonly string[];
  /** Identifiers of the unfinished steps. */
  readonly steps: readonly string[];
}

/** Maximum time that a submission waits for its step to be recorded in the platform, in ms. */
const SUBMIT_WAIT_MS = 5000;

const TAKEOVER_RETRY_MS = 300;

/** Size in bytes of samples beyond which a response to a pull is cut; the remaining ones follow with the next pull. */
const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

/** Estimated sample size per token, in bytes. Used until the first sample has finished. */
const BYTES_PER_TOKEN = 16;

const digestOf = (text: string): string =>
  createHash('sha256').update(text).digest('hex').slice(0, 16);

/** Owner of one job under one fencing token: generates, commits and hands over its samples. */
export class JobOwner {
  readonly #options: JobOwnerOptions;

  readonly #changes: Notifier;

  readonly #plan: StepPlan;

  /** Steps whose prompts this owner has. Bounded by the number of steps in the ledger and by the byte budget. */
  readonly #submissions = new Map<string, { step: StepSubmission; sizeBytes: number }>();

  readonly #fencing: number;

  #ledger: SampleLedger<SampleWithContent> | undefined;

  #writer: LedgerWriter | undefined;

  #scheduler: SampleScheduler | undefined;

  #stopped = false;

  #keptBytes = 0;

  /** Running mean of sample sizes, in bytes. */
  #meanBytes: number | undefined;

  constructor(options: JobOwnerOptions) {
    this.#options = options;
    this.#fencing = options.lease.fencing;
    this.#changes = new Notifier(options.clock);
    const { maxStepsInFlight, order, duplicate } = options;
    this.#plan = new StepPlan({ maxStepsInFlight, order, duplicate });
  }

  /** Takes over the ledger, then generates and records samples until `stop`. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      try {
        await this.#takeOver();
      } catch (error) {
        this.#options.logger.warn('ledger-take-over-failed', { message: messageOf(error) });
        await this.#changes.wait(TAKEOVER_RETRY_MS);
      }
      // Ends when this owner stops, or when the ledger changed before the take-over was recorded.
      if (this.#ledger !== undefined) await this.#runTasks();
    }
  }

  /** Stops all work immediately and releases the byte budget that it uses. */
  stop(): void {
    if (this.#stopped) return;
    this.#stopped = true;
    this.#writer?.stop();
    this.#scheduler?.stop();
    this.#options.budget.release(this.#keptBytes);
    this.#changes.notify();
  }

  async #runTasks(): Promise<void> {
    if (!this.#stopped) await Promise.all([this.#writer?.run(), this.#scheduler?.run()]);
  }

  /**
   * Handles a write by another owner. Until the take-over is recorded it may be a late write of the previous owner, and
   * the ledger is read again. Afterwards only a later owner can have written the ledger, so this owner stops.
   */
  #handleLostLedger(ledger: SampleLedger<SampleWithContent>): void {
    if (ledger.isTakeoverRecorded) {
      this.stop();
      return;
    }
    this.#options.logger.info('ledger-changed-before-take-over', { fencing: this.#fencing });
    this.#writer?.stop();
    this.#scheduler?.stop();
    this.#ledger = undefined;
  }

  /** Accepts a step or detects a repeat. Resolves once the step is recorded, so that later owners know it. */
  async submit(step: StepSubmission): Promise<{ readonly state: 'accepted' | 'finished' }> {
    const ledger = this.#requireLedger();
    const { stepId } = step;
    const content = JSON.stringify([step.groups, step.samplesPerGroup, step.sampling]);
    const digest = digestOf(content);
    const check = ledger.checkStep(stepId, digest);
    if (check === 'different' || check === 'full') throw stepRefusal(stepId, check);
    if (check === 'finished') return { state: 'finished' };
    this.#reserveStep(step, content);
    if (check === 'new') {
      ledger.addStep(stepId, digest, step.groups.length * step.samplesPerGroup);
    }
    this.#planStep(ledger, step);
    this.#notify();
    await this.#waitUntil(() => ledger.isRecorded(stepId), SUBMIT_WAIT_MS);
    if (this.#requireLedger().isRecorded(stepId)) return { state: 'accepted' };
    throw requestError('the platform has not confirmed the step yet; submit it again', {
      outcome: 'unknown',
      statusCode: 503,
      code: 'step-not-recorded',
      retryAfterMs: 1000,
    });
  }

  /** Hands samples over, waiting up to `waitMs` for the first one. */
  async pull(request: PullRequest): Promise<PullResponse> {
    const ledger = this.#requireLedger();
    const check = ledger.acceptPull(request.cursor, request.pullSequence);
    if (check.status !== 'accepted') throw pullRefusal(check.status, check.cursor);
    this.#freeFinishedSteps(ledger);
    this.#notify();
    const { clock, maxStaleness, records, pool } = this.#options;
    const endMs = clock.monotonicMs() + request.waitMs;
    for (;;) {
      this.#requireLedger();
      if (ledger.isSuperseded(request.pullSequence)) throw pullRefusal('stale-sequence');
      const found = ledger.handOver(
        check.position,
        request.maxSamples,
        records.published(pool),
        maxStaleness(),
      );
      const remainingMs = endMs - clock.monotonicMs();
      if (found.length > 0 || remainingMs <= 0) return this.#buildResponse(check.position, found);
      this.#writer?.notify();
      await this.#changes.wait(remainingMs);
    }
  }

  /** Wakes waiting pulls, the writer and the scheduler, for example after a weight version was published. */
  notify(): void {
    this.#notify();
  }

  state(): JobState {
    const ledger = this.#requireLedger();
    return {
      fencing: this.#fencing,
      nextPosition: ledger.nextPosition,
      acknowledged: ledger.acknowledged,
      weightVersion: this.#options.records.published(this.#options.pool).at(-1) ?? 0,
      stepsInFlight: this.#plan.stepsInFlight,
      resubmitSteps: this.#resubmitSteps(ledger),
      steps: ledger.steps().map(({ stepId }) => stepId),
    };
  }

  async #takeOver(): Promise<void> {
    const { platform, job, records, pool, rules, windowLimit, newOperationId } = this.#options;
    // Loads the published versions, without which staleness cannot be computed.
    await records.refresh(pool);
    const object = await platform.read(`ledger/${job}`);
    const value = (object?.value as LedgerValue | undefined) ?? EMPTY_LEDGER;
    if (this.#stopped) return;
    if (value.fencing > this.#fencing) {
      this.stop();
      return;
    }
    const ledger = new SampleLedger<SampleWithContent>(
      {
        fencing: this.#fencing,
        newOperationId,
        rules,
        windowLimit,
        onDropped: ({ sizeBytes }) => this.#adjustKeptBytes(-sizeBytes),
      },
      object,
      value,
    );
    this.#ledger = ledger;
    this.#writer = this.#createWriter(ledger);
    this.#scheduler = this.#createScheduler(ledger);
  }

  #createWriter(ledger: SampleLedger<SampleWithContent>): LedgerWriter {
    const { job, commitIntervalMs } = this.#options;
    return new LedgerWriter({
      ...this.#options,
      key: `ledger/${job}`,
      ledger,
      minIntervalMs: commitIntervalMs,
      onConfirmed: (change) => this.#handleConfirmed(ledger, change),
      onLost: () => this.#handleLostLedger(ledger),
    });
  }

  #createScheduler(ledger: SampleLedger<SampleWithContent>): SampleScheduler {
    const { job, records, pool, maxStaleness, budget } = this.#options;
    const generator = new SampleGenerator({
      ...this.#options,
      streamPrefix: `${job}-${this.#fencing}`,
      isFresh: (version) => stalenessOf(version, records.published(pool)) <= maxStaleness(),
    });
    return new SampleScheduler({
      ...this.#options,
      plan: this.#plan,
      hasRoom: (running) =>
        ledger.occupied + running < ledger.windowLimit &&
        budget.usedBytes + (running + 1) * (this.#meanBytes ?? 0) < budget.limitBytes,
      stepOf: (stepId) => this.#submissions.get(stepId)?.step,
      generate: (task, step, worker, signal) => generator.generate(task, step, worker, signal),
      onSample: (sample) => this.#recordCompleted(ledger, sample),
    });
  }

  /** Returns the ledger; throws unless this node may act as the owner of the job now. */
  #requireLedger(): SampleLedger<SampleWithContent> {
    const { lease } = this.#options;
    const isOwner = !this.#stopped && lease.isHeld() && lease.fencing === this.#fencing;
    if (!isOwner || !this.#ledger?.isTakeoverRecorded) throw noOwner();
    return this.#ledger;
  }

  #recordCompleted(ledger: SampleLedger<SampleWithContent>, content: SampleContent): void {
    const { records, pool, clock } = this.#options;
    const { stepId, ordinal, attempt } = content;
    const jsonTail = JSON.stringify(content).slice(1);
    const sizeBytes = Buffer.byteLength(jsonTail);
    this.#meanBytes = ((this.#meanBytes ?? sizeBytes) * 15 + sizeBytes) / 16;
    const oldestVersion = content.ranges.reduce(
      (oldest, { weightVersion }) => Math.min(oldest, weightVersion),
      Infinity,
    );
    const sample = {
      stepId,
      ordinal,
      attempt,
      digest: digestOf(jsonTail),
      oldestVersion,
      jsonTail,
      sizeBytes,
    };
    if (!ledger.complete(sample, records.published(pool))) {
      if (!ledger.isTaken(stepId, ordinal)) {
        this.#plan.reopen(stepId, ordinal, clock.monotonicMs());
      }
      return;
    }
    this.#adjustKeptBytes(sizeBytes);
    this.#writer?.notify();
  }

  #handleConfirmed(ledger: SampleLedger<SampleWithContent>, { voided }: LedgerChange): void {
    const { clock, logger } = this.#options;
    for (const { stepId, ordinal } of voided) {
      if (!ledger.isTaken(stepId, ordinal)) {
        this.#plan.reopen(stepId, ordinal, clock.monotonicMs());
      }
    }
    if (voided.length > 0) logger.info('positions-voided', { count: voided.length });
    this.#notify();
  }

  #buildResponse(
    position: number,
    handovers: readonly Handover<SampleWithContent>[],
  ): PullResponse {
    const { records, pool, maxStaleness, onHandOver } = this.#options;
    const ledger = this.#requireLedger();
    const lines: string[] = [];
    let sizeBytes = 0;
    for (const handover of handovers) {
      if (sizeBytes > MAX_RESPONSE_BYTES) break;
      const { position: at } = handover;
      if (handover.voided) {
        lines.push(`{"position":${at},"void":true}`);
      } else {
        const staleness = stalenessOf(handover.sample.oldestVersion, records.published(pool));
        invariant(staleness <= maxStaleness(), 'staleness-at-hand-over', { staleness });
        lines.push(`{"position":${at},${handover.sample.jsonTail}`);
        sizeBytes += handover.sample.sizeBytes;
      }
      onHandOver?.(handover, this.#fencing);
    }
    const cursor = encodeCursor({ fencing: this.#fencing, position: position + lines.length });
    return { lines, end: { cursor, resubmitSteps: this.#resubmitSteps(ledger) } };
  }

  /** Incomplete steps whose prompts this owner does not have. */
  #resubmitSteps(ledger: SampleLedger<SampleWithContent>): string[] {
    return ledger
      .steps()
      .map(({ stepId }) => stepId)
      .filter((stepId) => !this.#plan.has(stepId) && !ledger.isComplete(stepId));
  }

  #reserveStep(step: StepSubmission, content: string): void {
    if (this.#submissions.has(step.stepId)) return;
    const sizeBytes = Buffer.byteLength(content);
    if (!this.#options.budget.tryReserve(sizeBytes)) throw stepRefusal(step.stepId, 'full');
    this.#keptBytes += sizeBytes;
    this.#submissions.set(step.stepId, { step, sizeBytes });
    this.#meanBytes ??= step.sampling.maxTokens * BYTES_PER_TOKEN;
  }

  #planStep(ledger: SampleLedger<SampleWithContent>, step: StepSubmission): void {
    const { stepId, samplesPerGroup, deadlineMs } = step;
    if (this.#plan.has(stepId)) return;
    this.#plan.add(
      {
        stepId,
        samplesPerGroup,
        promptBytes: step.groups.map(({ prompt }) => prompt.length),
        deadlineAtMs: this.#options.clock.monotonicMs() + deadlineMs,
      },
      (ordinal) => ledger.isTaken(stepId, ordinal),
    );
  }

  #freeFinishedSteps(ledger: SampleLedger<SampleWithContent>): void {
    const unfinished = new Set(ledger.steps().map(({ stepId }) => stepId));
    for (const stepId of [...this.#submissions.keys()]) {
      if (!unfinished.has(stepId)) this.#freeStep(stepId);
    }
  }

  #freeStep(stepId: string): void {
    const sizeBytes = this.#submissions.get(stepId)?.sizeBytes ?? 0;
    this.#submissions.delete(stepId);
    this.#plan.remove(stepId);
    this.#adjustKeptBytes(-sizeBytes);
  }

  #adjustKeptBytes(byBytes: number): void {
    if (this.#stopped) return;
    this.#keptBytes += byBytes;
    this.#options.budget.adjust(byBytes);
  }

  #notify(): void {
    this.#writer?.notify();
    this.#scheduler?.notify();
    this.#changes.notify();
  }

  async #waitUntil(condition: () => boolean, limitMs: number): Promise<void> {
    const { clock } = this.#options;
    const endMs = clock.monotonicMs() + limitMs;
    while (!condition() && !this.#stopped && clock.monotonicMs() < endMs) {
      await this.#changes.wait(endMs - clock.monotonicMs());
    }
  }
}
