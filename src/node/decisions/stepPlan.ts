import { invariant } from '../../shared/invariants.ts';

/** One sample that is to be generated. */
export interface SampleTask {
  readonly stepId: string;
  readonly ordinal: number;
  readonly groupIndex: number;
  /** Counted from 1 for each sample by each owner. */
  readonly attempt: number;
}

/** What is known of a group when the next sample is chosen. */
export interface GroupOutlook {
  /** Position of the step among the steps in flight; 0 is the oldest. */
  readonly stepIndex: number;
  readonly groupIndex: number;
  readonly promptBytes: number;
  /** Mean length of the group's finished samples, in tokens; undefined: none has finished. */
  readonly meanTokens: number | undefined;
}

/** Orders groups; the first is generated next. */
export type GroupOrder = (first: GroupOutlook, second: GroupOutlook) => number;

/** Baseline: in the order of submission. */
export const orderBySubmission: GroupOrder = (first, second) =>
  first.stepIndex - second.stepIndex || first.groupIndex - second.groupIndex;

const expectedLength = ({ meanTokens, promptBytes }: GroupOutlook): number =>
  meanTokens ?? promptBytes;

/** Long samples first, so that they do not start last and delay the end of the step. */
export const orderLongestFirst: GroupOrder = (first, second) =>
  first.stepIndex - second.stepIndex ||
  expectedLength(second) - expectedLength(first) ||
  first.groupIndex - second.groupIndex;

/** A sample in progress, when no other sample is waiting. */
export interface RunningSample {
  readonly task: SampleTask;
  readonly attempts: number;
  /** Time since its newest attempt began, in ms. */
  readonly runningMs: number;
  /** Mean time of the step's finished samples, in ms; undefined: none has finished. */
  readonly meanMs: number | undefined;
  /** Time until the step's deadline, in ms; negative: it has passed. */
  readonly remainingMs: number;
}

/** Whether to start a further attempt of a straggler. The first attempt to finish is kept. */
export type StragglerPolicy = (sample: RunningSample) => boolean;

/** Baseline: never. */
export const neverDuplicate: StragglerPolicy = () => false;

/** A second attempt once a sample has taken three times as long as the step's mean. */
export const duplicateSlowSamples: StragglerPolicy = ({ attempts, runningMs, meanMs }) =>
  attempts < 2 && meanMs !== undefined && runningMs > 3 * meanMs;

export interface PlannedStep {
  readonly stepId: string;
  readonly samplesPerGroup: number;
  /** Length of each group's prompt. */
  readonly promptBytes: readonly number[];
  /** When the step should be complete, in ms on the clock passed to `next`. */
  readonly deadlineAtMs: number;
}

export interface StepPlanOptions {
  readonly maxStepsInFlight: number;
  readonly order: GroupOrder;
  readonly duplicate: StragglerPolicy;
}

/** Delay before a sample whose generation failed is tried again, in ms. Doubles with each failure in a row. */
const FIRST_RETRY_DELAY_MS = 200;

const MAX_RETRY_DELAY_MS = 10_000;

/**
 * Samples started before the groups are ordered again. With a look at every group and pending sample for each start, a
 * step of 8,192 samples took 8.1 s of computing in the model, against 0.9 s.
 */
const REORDER_AFTER = 256;

interface Group {
  readonly outlook: Omit<GroupOutlook, 'stepIndex' | 'meanTokens'>;
  /** Ordinals to be generated. */
  readonly pending: number[];
  finished: number;
  tokens: number;
}

interface Sample {
  failures: number;
  readonly running: Map<number, number>;
}

interface Step {
  readonly spec: PlannedStep;
  readonly groups: Group[];
  readonly samples: Map<number, Sample>;
  readonly done: Set<number>;
  /** Attempts begun, for each ordinal. */
  readonly attempts: Uint16Array;
  finished: number;
  totalMs: number;
}

interface QueuedGroup {
  readonly step: Step;
  readonly group: Group;
}

interface DelayedSample {
  readonly step: Step;
  readonly ordinal: number;
  readonly dueMs: number;
}

/** Decides which sample is generated next. Holds the steps whose prompts this owner has. */
export class StepPlan {
  readonly #options: StepPlanOptions;

