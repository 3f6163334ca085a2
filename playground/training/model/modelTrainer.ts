import { RequestError } from '../../../src/node/dataPath/problem.ts';
import type { PullResponse } from '../../../src/node/training/jobOwner.ts';
import { retryCursorOf } from '../../../src/node/training/jobRefusals.ts';
import type { StepSubmission } from '../../../src/node/training/trainerMessages.ts';
import { type Clock, sleep } from '../../../src/shared/clock.ts';
import { InvariantError } from '../../../src/shared/invariants.ts';
import type { Random } from '../../../src/shared/random.ts';
import { MODEL_POOL, type ModelNode } from './modelNode.ts';

export interface TrainerFaults {
  /** Fraction of requests and of responses that are lost. */
  lossFraction: number;
  /** Fraction of requests that are delivered a second time later. */
  duplicateFraction: number;
  /** Maximum one-way latency, in ms. */
  latencyMs: number;
}

export interface ModelTrainerOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly nodes: readonly ModelNode[];
  readonly steps: readonly StepSubmission[];
  readonly job: string;
  readonly onSample: (position: number, name: string) => void;
}

/** Timeout of a call, in ms. A response that arrives later is ignored. */
const CALL_TIMEOUT_MS = 900;

const RETRY_DELAY_MS = 100;

/** Maximum delay of a duplicate, in ms. Longer than the TTL of a lease, so that it can reach the next owner. */
const DUPLICATE_DELAY_MS = 6000;

const parseLine = (
  line: string,
): { position: number; void?: true; stepId: string; ordinal: number } =>
  JSON.parse(line) as ReturnType<typeof parseLine>;

/** A trainer that conforms to the API, connected to the nodes by a network with faults. */
export class ModelTrainer {
  readonly faults: TrainerFaults = { lossFraction: 0, duplicateFraction: 0, latencyMs: 5 };

  /** Weight versions whose publication was confirmed. */
  readonly published: number[] = [];

  readonly #options: ModelTrainerOptions;

  #cursor = '';

  #publishing = Promise.resolve();

  #pullSequence = 0;

  #position = 0;

  constructor(options: ModelTrainerOptions) {
    this.#options = options;
  }

  /** All positions below this one were received. */
  get position(): number {
    return this.#position;
  }

  async run(): Promise<void> {
    for (const step of this.#options.steps) await this.#submit(step.stepId);
    for (;;) await this.#pull();
  }

  /** Publishes a weight version once all earlier publications have completed. */
  publish(version: number): void {
    this.#publishing = this.#publishing.then(() => this.#publish(version));
  }

  async #publish(version: number): Promise<void> {
    const { clock, job } = this.#options;
    for (;;) {
      const result = await this.#call(async (node) => {
        node.jobOwner();
        const published = await node.records.publish(MODEL_POOL, job, { version, uri: 'w' });
        node.jobOwner().notify();
        return published;
      });
      if (result && !(result instanceof Error) && result.status !== 'unknown') break;
      await sleep(clock, RETRY_DELAY_MS);
    }
    this.published.push(version);
  }

  async #submit(stepId: string): Promise<void> {
    const { steps, clock } = this.#options;
    const step = steps.find((candidate) => candidate.stepId === stepId);
    if (!step) throw new Error(`asked to resubmit unknown step ${stepId}`);
    for (;;) {
      const result = await this.#call(async (node) => node.jobOwner().submit(step));
      if (result && !(result instanceof Error)) return;
      await sleep(clock, RETRY_DELAY_MS);
    }
  }

  async #pull(): Promise<void> {
    const { clock } = this.#options;
    this.#pullSequence += 1;
    const request = {
      cursor: this.#cursor,
      pullSequence: this.#pullSequence,
      maxSamples: 4,
      waitMs: 400,
    };
    const answer = await this.#call(async (node) => node.jobOwner().pull(request));
    if (answer instanceof Error) {
      const cursor = retryCursorOf(answer);
      this.#cursor = cursor ?? this.#cursor;
      if (cursor === undefined) await sleep(clock, RETRY_DELAY_MS);
    } else if (answer) {
      this.#processAnswer(answer);
      for (const stepId of answer.end.resubmitSteps) await this.#submit(stepId);
    }
  }

  #processAnswer({ lines, end }: PullResponse): void {
    for (const line of lines) {
      const { position, void: isVoid, stepId, ordinal } = parseLine(line);
      if (!isVoid) this.#options.onSample(position, `${stepId}/${ordinal}`);
      this.#position = position + 1;
    }
    this.#cursor = end.cursor;
  }

  /** Resolves to the response, to an error if the request was refused, or to undefined if the call timed out. */
  #call<T>(serve: (node: ModelNode) => Promise<T>): Promise<T | Error | undefined> {
    const { clock, random } = this.#options;
    return new Promise((resolve) => {
      clock.schedule(CALL_TIMEOUT_MS, () => resolve(undefined));
      const send = (delayMs: number) =>
        clock.schedule(delayMs, () => this.#deliver(serve, resolve));
      if (random() < this.faults.duplicateFraction) send(random() * DUPLICATE_DELAY_MS);
      if (random() >= this.faults.lossFraction) send(this.#latencyMs());
    });
  }

  /** Delivers a request to a random node, which serves it or forwards it to the owner once. */
  #deliver<T>(serve: (node: ModelNode) => Promise<T>, resolve: (answer: T | Error) => void): void {
    const { nodes, random, clock } = this.#options;
    const entry = nodes[Math.floor(random() * nodes.length)];
    const answer = (result: T | Error) => {
      if (random() >= this.faults.lossFraction) {
        clock.schedule(this.#latencyMs(), () => resolve(result));
      }
    };
    const serveAt = (node: ModelNode) => {
      serve(node).then(answer, (error: unknown) => {
        if (error instanceof RequestError) answer(error);
        // The model's listener has already recorded a violated invariant.
        else if (!(error instanceof InvariantError)) throw error;
      });
    };
    entry?.process.deliver(() => {
      const owner = nodes.find(({ name }) => name === entry.lease.holder()?.name);
      if (entry.lease.isHeld() || !owner) serveAt(entry);
      else owner.process.deliver(() => serveAt(owner));
    });
  }

  #latencyMs(): number {
    return 1 + this.#options.random() * this.faults.latencyMs;
  }
}
