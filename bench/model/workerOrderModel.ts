import {
  WorkerOrderPlanner,
  CALL_PRICE,
} from '../../src/node/decisions/workerOrders/workerOrderPlanner.ts';
import {
  type BatchWork,
  DemandEstimate,
} from '../../src/node/decisions/workerOrders/poolDemand.ts';
import type { ScalingBounds } from '../../src/node/gateway/gatewayTables.ts';
import { type Random, seededRandom } from '../../src/shared/random.ts';
import { VirtualClock } from '../../src/shared/virtualClock.ts';

/** A reclaim of all spot workers of a zone. */
export interface Reclaim {
  readonly atMs: number;
  readonly zone: string;
  readonly noticeMs: number;
  /** Whether no zone has spot workers afterwards, or only this one has none. */
  readonly everywhere: boolean;
}

export interface OrderScenario {
  /** Ordinary workers in each zone at the start. */
  readonly startWorkers: number;
  readonly bounds: ScalingBounds;
  readonly trainersAt: (atMs: number) => number;
  /** Mean number of items of a batch. */
  readonly itemsAt: (atMs: number) => number;
  readonly reclaims: readonly Reclaim[];
}

export interface OrderOutcome {
  readonly calls: number;
  readonly idleWorkerSeconds: number;
  /** Price of workers and calls. */
  readonly price: number;
  /** Time that slots spent on work past its due time, in s. */
  readonly lateWorkSeconds: number;
  /** Groups that a trainer waited for and that were not complete in time. */
  readonly lateGroups: number;
  /** Groups that trainers waited for. */
  readonly groups: number;
}

/** One event of a generation; every slot advances by one event a tick. */
const TICK_MS = 50;
const SLOTS = 6;
const RUN_MS = 60_000;
const STEP_INTERVAL_MS = 4000;
const DUE_MS = 7500;
/** Results count in full until this time after they are due. */
const READ_SLACK_MS = 700;
const GIVE_UP_MS = 12_000;
const TRAINING_MS = 750;
const UNAVAILABLE_MS = 9000;
/** The first event of a run takes as long as this number of later ones. */
const FIRST_EVENT_TICKS = 2;
const GROUP_SIZE = 8;
const WANTED_SHARE = 0.9;

interface Item {
  readonly batch: Batch;
  readonly group: number;
  readonly hintTicks: number;
  doneTicks: number;
  leftTicks: number;
  running: boolean;
}

interface Batch {
  readonly id: string;
  readonly trainer: number;
  readonly submittedMs: number;
  readonly items: Item[];
  /** Unfinished items by group. */
  readonly open: Map<number, number>;
  readonly wanted: number;
  inTime: number;
}

interface Worker {
  readonly zone: string;
  readonly spot: boolean;
  readonly servesAtMs: number;
  leavesAtMs: number;
  draining: boolean;
  readonly running: Set<Item>;
}

/** Lengths with a mean of about 17 events: one in ten takes five times as long, and its hint does not tell. */
const newItem = (batch: Batch, group: number, random: Random): Item => {
  const usual = 6 + Math.floor(random() * 13);
  const length = random() < 0.1 ? usual * 5 : usual;
  const hintTicks = Math.max(1, Math.round(usual * (0.6 + 0.8 * random())));
  const leftTicks = length + FIRST_EVENT_TICKS;
  return { batch, group, hintTicks, doneTicks: 0, leftTicks, running: false };
};

const newBatch = (trainer: number, items: number, atMs: number, random: Random): Batch => {
  const count = Math.max(40, Math.min(200, Math.round(items * (0.8 + 0.4 * random()))));
  const groups = Math.ceil(count / GROUP_SIZE);
  const batch: Batch = {
    ...{ id: `${trainer}-${atMs}`, trainer, submittedMs: atMs, items: [], inTime: 0 },
    open: new Map(Array.from({ length: groups }, (_, group) => [group, GROUP_SIZE])),
    wanted: Math.ceil(groups * WANTED_SHARE),
  };
  for (let index = 0; index < groups * GROUP_SIZE; index += 1) {
    batch.items.push(newItem(batch, Math.floor(index / GROUP_SIZE), random));
  }
  return batch;
};

