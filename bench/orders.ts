import { ProcessGroup } from '../playground/processes.ts';
import { EngineClient } from '../src/node/dataPath/engineClient.ts';
import { WorkerHttpClient } from '../src/node/dataPath/workerHttpClient.ts';
import { systemClock } from '../src/shared/clock.ts';
import { linearFit, printTable } from './model/statistics.ts';

// Measures the wall time and CPU time that a pool owner needs to send orders to all workers and to read their state.
// Command: npx tsx bench/orders.ts
const WORKER_COUNTS = [100, 300, 1000, 2000];
const CONCURRENCY = 64;
const TARGET_WORKERS = 11_000;

const runConcurrently = async (count: number, run: () => Promise<unknown>): Promise<void> => {
  let remaining = count;
  const runUntilDone = async () => {
    while (remaining > 0) {
      remaining -= 1;
      await run();
    }
  };
  await Promise.all(Array.from({ length: CONCURRENCY }, runUntilDone));
};

await using group = new ProcessGroup();
const engines = await Promise.all(Array.from({ length: 4 }, () => group.startStandIn('engine')));
using workerHttp = new WorkerHttpClient(systemClock);
const client = new EngineClient({ http: workerHttp, clock: systemClock, streamIdleMs: 5000 });
const workers = engines.map(({ address }, index) => ({
  name: `engine-${index}`,
  address,
  availabilityZone: 'zone',
}));
let callCount = 0;
const nextWorker = () => {
  callCount += 1;
  return workers[callCount % workers.length] as (typeof workers)[number];
};
const sendOrder = () =>
  client.order(nextWorker(), {
    orderId: `order-${callCount}`,
    kind: 'load_weights',
    version: 2,
    uri: 'weights/2',
    fencing: 1,
    deadlineMs: 5000,
    strategy: 'interrupt',
  });
const readBack = () => client.load(nextWorker());

await runConcurrently(500, sendOrder);
const rows = [];
for (const [name, run] of [
  ['order', sendOrder],
  ['read back', readBack],
] as const) {
  const wallMs: number[] = [];
  const cpuMs: number[] = [];
  for (const count of WORKER_COUNTS) {
    const cpuBefore = process.cpuUsage();
    const startMs = performance.now();
    await runConcurrently(count, run);
    wallMs.push(performance.now() - startMs);
    const { user, system } = process.cpuUsage(cpuBefore);
    cpuMs.push((user + system) / 1000);
  }
  for (const [kind, values] of [
    ['wall', wallMs],
    ['CPU', cpuMs],
  ] as const) {
    const { slope, intercept, rSquared } = linearFit(WORKER_COUNTS, values);
    rows.push([
      `${name}, ${kind} ms`,
      ...values.map((value) => value.toFixed(0)),
      slope.toFixed(3),
      rSquared.toFixed(3),
      ((intercept + slope * TARGET_WORKERS) / 1000).toFixed(1),
    ]);
  }
}
printTable(
  ['quantity', ...WORKER_COUNTS.map((count) => `${count} workers`), 'slope', 'R²', 'at 11,000, s'],
  rows,
);