  readonly #steps = new Map<string, Step>();

  /** Groups with pending samples, the next one last. */
  #queue: QueuedGroup[] = [];

  #startedSinceOrder = 0;

  #mustOrder = false;

  /** Failed samples; at most one for each slot of a worker. */
  #delayed: DelayedSample[] = [];

  constructor(options: StepPlanOptions) {
    this.#options = options;
  }

  has(stepId: string): boolean {
    return this.#steps.has(stepId);
  }

  /** Number of steps with samples still to be generated that are open for generation. */
  get stepsInFlight(): number {
    return this.#open().length;
  }

  /** @param isTaken - whether a sample needs no generation, because it is already committed */
  add(spec: PlannedStep, isTaken: (ordinal: number) => boolean): void {
    const step: Step = {
      spec,
      groups: spec.promptBytes.map((promptBytes, groupIndex) => ({
        outlook: { groupIndex, promptBytes },
        pending: [],
        finished: 0,
        tokens: 0,
      })),
      samples: new Map(),
      done: new Set(),
      attempts: new Uint16Array(spec.promptBytes.length * spec.samplesPerGroup),
      finished: 0,
      totalMs: 0,
    };
    for (let ordinal = 0; ordinal < this.#total(step); ordinal += 1) {
      if (isTaken(ordinal)) step.done.add(ordinal);
      else this.#groupOf(step, ordinal)?.pending.push(ordinal);
    }
    for (const group of step.groups) group.pending.reverse();
    this.#steps.set(spec.stepId, step);
    this.#mustOrder = true;
  }

  remove(stepId: string): void {
    const step = this.#steps.get(stepId);
    this.#steps.delete(stepId);
    this.#delayed = this.#delayed.filter((sample) => sample.step !== step);
    this.#mustOrder = true;
  }

