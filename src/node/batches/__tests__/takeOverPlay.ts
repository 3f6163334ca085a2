import { create } from '@bufbuild/protobuf';
import fc from 'fast-check';
import {
  BatchItemSchema,
  type ItemResult,
  ItemState,
} from '../../../gen/hyssoppulley/v1/batch_pb.ts';
import { sleep } from '../../../shared/clock.ts';
import type { Logger } from '../../observability/logger.ts';
import type { BatchSubmission } from '../batchAcceptor.ts';
import { readLog } from '../resultLog.ts';
import { BATCH_ROUTE } from './batchNodeHarness.ts';
import {
  DeploymentHarness,
  type DeploymentOptions,
  POOLS,
  type ProcessRun,
} from './deploymentHarness.ts';

const NAMES = ['a', 'b', 'c', 'd'];

/** Interval between two observations of the items after the last fault, in ms. */
const OBSERVATION_INTERVAL_MS = 200;

/** Shortest and longest time of the observations, in ms. */
const MIN_OBSERVED_MS = 15_000;
const MAX_OBSERVED_MS = 120_000;

const ITEMS_PER_BATCH = 16;

/** Length of an item's text, in events of 50 ms. */
const eventsOf = (itemId: string): number => 20 + ((Number(itemId.split('-')[1] ?? 0) * 37) % 260);

const itemIdsOf = (id: string): string[] =>
  Array.from({ length: ITEMS_PER_BATCH }, (_, index) => `${id}-${index}`);

const submissionOf = (id: string, itemIds: readonly string[]): BatchSubmission => ({
  ...{ id, account: '', host: 'h', path: '/b/', model: 'm', step: 0, minVersion: 0 },
  wantedGroups: 0,
  items: itemIds.map((itemId, index) => {
    const scoring = { id: itemId, host: 'h', path: '/s/' };
    return create(BatchItemSchema, {
      ...{ id: itemId, path: '/b/', group: `g${index % 4}` },
      ...(index % 2 === 0 ? { scoring } : {}),
    });
  }),
});

const FAULTS = [
  ...['kill', 'kill-vm', 'kill-holder', 'pause', 'pause-holder', 'isolate', 'isolate-holder'],
  ...['cut', 'cut-holder', 'stop', 'stop-holder', 'kill-all', 'loss', 'slow', 'outage'],
  ...['break-streams', 'submit', 'end-batch'],
  ...['resubmit', 'deaf-holder', 'deaf', 'clock-step', 'clock-step-holder'],
] as const;

const stepOf = <T extends string>(...faults: readonly T[]) =>
  fc.record({
    fault: fc.constantFrom(...faults),
    node: fc.constantFrom(...NAMES),
    durationMs: fc.integer({ min: 100, max: 6000 }),
    waitMs: fc.integer({ min: 0, max: 2500 }),
  });

export const step = stepOf(...FAULTS);

/** A step that may also move the batch route, after which the workers of the former pool end. */
export const movingStep = fc.oneof(step, stepOf('move-route'));

export type Step = typeof movingStep extends fc.Arbitrary<infer T> ? T : never;

/** Submits a batch like a trainer: at another node until one accepts it. */
const submitBatch = async (
  deployment: DeploymentHarness,
  submission: BatchSubmission,
  accepted: Set<string>,
): Promise<void> => {
  for (let attempt = 0; attempt < 100; attempt += 1) {
    const run = deployment.process(NAMES[attempt % NAMES.length] ?? '');
    const result = run.ended
      ? undefined
      : await Promise.race([
          run.batches.submit(submission, BATCH_ROUTE),
          sleep(deployment.clock, 1500).then(() => undefined),
        ]);
    if (result?.kind === 'accepted') {
      accepted.add(submission.id);
      return;
    }
    await sleep(deployment.clock, 200);
  }
};

/** The batches of a play, which trainers submit and end. */
class Trainers {
  readonly #deployment: DeploymentHarness;

  /** Ids of the items of each submitted batch. */
  readonly #items = new Map<string, readonly string[]>();

  readonly #accepted = new Set<string>();

  readonly #ended = new Set<string>();

  constructor(deployment: DeploymentHarness) {
    this.#deployment = deployment;
  }

