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
  /** Samples that the engines of one job complete per second. */
  readonly samplesPerSecond: number;
  /** Platform outage: start relative to the submission of the steps, and duration, in ms. */
  readonly outage?: { readonly atMs: number; readonly durationMs: number };
}

export interface FlowResult {
  /** Virtual time from the submission to the receipt of the last sample, in ms. */
  readonly durationMs: number;
  readonly ledgerWrites: number;
  readonly ledgerBytes: number;
  readonly leaseWrites: number;
  readonly received: number;
  /** Longest time between two consecutive pull responses with samples, in ms. */
  readonly longestGapMs: number;
  /** Time from the end of the outage to the next pull response with samples, in ms. Maximum over the jobs. */
  readonly recoveryMs: number | undefined;
}

/** The product's default lease timing. */
const LEASE_TIMING = { ttlMs: 9000, renewIntervalMs: 3000, marginMs: 2000 };

/** Mean generation time of a sample, in ms. */
const MEAN_SAMPLE_MS = 10_000;

const TOKENS_PER_SAMPLE = 32;

const SAMPLES_PER_GROUP = 8;

/** Virtual time between two checks for completion, in ms. */
const ADVANCE_MS = 250;

/**
 * Generates a sample in 0.5 to 1.5 times `MEAN_SAMPLE_MS`. All tokens come in one chunk, so that the cost of a run depends
 * on the number of samples, not of tokens.
 */
async function* generateSample(
  clock: Clock,
  random: Random,
  request: GenerationRequest,
): AsyncGenerator<TokenChunk> {
  await sleep(clock, MEAN_SAMPLE_MS * (0.5 + random()));
  yield {
    text: ' token'.repeat(TOKENS_PER_SAMPLE),
    tokenIds: Array.from({ length: TOKENS_PER_SAMPLE }, (_, index) => index),
    weightVersion: 1,
    position: request.resumeAfter?.length ?? 0,
    finishReason: 'length',
  };
}

/** Time between attempts of a failed submission or pull, for example while no node owns the job yet, in ms. */
const RETRY_INTERVAL_MS = 100;

class Trainer {
  received = 0;

  longestGapMs = 0;

  recoveredAtMs: number | undefined;

  readonly #clock: Clock;

  readonly #node: ModelNode;

  #cursor = '';

  #lastSamplesMs: number | undefined;

  constructor(clock: Clock, node: ModelNode) {
    this.#clock = clock;
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
    while (!(await this.#attempt(() => this.#node.jobOwner().submit(step)))) await this.#backOff();
    for (let pullSequence = 1; this.received < samples; pullSequence += 1) {
      const request = {
        cursor: this.#cursor,
        pullSequence,
        maxSamples: 2048,
        waitMs: 20_000,
      };
      const response = await this.#attempt(() => this.#node.jobOwner().pull(request));
      if (response) {
        this.#cursor = response.end.cursor;
        if (response.lines.length > 0) this.#recordSamples(response.lines.length, outageEndMs);
      } else {
        await this.#backOff();
      }
    }
  }

  #recordSamples(count: number, outageEndMs: number): void {
    const nowMs = this.#clock.monotonicMs();
    this.longestGapMs = Math.max(this.longestGapMs, nowMs - (this.#lastSamplesMs ?? nowMs));
    this.#lastSamplesMs = nowMs;
    if (nowMs >= outageEndMs) this.recoveredAtMs ??= nowMs;
    this.received += count;
  }

  async #attempt<T>(call: () => Promise<T>): Promise<T | undefined> {
    try {
      return await call();
    } catch (error) {
      this.#cursor = retryCursorOf(error as object) ?? this.#cursor;
      return undefined;
    }
  }

  #backOff(): Promise<void> {
    return sleep(this.#clock, RETRY_INTERVAL_MS);
  }
}

/**
 * Runs the product's classes in virtual time from the submission of one step per job until the trainers have received all
 * samples. Each job has its own node.
 */
export const runFlow = async (options: FlowOptions): Promise<FlowResult> => {
  const { jobs, samplesPerJob, samplesPerSecond, outage } = options;
  const clock = new VirtualClock();
  const platform = new ModelPlatform(clock, seededRandom(1));
  const startMs = clock.monotonicMs();
  const outageEndMs = outage ? startMs + outage.atMs + outage.durationMs : Infinity;
  if (outage) {
    clock.schedule(outage.atMs, () => Object.assign(platform.faults, { outage: true }));
    clock.schedule(outage.atMs + outage.durationMs, () =>
      Object.assign(platform.faults, { outage: false }),
    );
  }
  const trainers = Array.from({ length: jobs }, (_, job) => {
    const random = seededRandom(job + 2);
    const node = new ModelNode({
      name: `node-${job}`,
      job: `job-${job}`,
      virtualClock: clock,
      random,
      platform,
      timing: LEASE_TIMING,
      workers: ['engine'],
      maxPerWorker: Math.round((samplesPerSecond * MEAN_SAMPLE_MS) / 1000),
      engine: { generate: (__, request) => generateSample(clock, random, request) },
      maxStaleness: () => 4,
      commitIntervalMs: 1000,
    });
    return new Trainer(clock, node);
  });
  for (const trainer of trainers) void trainer.run('step-1', samplesPerJob, outageEndMs);
  while (trainers.some(({ received }) => received < samplesPerJob)) {
    await clock.advanceAsync(ADVANCE_MS);
  }
  const recoveryTimesMs = trainers
    .map(({ recoveredAtMs }) => recoveredAtMs)
    .filter((ms) => ms !== undefined);
  return {
    durationMs: clock.monotonicMs() - startMs,
    ledgerWrites: platform.writeStats.get('ledger')?.count ?? 0,
    ledgerBytes: platform.writeStats.get('ledger')?.bytes ?? 0,
    leaseWrites: platform.writeStats.get('leases')?.count ?? 0,
    received: trainers.reduce((sum, { received }) => sum + received, 0),
    longestGapMs: Math.max(...trainers.map(({ longestGapMs }) => longestGapMs)),
    recoveryMs: recoveryTimesMs.length > 0 ? Math.max(...recoveryTimesMs) - outageEndMs : undefined,
  };
};