  /** The next sample to start now; undefined when nothing may be started. */
  next(nowMs: number): SampleTask | undefined {
    this.#releaseDelayed(nowMs);
    const open = this.#open();
    if (this.#mustOrder || this.#startedSinceOrder >= REORDER_AFTER) this.#order(open);
    for (let next = this.#queue.at(-1); next; next = this.#queue.at(-1)) {
      const ordinal = next.group.pending.pop();
      if (ordinal !== undefined) {
        this.#startedSinceOrder += 1;
        return this.#start(next.step, ordinal, nowMs);
      }
      this.#queue.pop();
    }
    return this.#nextDuplicate(open, nowMs);
  }

  /** Whether some attempt of the task's sample is in progress and still wanted. */
  isRunning({ stepId, ordinal }: SampleTask): boolean {
    return (this.#steps.get(stepId)?.samples.get(ordinal)?.running.size ?? 0) > 0;
  }

  /** Records the end of an attempt that gave a sample; false when another attempt was first. */
  finished(task: SampleTask, tokens: number, nowMs: number): boolean {
    const step = this.#steps.get(task.stepId);
    if (!step || step.done.has(task.ordinal)) return false;
    const startedMs = step.samples.get(task.ordinal)?.running.get(task.attempt);
    step.samples.delete(task.ordinal);
    step.done.add(task.ordinal);
    // The next step may now be opened.
    if (step.done.size === this.#total(step)) this.#mustOrder = true;
    step.finished += 1;
    step.totalMs += nowMs - (startedMs ?? nowMs);
    const group = this.#groupOf(step, task.ordinal);
    if (group) {
      group.finished += 1;
      group.tokens += tokens;
    }
    return true;
  }

  /** Records the end of an attempt without a sample; the sample is tried again unless an attempt still runs. */
  failed(task: SampleTask, nowMs: number): void {
    const step = this.#steps.get(task.stepId);
    const sample = step?.samples.get(task.ordinal);
    if (!step || !sample) return;
    if (!sample.running.delete(task.attempt) || sample.running.size > 0) return;
    sample.failures += 1;
    const delayMs = FIRST_RETRY_DELAY_MS * 2 ** Math.min(sample.failures - 1, 10);
    const dueMs = nowMs + Math.min(delayMs, MAX_RETRY_DELAY_MS);
    this.#delayed.push({ step, ordinal: task.ordinal, dueMs });
  }

  /** A finished sample is needed again, because its position was voided. */
  reopen(stepId: string, ordinal: number, nowMs: number): void {
    const step = this.#steps.get(stepId);
    if (!step?.done.delete(ordinal)) return;
    this.#delayed.push({ step, ordinal, dueMs: nowMs });
    this.#mustOrder = true;
  }

  /** Time in ms until a delayed retry is due; undefined: none is waiting. */
  nextDueInMs(nowMs: number): number | undefined {
    if (this.#delayed.length === 0) return undefined;
    const dueMs = this.#delayed.reduce((least, sample) => Math.min(least, sample.dueMs), Infinity);
    return Math.max(0, dueMs - nowMs);
  }

  /** Steps that still lack samples, the oldest first, at most `maxStepsInFlight`. */
  #open(): Step[] {
    return [...this.#steps.values()]
      .filter((step) => step.done.size < this.#total(step))
      .slice(0, this.#options.maxStepsInFlight);
  }

  /** Samples that were begun once go before new ones, because they are late already. */
  #releaseDelayed(nowMs: number): void {
    if (this.#delayed.length === 0) return;
    const due = this.#delayed.filter(({ dueMs }) => dueMs <= nowMs);
    if (due.length === 0) return;
    this.#delayed = this.#delayed.filter(({ dueMs }) => dueMs > nowMs);
    for (const { step, ordinal } of due) {
      const group = this.#groupOf(step, ordinal);
      if (!group) continue;
      group.pending.push(ordinal);
      this.#queue.push({ step, group });
    }
  }

  #order(open: readonly Step[]): void {
    const queued = open.flatMap((step, stepIndex) =>
      step.groups
        .filter(({ pending }) => pending.length > 0)
        .map((group) => {
          const meanTokens = group.finished > 0 ? group.tokens / group.finished : undefined;
          return { step, group, outlook: { ...group.outlook, stepIndex, meanTokens } };
        }),
    );
    queued.sort((first, second) => this.#options.order(second.outlook, first.outlook));
    this.#queue = queued;
    this.#startedSinceOrder = 0;
    this.#mustOrder = false;
  }

  #nextDuplicate(open: readonly Step[], nowMs: number): SampleTask | undefined {
    for (const step of open) {
      const meanMs = step.finished > 0 ? step.totalMs / step.finished : undefined;
      for (const [ordinal, sample] of step.samples) {
        if (sample.running.size === 0) continue;
        const runningMs = nowMs - Math.max(...sample.running.values());
        const remainingMs = step.spec.deadlineAtMs - nowMs;
        const task = this.#task(step, ordinal);
        const attempts = sample.running.size;
        if (this.#options.duplicate({ task, attempts, runningMs, meanMs, remainingMs })) {
          return this.#start(step, ordinal, nowMs);
        }
      }
    }
    return undefined;
  }

  #start(step: Step, ordinal: number, nowMs: number): SampleTask {
    invariant(!step.done.has(ordinal), 'sample-started-once-done', { ordinal });
    const sample = step.samples.get(ordinal) ?? { failures: 0, running: new Map() };
    step.samples.set(ordinal, sample);
    step.attempts.set([(step.attempts[ordinal] ?? 0) + 1], ordinal);
    const task = this.#task(step, ordinal);
    sample.running.set(task.attempt, nowMs);
    return task;
  }

  // eslint-disable-next-line class-methods-use-this
  #task({ spec, attempts }: Step, ordinal: number): SampleTask {
    const groupIndex = Math.floor(ordinal / spec.samplesPerGroup);
    return { stepId: spec.stepId, ordinal, groupIndex, attempt: attempts[ordinal] ?? 0 };
  }

  // eslint-disable-next-line class-methods-use-this
  #groupOf({ groups, spec }: Step, ordinal: number): Group | undefined {
    return groups[Math.floor(ordinal / spec.samplesPerGroup)];
  }

  // eslint-disable-next-line class-methods-use-this
  #total({ spec }: Step): number {
    return spec.promptBytes.length * spec.samplesPerGroup;
  }
}
