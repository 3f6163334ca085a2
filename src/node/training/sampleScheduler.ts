import type { Clock } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import type { SampleTask, StepPlan } from '../decisions/stepPlan.ts';
import type { WorkerEndpoint } from '../membership/membershipView.ts';
import type { Logger } from '../observability/logger.ts';
import type { SampleContent, StepSubmission } from './trainerMessages.ts';
import { WakeUp } from '../../shared/wakeUp.ts';
import type { WorkerSlots } from './workerSlots.ts';

export interface SampleSchedulerOptions {
  readonly plan: StepPlan;
  readonly slots: WorkerSlots;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Whether the window and the byte budget have room for one more sample beside `running` others. */
  readonly hasRoom: (running: number) => boolean;
  readonly stepOf: (stepId: string) => StepSubmission | undefined;
  /** Generates a sample and gives the worker's slot back. */
  readonly generate: (
    task: SampleTask,
    step: StepSubmission,
    worker: WorkerEndpoint,
    signal: AbortSignal,
  ) => Promise<SampleContent>;
  /** Told of the first finished attempt of each sample. */
  readonly onSample: (sample: SampleContent) => void;
}

/** Longest time between looks at the plan: finds stragglers and workers that are free again, in ms. */
const LOOK_INTERVAL_MS = 1000;

/** Keeps workers busy with the samples that the plan names. */
export class SampleScheduler {
  readonly #options: SampleSchedulerOptions;

  readonly #wakeUp: WakeUp;

  /** Attempts in progress by sample; bounded by the window through `hasRoom`. */
  readonly #running = new Map<string, Set<AbortController>>();

  #attempts = 0;

  #stopped = false;

  constructor(options: SampleSchedulerOptions) {
    this.#options = options;
    this.#wakeUp = new WakeUp(options.clock);
  }

  get running(): number {
    return this.#attempts;
  }

  /** Looks at the plan again. */
  notify(): void {
    this.#wakeUp.notify();
  }

  async run(): Promise<void> {
    const { plan, clock } = this.#options;
    while (!this.#stopped) {
      this.#startAll();
      const dueMs = plan.nextDueInMs(clock.monotonicMs()) ?? Infinity;
      // A sample that is due but has no worker or no room waits for a notification or the next look.
      await this.#wakeUp.wait(dueMs > 0 ? Math.min(dueMs, LOOK_INTERVAL_MS) : LOOK_INTERVAL_MS);
    }
  }

  /** Cancels every attempt. */
  stop(): void {
    this.#stopped = true;
    for (const attempts of this.#running.values()) {
      for (const attempt of attempts) attempt.abort();
    }
    this.#wakeUp.notify();
  }

  #startAll(): void {
    const { plan, slots, clock, hasRoom, stepOf } = this.#options;
    while (!this.#stopped && hasRoom(this.#attempts)) {
      const worker = slots.take();
      if (worker === undefined) return;
      const task = plan.next(clock.monotonicMs());
      const step = task && stepOf(task.stepId);
      if (task === undefined || step === undefined) {
        slots.giveBack(worker);
        return;
      }
      void this.#attempt(task, step, worker);
    }
  }

  async #attempt(task: SampleTask, step: StepSubmission, worker: WorkerEndpoint): Promise<void> {
    const { plan, clock, generate, onSample, logger } = this.#options;
    const controller = new AbortController();
    const name = `${task.ordinal} ${task.stepId}`;
    const siblings = this.#running.get(name) ?? new Set();
    this.#running.set(name, siblings.add(controller));
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
      if (siblings.size === 0) this.#running.delete(name);
      if (!this.#stopped && !plan.isRunning(task)) {
        for (const sibling of siblings) sibling.abort();
      }
      this.#wakeUp.notify();
    }
  }
}