  /** @param reused - items that were not complete in an earlier batch, and which take the place of new ones */
  submit(reused: readonly string[] = []): void {
    const id = `b${this.#items.size + 1}`;
    const itemIds = [...reused, ...itemIdsOf(id).slice(reused.length)];
    this.#items.set(id, itemIds);
    void submitBatch(this.#deployment, submissionOf(id, itemIds), this.#accepted);
  }

  /** Ends the oldest open batch. */
  end(node: string): void {
    const [id] = this.#open();
    if (id === undefined) return;
    this.#ended.add(id);
    void this.#deployment.process(node).batches.end(id, '');
  }

  /** Ends the oldest open batch and submits some of its items again. */
  resubmit(node: string): void {
    const [id] = this.#open();
    if (id === undefined) return;
    this.end(node);
    this.submit((this.#items.get(id) ?? []).slice(-ITEMS_PER_BATCH / 2));
  }

  async results(): Promise<Map<string, ItemResult[]>> {
    const { platform } = this.#deployment;
    const results = new Map<string, ItemResult[]>();
    for (const id of this.#accepted) {
      const log = await readLog(platform, id);
      results.set(
        id,
        log.flatMap((entry) => entry.results),
      );
    }
    return results;
  }

  /** Items of open batches without a stored result. */
  async unstored(): Promise<string[]> {
    const results = await this.results();
    return this.#open().flatMap((id) => {
      const known = new Set(results.get(id)?.map(({ itemId }) => itemId));
      return (this.#items.get(id) ?? []).filter((itemId) => !known.has(itemId));
    });
  }

  #open(): string[] {
    return [...this.#accepted].filter((id) => !this.#ended.has(id));
  }
}

/** Runs one step; its effect ends after its duration. Returns when the next step may follow. */
const apply = async (
  deployment: DeploymentHarness,
  { fault, node, durationMs, waitMs }: Step,
  trainers: Pick<Trainers, 'submit' | 'resubmit' | 'end'>,
): Promise<void> => {
  const { clock, faults, workerFaults, platform } = deployment;
  const holder = deployment.processes.find(
    ({ ended, batches }) => !ended && batches.heldLeases().length > 0,
  );
  const name = fault.endsWith('-holder') ? (holder?.identity.name ?? node) : node;
  const run = deployment.process(name);
  const kind = fault.replace('-holder', '');
  const restart = (ended: ProcessRun) => {
    if (deployment.process(ended.identity.name) === ended) deployment.start(ended.identity.name);
  };
  const later = (end: () => void) => clock.schedule(durationMs, end);
  if (kind === 'kill' || kind === 'kill-vm') {
    deployment.kill(name, kind === 'kill-vm');
    later(() => restart(run));
  } else if (kind === 'pause') {
    deployment.pause(name);
    later(() => {
      if (deployment.process(name) === run) deployment.resume(name);
    });
  } else if (kind === 'isolate') {
    run.isolated = true;
    later(() => {
      run.isolated = false;
    });
  } else if (kind === 'deaf') {
    run.deaf = true;
    later(() => {
      run.deaf = false;
    });
  } else if (kind === 'clock-step') {
    run.clock.wallOffsetMs += durationMs * (durationMs % 2 === 0 ? 10 : -10);
  } else if (kind === 'cut') {
    run.link.reachable = false;
    later(() => {
      run.link.reachable = true;
    });
  } else if (kind === 'stop') {
    void deployment.stop(name);
    clock.schedule(durationMs + 2000, () => restart(run));
  } else if (kind === 'kill-all') {
    for (const each of NAMES) {
      deployment.kill(each, false);
      const ended = deployment.process(each);
      clock.schedule(durationMs * 0.5 + 100 * NAMES.indexOf(each), () => restart(ended));
    }
  } else if (kind === 'loss') {
    faults.lossRate = 0.7;
    later(() => {
      faults.lossRate = 0;
    });
  } else if (kind === 'slow') {
    faults.maxLatencyMs = durationMs % 2 === 0 ? 300 : 1000;
    later(() => {
      faults.maxLatencyMs = 4;
    });
  } else if (kind === 'outage') {
    platform.outage = true;
    platform.wakePendingCalls();
    later(() => {
      platform.outage = false;
    });
  } else if (kind === 'break-streams') {
    workerFaults.brokenRate = 0.3;
    later(() => {
      workerFaults.brokenRate = 0;
    });
  } else if (kind === 'move-route') {
    const former = deployment.routedPool;
    const [next] = POOLS.filter((pool) => pool !== former);
    if (next !== undefined) deployment.moveRoute(next);
    later(() => {
      if (deployment.routedPool !== former) deployment.staff(former, false);
    });
  } else if (kind === 'end-batch') trainers.end(node);
  else if (kind === 'resubmit') trainers.resubmit(node);
  else trainers.submit();
  await clock.advanceAsync(waitMs);
};

/** Ends all faults. */
const heal = (deployment: DeploymentHarness): void => {
  const { faults, platform } = deployment;
  Object.assign(faults, { lossRate: 0, maxLatencyMs: 4 });
  Object.assign(deployment.workerFaults, { brokenRate: 0 });
  platform.outage = false;
  for (const name of NAMES) {
    const run = deployment.process(name);
    run.isolated = false;
    run.deaf = false;
    run.link.reachable = true;
    if (run.ended || run.leaving) deployment.start(name);
    else deployment.resume(name);
  }
};

export interface Outcome {
  /** Longest time after the last fault for which an open item was at no worker, in ms. */
  readonly longestIdleMs: number;
  readonly idleItem: string;
  /** Number of nodes that hold the pool. */
  readonly holders: number;
  /** Items of accepted batches that were not ended, without a stored result. */
  readonly unstored: readonly string[];
  /** Items with two results, or whose text is not the whole output. */
  readonly wrong: readonly string[];
}

/** Observes a play. */
export interface PlayOptions extends Pick<DeploymentOptions, 'verifies'> {
  readonly logger?: Logger;
  readonly onStart?: (deployment: DeploymentHarness) => void;
  /** Called after the last fault has ended. */
  readonly onHealed?: (deployment: DeploymentHarness) => void;
}

const isWhole = ({ itemId, state, events }: ItemResult): boolean =>
  state === ItemState.COMPLETED &&
  events.length === eventsOf(itemId) &&
  events.every((data, index) => data === `${itemId}.${index + 1}`);

/** Applies faults to a deployment with open batches, ends them all, and observes the items until all results are stored. */
export const play = async (
  seed: number,
  steps: readonly Step[],
  { logger, verifies = false, onStart, onHealed }: PlayOptions = {},
): Promise<Outcome> => {
  await using deployment = new DeploymentHarness({
    ...{ seed, names: NAMES, eventsOf, logger, verifies },
  });
  const { clock } = deployment;
  onStart?.(deployment);
  const trainers = new Trainers(deployment);
  await clock.advanceAsync(2500);
  trainers.submit();
  await clock.advanceAsync(1000);
  for (const each of steps) await apply(deployment, each, trainers);
  heal(deployment);
  onHealed?.(deployment);
  const healedMs = clock.monotonicMs();
  const lastServedMs = new Map<string, number>();
  let longestIdleMs = 0;
  let idleItem = '';
  let unstored: string[] = [];
  for (let elapsedMs = 0; elapsedMs < MAX_OBSERVED_MS; elapsedMs += OBSERVATION_INTERVAL_MS) {
    await clock.advanceAsync(OBSERVATION_INTERVAL_MS);
    unstored = await trainers.unstored();
    const nowMs = clock.monotonicMs();
    for (const itemId of unstored) {
      if (deployment.isServed(itemId)) lastServedMs.set(itemId, nowMs);
      const idleMs = nowMs - (lastServedMs.get(itemId) ?? healedMs);
      if (idleMs > longestIdleMs) [longestIdleMs, idleItem] = [idleMs, itemId];
    }
    if (unstored.length === 0 && elapsedMs > MIN_OBSERVED_MS) break;
  }
  const wrong = [...(await trainers.results()).values()].flatMap((results) => {
    const ids = results.map(({ itemId }) => itemId);
    return results.filter(
      (result, index) => !isWhole(result) || ids.indexOf(result.itemId) !== index,
    );
  });
  const holders = deployment.processes.filter(
    ({ ended, batches }) => !ended && batches.heldLeases().length > 0,
  );
  return {
    ...{ longestIdleMs, idleItem, holders: holders.length, unstored },
    wrong: wrong.map(({ itemId }) => itemId),
  };
};
