import { create, toBinary, toJson } from '@bufbuild/protobuf';
import { Protocol, TablesSchema, type Tables } from '../src/gen/hyssoppulley/v1/tables_pb.ts';
import {
  checkTablesMessage,
  resolveRecord,
  tablesDocument,
} from '../src/node/operator/tablesDocument.ts';
import { linearFit, printTable } from './model/statistics.ts';

// Measures how the size of the tables and the time to check and resolve them grow with the number of workers listed by
// name, and estimates the cost of a configuration change per node. Command: npx tsx bench/configuration.ts
const WORKER_COUNTS = [100, 1000, 3000, 6000, 11_000];
const RUNS = 7;
/** Design size, see docs/design.md, section 3. */
const NODES = 410;
const CHANGES_PER_DAY = 18_000;
const SECONDS_PER_DAY = 86_400;
const TARGET_WORKERS = 11_000;
const PLATFORM_MAX_BYTES = 1_000_000;

const createTables = (workers: number): Tables =>
  create(TablesSchema, {
    routes: Array.from({ length: 50 }, (_, index) => ({
      name: `route-${index}`,
      match: { pathPrefix: `/path-${index}` },
      pool: `pool-${index % 20}`,
    })),
    pools: Array.from({ length: 20 }, (_, pool) => ({
      name: `pool-${pool}`,
      protocol: Protocol.MODEL_ENGINE,
      workers: Array.from({ length: Math.ceil(workers / 20) }, (__, worker) => ({
        name: `worker-${pool}-${worker}`,
        address: `10.${pool}.${Math.floor(worker / 250)}.${worker % 250}:8000`,
        availabilityZone: `zone-${worker % 17}`,
      })),
    })),
  });

const medianMs = (run: () => void): number => {
  const times = Array.from({ length: RUNS }, () => {
    const start = performance.now();
    run();
    return performance.now() - start;
  });
  return times.sort((a, b) => a - b)[Math.floor(RUNS / 2)] ?? 0;
};

const rows = WORKER_COUNTS.map((workers) => {
  const tables = createTables(workers);
  const record = { revision: 1, operationId: 'operation', ...tablesDocument(tables) };
  return {
    workers,
    jsonBytes: JSON.stringify(toJson(TablesSchema, tables)).length,
    binaryBytes: toBinary(TablesSchema, tables).length,
    checkMs: medianMs(() => checkTablesMessage(tables)),
    resolveMs: medianMs(() => resolveRecord(record)),
  };
});
printTable(
  ['workers by name', 'JSON bytes', 'message bytes', 'check ms', 'parse, check, resolve ms'],
  rows.map((row) => [
    row.workers,
    row.jsonBytes,
    row.binaryBytes,
    row.checkMs.toFixed(2),
    row.resolveMs.toFixed(2),
  ]),
);
const counts = rows.map(({ workers }) => workers);
const fits = {
  'JSON bytes': linearFit(
    counts,
    rows.map((row) => row.jsonBytes),
  ),
  'message bytes': linearFit(
    counts,
    rows.map((row) => row.binaryBytes),
  ),
  'check ms': linearFit(
    counts,
    rows.map((row) => row.checkMs),
  ),
  'resolve ms': linearFit(
    counts,
    rows.map((row) => row.resolveMs),
  ),
};
console.log();
printTable(
  ['quantity', 'slope per worker', 'intercept', 'R²', `at ${TARGET_WORKERS} workers`],
  Object.entries(fits).map(([name, { slope, intercept, rSquared }]) => [
    name,
    slope.toPrecision(3),
    intercept.toPrecision(3),
    rSquared.toFixed(4),
    (intercept + slope * TARGET_WORKERS).toPrecision(4),
  ]),
);
const jsonFit = fits['JSON bytes'];
const changesPerSecond = CHANGES_PER_DAY / SECONDS_PER_DAY;
const bytesPerChange =
  fits['message bytes'].intercept + fits['message bytes'].slope * TARGET_WORKERS;
const resolveMs = fits['resolve ms'].intercept + fits['resolve ms'].slope * TARGET_WORKERS;
console.log();
console.log(
  `the head holds two versions of the tables and is full at ${Math.floor((PLATFORM_MAX_BYTES / 2 - jsonFit.intercept) / jsonFit.slope)} workers by name`,
);
console.log(
  `sending whole tables for each change at ${TARGET_WORKERS} workers costs ${Math.round(bytesPerChange * changesPerSecond)} bytes/s and ` +
    `${((resolveMs * changesPerSecond) / 10).toFixed(2)}% of a core on each of ${NODES} nodes`,
);
console.log(
  `calls per change: ${2 * NODES} peer calls by its coordinator, ${(2 * NODES * changesPerSecond).toFixed(0)} per second; 3 platform calls`,
);
