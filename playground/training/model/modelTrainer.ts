import { RequestError } from '../../../src/node/dataPath/problem.ts';
import type { PullAnswer } from '../../../src/node/training/jobOwner.ts';
import { retryCursorOf } from '../../../src/node/training/jobRefusals.ts';
import type { StepSubmission } from '../../../src/node/training/trainerMessages.ts';
import { type Clock, sleep } from '../../../src/shared/clock.ts';
import { InvariantError } from '../../../src/shared/invariants.ts';
import type { Random } from '../../../src/shared/random.ts';
import { MODEL_POOL, type ModelNode } from './modelNode.ts';

export interface TrainerFaults {
  /** Share of requests and of answers that are lost. */
  lost: number;
  /** Share of requests that arrive a second time later. */
  duplicated: number;
  /** Longest time of one way, in ms. */
  latencyMs: number;
}

export interface ModelTrainerOptions {
  readonly world: Clock;
  readonly random: Random;
  readonly nodes: readonly ModelNode[];
  readonly steps: readonly StepSubmission[];
  readonly job: string;
  readonly onSample: (position: number, name: string) => void;
}

/** Time after which a call is abandoned; its answer is then ignored. In ms. */
const CALL_TIMEOUT_MS = 900;

const RETRY_DELAY_MS = 100;

/** Longest delay of a duplicate, in ms: longer than a lease, so that it can reach the next owner. */
const DUPLICATE_DELAY_MS = 6000;

const positionOf = (
  line: string,
): { position: number; void?: true; stepId: string; ordinal: number } =>
  JSON.parse(line) as ReturnType<typeof positionOf>;

/** A trainer that keeps the rules of the interface, behind a network with faults. */
export class ModelTrainer {
  readonly faults: TrainerFaults = { lost: 0, duplicated: 0, latencyMs: 5 };

  /** Versions whose publication was confirmed. */
  readonly published: number[] = [];

  readonly #options: ModelTrainerOptions;

  #cursor = '';

  #publishing = Promise.resolve();

  #pullSequence = 0;

  #position = 0;

  constructor(options: ModelTrainerOptions) {
    this.#options = options;
  }

  /** Everything below this position was received. */
  get position(): number {
    return this.#position;
  }

  async run(): Promise<void> {
    for (const step of this.#options.steps) await this.#submit(step.stepId);
    for (;;) await this.#pull();
  }

  /** Publishes a version after the ones before it. */
  publish(version: number): void {
    this.#publishing = this.#publishing.then(() => this.#publish(version));
  }

  async #publish(version: number): Promise<void> {
    const { world, job } = this.#options;
    for (;;) {
      const result = await this.#call(async (node) => {
        node.acting();
        const published = await node.records.publish(MODEL_POOL, job, { version, uri: 'w' });
        node.acting().notify();
        return published;
      });
      if (result && !(result instanceof Error) && result.status !== 'unknown') break;
      await sleep(world, RETRY_DELAY_MS);
    }
    this.published.push(version);
  }

  async #submit(stepId: string): Promise<void> {
    const { steps, world } = this.#options;
    const step = steps.find((candidate) => candidate.stepId === stepId);
    if (!step) throw new Error(`asked for unknown step ${stepId}`);
    for (;;) {
      const result = await this.#call(async (node) => node.acting().submit(step));
      if (result && !(result instanceof Error)) return;
      await sleep(world, RETRY_DELAY_MS);
    }
  }

  async #pull(): Promise<void> {
    const { world } = this.#options;
    this.#pullSequence += 1;
    const request = {
      cursor: this.#cursor,
      pullSequence: this.#pullSequence,
      maxSamples: 4,
      waitMs: 400,
    };
    const answer = await this.#call(async (node) => node.acting().pull(request));
    if (answer instanceof Error) {
      const cursor = retryCursorOf(answer);
      this.#cursor = cursor ?? this.#cursor;
      if (cursor === undefined) await sleep(world, RETRY_DELAY_MS);
    } else if (answer) {
      this.#take(answer);
      for (const stepId of answer.end.resubmitSteps) await this.#submit(stepId);
    }
  }

  #take({ lines, end }: PullAnswer): void {
    for (const line of lines) {
      const { position, void: isVoid, stepId, ordinal } = positionOf(line);
      if (!isVoid) this.#options.onSample(position, `${stepId}/${ordinal}`);
      this.#position = position + 1;
    }
    this.#cursor = end.cursor;
  }

  /** Resolves with the answer, a refusal, or undefined when the call was abandoned. */
  #call<T>(serve: (node: ModelNode) => Promise<T>): Promise<T | Error | undefined> {
    const { world, random } = this.#options;
    return new Promise((resolve) => {
      world.schedule(CALL_TIMEOUT_MS, () => resolve(undefined));
      const send = (delayMs: number) => world.schedule(delayMs, () => this.#arrive(serve, resolve));
      if (random() < this.faults.duplicated) send(random() * DUPLICATE_DELAY_MS);
      if (random() >= this.faults.lost) send(this.#latencyMs());
    });
  }

  /** The request reaches a node, which serves it or forwards it once. */
  #arrive<T>(serve: (node: ModelNode) => Promise<T>, resolve: (answer: T | Error) => void): void {
    const { nodes, random, world } = this.#options;
    const entry = nodes[Math.floor(random() * nodes.length)];
    const answer = (result: T | Error) => {
      if (random() >= this.faults.lost) {
        world.schedule(this.#latencyMs(), () => resolve(result));
      }
    };
    const serveAt = (node: ModelNode) => {
      serve(node).then(answer, (error: unknown) => {
        if (error instanceof RequestError) answer(error);
        // The model was told of a violated invariant by its listener.
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
