import type { GenerationRequest, TokenChunk } from '../../src/node/dataPath/engineApi.ts';
import { retryCursorOf } from '../../src/node/training/jobRefusals.ts';
import { type Clock, sleep } from '../../src/shared/clock.ts';
import { type Random, seededRandom } from '../../src/shared/random.ts';
import { VirtualClock } from '../../src/shared/virtualClock.ts';
import { ModelNode } from '../../playground/training/model/modelNode.ts';
import { ModelPlatform } from '../../playground/training/model/modelPlatform.ts';

export interface FlowOptions {
  readonly jobs: number;
  readonly samplesPerJob: number;
  /** Samples that a job's engines finish in one second. */
  readonly samplesPerSecond: number;
  /** Time of the platform's outage after the first submission, in ms. */
  readonly outage?: { readonly atMs: number; readonly durationMs: number };
}

export interface FlowResult {
  /** Virtual time from the submission to the last sample, in ms. */
  readonly durationMs: number;
  readonly ledgerWrites: number;
  readonly ledgerBytes: number;
  readonly leaseWrites: number;
  readonly received: number;
  /** Longest time between two answers with samples, in ms. */
  readonly longestGapMs: number;
  /** Time from the end of the outage to the next answer with samples, in ms. */
  readonly flushMs: number | undefined;
}

/** The product's default lease. */
const TIMING = { ttlMs: 9000, renewIntervalMs: 3000, marginMs: 2000 };

const SAMPLE_MS = 10_000;

const TOKENS_PER_SAMPLE = 32;

const SAMPLES_PER_GROUP = 8;

const ROUND_MS = 250;

/** A sample takes about `SAMPLE_MS`; its tokens come in one chunk, so that a run counts samples and not tokens. */
async function* generate(
  world: Clock,
  random: Random,
  request: GenerationRequest,
): AsyncGenerator<TokenChunk> {
  await sleep(world, SAMPLE_MS * (0.5 + random()));
  yield {
    text: ' token'.repeat(TOKENS_PER_SAMPLE),
    tokenIds: Array.from({ length: TOKENS_PER_SAMPLE }, (_, index) => index),
    weightVersion: 1,
    position: request.resumeAfter?.length ?? 0,
    finishReason: 'length',
  };
}

/** Time between two submitting attempts while no node owns the job yet, in ms. */
const RETRY_MS = 100;

class Trainer {
  received = 0;

  longestGapMs = 0;

  flushedAtMs: number | undefined;

  readonly #world: Clock;

  readonly #node: ModelNode;

  #cursor = '';

  #lastMs: number | undefined;

  constructor(world: Clock, node: ModelNode) {
    this.#world = world;
    this.#node = node;
  }

  async run(stepId: string, samples: number, outageEndMs: number): Promise<void> {
    const groups = Array.from({ length: samples / SAMPLES_PER_GROUP }, (_, index) => ({
      groupId: `group-${index}`,
      prompt: 'a table of oak, 2 m, French polish',
    }));
    const step = {
      stepId,
      groups,
      samplesPerGroup: SAMPLES_PER_GROUP,
      sampling: { maxTokens: TOKENS_PER_SAMPLE },
      deadlineMs: 1_320_000,
    };
    while (!(await this.#try(() => this.#node.acting().submit(step)))) await this.#pause();
    for (let pullSequence = 1; this.received < samples; pullSequence += 1) {
      const request = {
        cursor: this.#cursor,
        pullSequence,
        maxSamples: 2048,
        waitMs: 20_000,
      };
      const answer = await this.#try(() => this.#node.acting().pull(request));
      if (answer) {
        this.#cursor = answer.end.cursor;
        if (answer.lines.length > 0) this.#take(answer.lines.length, outageEndMs);
      } else {
        await this.#pause();
      }
    }
  }

  #take(count: number, outageEndMs: number): void {
    const nowMs = this.#world.monotonicMs();
    this.longestGapMs = Math.max(this.longestGapMs, nowMs - (this.#lastMs ?? nowMs));
    this.#lastMs = nowMs;
    if (nowMs >= outageEndMs) this.flushedAtMs ??= nowMs;
    this.received += count;
  }

  async #try<T>(call: () => Promise<T>): Promise<T | undefined> {
    try {
      return await call();
    } catch (error) {
      this.#cursor = retryCursorOf(error as object) ?? this.#cursor;
      return undefined;
    }
  }

  #pause(): Promise<void> {
    return sleep(this.#world, RETRY_MS);
  }
}

/** Lets the samples of some jobs flow through the product's classes on virtual time, each job on a node of its own. */
export const runFlow = async (options: FlowOptions): Promise<FlowResult> => {
  const { jobs, samplesPerJob, samplesPerSecond, outage } = options;
  const world = new VirtualClock();
  const platform = new ModelPlatform(world, seededRandom(1));
  const startMs = world.monotonicMs();
  const outageEndMs = outage ? startMs + outage.atMs + outage.durationMs : Infinity;
  if (outage) {
    world.schedule(outage.atMs, () => Object.assign(platform.faults, { outage: true }));
    world.schedule(outage.atMs + outage.durationMs, () =>
      Object.assign(platform.faults, { outage: false }),
    );
  }
  const trainers = Array.from({ length: jobs }, (_, job) => {
    const random = seededRandom(job + 2);
    const node = new ModelNode({
      name: `node-${job}`,
      job: `job-${job}`,
      world,
      random,
      platform,
      timing: TIMING,
      workers: ['engine'],
      perWorker: Math.round((samplesPerSecond * SAMPLE_MS) / 1000),
      engine: { generate: (__, request) => generate(world, random, request) },
      maxStaleness: () => 4,
      commitIntervalMs: 1000,
    });
    return new Trainer(world, node);
  });
  for (const trainer of trainers) void trainer.run('step-1', samplesPerJob, outageEndMs);
  while (trainers.some(({ received }) => received < samplesPerJob)) {
    await world.advanceAsync(ROUND_MS);
  }
  const flushed = trainers.map(({ flushedAtMs }) => flushedAtMs).filter((ms) => ms !== undefined);
  return {
    durationMs: world.monotonicMs() - startMs,
    ledgerWrites: platform.written.get('ledger')?.count ?? 0,
    ledgerBytes: platform.written.get('ledger')?.bytes ?? 0,
    leaseWrites: platform.written.get('leases')?.count ?? 0,
    received: trainers.reduce((sum, { received }) => sum + received, 0),
    longestGapMs: Math.max(...trainers.map(({ longestGapMs }) => longestGapMs)),
    flushMs: flushed.length > 0 ? Math.max(...flushed) - outageEndMs : undefined,
  };
};