const remainingHint = ({ hintTicks, doneTicks }: Item): number =>
  doneTicks < hintTicks ? hintTicks - doneTicks : doneTicks / 2;

const finishedGroups = ({ open }: Batch): number =>
  [...open.values()].filter((left) => left === 0).length;

/**
 * Runs an order planner for 60 s against steps of trainers: slots, event times and arrivals only. The work is given to
 * workers in order of submission; a worker that leaves returns what it cannot finish.
 */
export const runWorkerOrders = (
  planner: WorkerOrderPlanner,
  scenario: OrderScenario,
  seed: number,
): OrderOutcome => {
  const { bounds } = scenario;
  const random = seededRandom(seed);
  const clock = new VirtualClock(0);
  const estimate = new DemandEstimate();
  const workers = new Set<Worker>();
  const open = new Set<Batch>();
  const nextSubmitMs = new Map<number, number>();
  const unavailableUntilMs = new Map<string, number>();
  let [calls, idle, price, lateWork, lateGroups, groups] = [0, 0, 0, 0, 0, 0];
  const addWorkers = (zone: string, spot: boolean, count: number, servesAtMs: number) => {
    for (let index = 0; index < count; index += 1) {
      workers.add({
        zone,
        spot,
        servesAtMs,
        leavesAtMs: Infinity,
        draining: false,
        running: new Set(),
      });
    }
  };
  for (const zone of bounds.zonePrices.keys()) addWorkers(zone, false, scenario.startWorkers, 0);

  const submit = (nowMs: number) => {
    for (let trainer = 0; trainer < scenario.trainersAt(nowMs); trainer += 1) {
      const isBusy = [...open].some((batch) => batch.trainer === trainer);
      if (!isBusy && nowMs >= (nextSubmitMs.get(trainer) ?? trainer * 900)) {
        open.add(newBatch(trainer, scenario.itemsAt(nowMs), nowMs, random));
        nextSubmitMs.set(trainer, nowMs + STEP_INTERVAL_MS);
      }
    }
  };
  const close = (batch: Batch, nowMs: number) => {
    open.delete(batch);
    groups += batch.wanted;
    lateGroups += Math.max(0, batch.wanted - batch.inTime);
    for (const worker of workers) {
      for (const item of worker.running) if (item.batch === batch) worker.running.delete(item);
    }
    const next = nextSubmitMs.get(batch.trainer) ?? 0;
    nextSubmitMs.set(batch.trainer, Math.max(next, nowMs + TRAINING_MS));
  };
  const advance = (nowMs: number) => {
    for (const worker of workers) {
      for (const item of worker.running) {
        item.doneTicks += 1;
        item.leftTicks -= 1;
        const ageMs = nowMs - item.batch.submittedMs;
        if (ageMs > DUE_MS + READ_SLACK_MS) lateWork += TICK_MS / 1000;
        if (item.leftTicks <= 0) {
          worker.running.delete(item);
          const left = (item.batch.open.get(item.group) ?? 0) - 1;
          item.batch.open.set(item.group, left);
          if (left === 0 && ageMs <= DUE_MS + READ_SLACK_MS) item.batch.inTime += 1;
        }
      }
    }
    for (const batch of open) {
      const isDone = finishedGroups(batch) >= batch.wanted;
      if (isDone || nowMs - batch.submittedMs >= GIVE_UP_MS) close(batch, nowMs);
    }
  };
  const place = (nowMs: number) => {
    const free = [...workers].filter(
      ({ draining, servesAtMs, running }) =>
        !draining && nowMs >= servesAtMs && running.size < SLOTS,
    );
    const waiting = [...open].flatMap(({ items }) =>
      items.filter(({ running, leftTicks }) => !running && leftTicks > 0),
    );
    for (const item of waiting) {
      const [worker] = free;
      if (worker === undefined) return;
      item.running = true;
      worker.running.add(item);
      if (worker.running.size >= SLOTS) free.shift();
    }
  };
  const removeLeaving = (nowMs: number) => {
    for (const worker of workers) {
      const isEmpty =
        worker.draining && worker.leavesAtMs === Infinity && worker.running.size === 0;
      if (isEmpty || nowMs >= worker.leavesAtMs) workers.delete(worker);
    }
  };
  const reclaim = ({ zone, noticeMs, everywhere }: Reclaim, nowMs: number) => {
    for (const name of everywhere ? bounds.zonePrices.keys() : [zone]) {
      unavailableUntilMs.set(name, nowMs + noticeMs + UNAVAILABLE_MS);
    }
    for (const worker of workers) {
      if (!worker.spot || worker.zone !== zone) continue;
      worker.draining = true;
      worker.leavesAtMs = nowMs + noticeMs;
      for (const item of worker.running) {
        if (item.leftTicks * TICK_MS <= noticeMs) continue;
        item.running = false;
        // Its prompt is read again by the next worker.
        item.leftTicks += FIRST_EVENT_TICKS;
        worker.running.delete(item);
      }
    }
  };
  const apply = (zone: string, spot: boolean, count: number, nowMs: number) => {
    const present = [...workers].filter(
      (worker) => worker.zone === zone && worker.spot === spot && !worker.draining,
    );
    const added = count - present.length;
    if (added > 0 && spot && nowMs < (unavailableUntilMs.get(zone) ?? 0)) return 'none-available';
    addWorkers(zone, spot, added, nowMs + bounds.startMs);
    const byLoad = present.sort((left, right) => left.running.size - right.running.size);
    for (const worker of byLoad.slice(0, Math.max(0, -added))) worker.draining = true;
    return 'accepted';
  };
  const order = (nowMs: number) => {
    const batches = [...open].map((batch): BatchWork => {
      const left = batch.items.filter(({ leftTicks }) => leftTicks > 0);
      return {
        ...{ batchId: batch.id, model: `trainer-${batch.trainer}` },
        waitingItems: left.filter(({ running }) => !running).length,
        runningItems: left.filter(({ running }) => running).length,
        workMs: left.reduce((sum, item) => sum + remainingHint(item) * TICK_MS, 0),
        dueInMs: batch.submittedMs + DUE_MS - nowMs,
      };
    });
    const registered = [...workers]
      .filter(({ servesAtMs }) => nowMs >= servesAtMs)
      .map(({ zone, spot, draining, leavesAtMs }) => ({
        ...{ availabilityZone: zone, spot, draining },
        leavesInMs: leavesAtMs === Infinity ? undefined : leavesAtMs - nowMs,
      }));
    const demand = estimate.record(SLOTS, batches, nowMs);
    for (const each of planner.decide({ nowMs, bounds, workers: registered, demand })) {
      calls += 1;
      const result = apply(each.availabilityZone, each.spot, each.count, nowMs);
      planner.recordResult(each, result, nowMs);
    }
  };
  const bill = (nowMs: number) => {
    for (const { zone, spot, servesAtMs, running } of workers) {
      const factor = spot ? (bounds.spotPriceFactor ?? 1) : 1;
      price += ((bounds.zonePrices.get(zone) ?? 1) * factor * TICK_MS) / 1000;
      if (nowMs >= servesAtMs) idle += ((1 - running.size / SLOTS) * TICK_MS) / 1000;
    }
  };
  const tick = () => {
    const nowMs = clock.monotonicMs();
    for (const each of scenario.reclaims) if (each.atMs === nowMs) reclaim(each, nowMs);
    advance(nowMs);
    submit(nowMs);
    removeLeaving(nowMs);
    if (nowMs % 1000 === 0) order(nowMs);
    place(nowMs);
    bill(nowMs);
    if (nowMs < RUN_MS) clock.schedule(TICK_MS, tick);
  };
  clock.schedule(0, tick);
  clock.advance(RUN_MS);
  return {
    ...{ calls, idleWorkerSeconds: idle, price: price + calls * CALL_PRICE },
    ...{ lateWorkSeconds: lateWork, lateGroups, groups },
  };
};
