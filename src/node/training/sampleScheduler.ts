import type { Clock } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import type { SampleTask, StepPlan } from '../decisions/stepPlan.ts';
import type { WorkerEndpoint } from '../membership/membershipView.ts';
import type { Logger } from '../observability/logger.ts';
import type { SampleContent, StepSubmission } from './trainerMessages.ts';
import { Notifier } from '../../shared/notifier.ts';
import type { WorkerSlots } from './workerSlots.ts';

export interface SampleSchedulerOptions {
  readonly plan: StepPlan;
  readonly slots: WorkerSlots;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Whether the ledger window and the byte budget have room for one more sample besides `running` others. */
  readonly hasRoom: (running: number) => boolean;
  readonly stepOf: (stepId: string) => StepSubmission | undefined;
  /** Generates a sample and releases the worker's slot. */
  readonly generate: (
    task: SampleTask,
    step: StepSubmission,
    worker: WorkerEndpoint,
    signal: AbortSignal,
  ) => Promise<SampleContent>;
  /** Called with the first finished attempt of each sample. */
  readonly onSample: (sample: SampleContent) => void;
}

/** Maximum interval between checks of the plan, in ms. Finds slow samples and workers that became free. */
const MAX_CHECK_INTERVAL_MS = 1000;

/** Starts the samples that the plan selects on free workers. */
export class SampleScheduler {
  readonly #options: SampleSchedulerOptions;

  readonly #notifier: Notifier;

  /** Attempts in progress, by sample. Bounded by the ledger window through `hasRoom`. */
  readonly #running = new Map<string, Set<AbortController>>();

  #attempts = 0;

  #stopped = false;

  constructor(options: SampleSchedulerOptions) {
    this.#options = options;
    this.#notifier = new Notifier(options.clock);
  }

  get running(): number {
    return this.#attempts;
  }

  /** Makes the scheduler check the plan again. */
  notify(): void {
    this.#notifier.notify();
  }

  async run(): Promise<void> {
    const { plan, clock } = this.#options;
    while (!this.#stopped) {
      this.#startAttempts();
      const dueMs = plan.nextDueInMs(clock.monotonicMs()) ?? Infinity;
      // A sample that is due but has no worker or no room waits for a notification or the next check.
      await this.#notifier.wait(
        dueMs > 0 ? Math.min(dueMs, MAX_CHECK_INTERVAL_MS) : MAX_CHECK_INTERVAL_MS,
      );
    }
  }

  /** Cancels every attempt. */
  stop(): void {
    this.#stopped = true;
    for (const attempts of this.#running.values()) {
      for (const attempt of attempts) attempt.abort();
    }
    this.#notifier.notify();
  }

  #startAttempts(): void {
    const { plan, slots, clock, hasRoom, stepOf } = this.#options;
    while (!this.#stopped && hasRoom(this.#attempts)) {
      const worker = slots.acquire();
      if (worker === undefined) return;
      const task = plan.next(clock.monotonicMs());
      const step = task && stepOf(task.stepId);
      if (task === undefined || step === undefined) {
        slots.release(worker);
        return;
      }
      void this.#attempt(task, step, worker);
    }
  }

  async #attempt(task: SampleTask, step: StepSubmission, worker: WorkerEndpoint): Promise<void> {
    const { plan, clock, generate, onSample, logger } = this.#options;
    const controller = new AbortController();
    const sampleKey = `${task.ordinal} ${task.stepId}`;
    const siblings = this.#running.get(sampleKey) ?? new Set();
    this.#running.set(sampleKey, siblings.add(controller));
    this.#attempts += 1;
    try {
      const sample = await generate(task, step, worker, controller.signal);
      if (this.#stopped) return;
      if (plan.recordFinished(task, sample.tokenIds.length, clock.monotonicMs())) onSample(sample);
    } catch (error) {
      if (!controller.signal.aborted) {
        logger.debug('sample-failed', { step: task.stepId, message: messageOf(error) });
      }
      plan.recordFailed(task, clock.monotonicMs());
    } finally {
      this.#attempts -= 1;
      siblings.delete(controller);
      if (siblings.size === 0) this.#running.delete(sampleKey);
      if (!this.#stopped && !plan.isRunning(task)) {
        for (const sibling of siblings) sibling.abort();
      }
      this.#notifier.notify();
    }
  }
}
