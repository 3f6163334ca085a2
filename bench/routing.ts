import { runRouting, type RoutingScenario } from './model/routingModel.ts';
import { routingPolicies } from './model/routingPolicies.ts';
import { standardDeviation, mean, printTable } from './model/statistics.ts';

// Compares worker selectors on the modelled engine pool. Each row is the mean over the seeds; latencies are relative to
// round robin with the same seed. Command: npx tsx bench/routing.ts
const SEEDS = 10;

const scenarios: readonly (readonly [string, Partial<RoutingScenario>])[] = [
  ['6 workers, reports 0.1 s old', { reportLagMs: 100 }],
  ['6 workers, reports 1 s old', { reportLagMs: 1000 }],
  ['6 workers, reports 5 s old', { reportLagMs: 5000 }],
  ['6 workers, one at half speed, 1 s', { reportLagMs: 1000, slowWorkers: 1 }],
  ['6 workers, 70% of callers on one entry, 1 s', { reportLagMs: 1000, busyEntryShare: 0.7 }],
  ['6 workers, no cache events, 1 s', { reportLagMs: 1000, cacheEventLoss: 1 }],
  [
    '120 workers, 20 entries, 1 s',
    { workers: 120, entries: 20, requestIntervalMs: 2.1, durationMs: 20_000 },
  ],
  [
    '120 workers, 20 entries, subsets of 24, 1 s',
    { workers: 120, entries: 20, requestIntervalMs: 2.1, durationMs: 20_000, subsetSize: 24 },
  ],
];

for (const [title, scenario] of scenarios) {
  const rows = new Map<
    string,
    { p50: number[]; p99: number[]; p999: number[]; hits: number[]; imbalance: number[] }
  >();
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const results = routingPolicies().map(
      ([name, select]) =>
        [name, runRouting(select, { durationMs: 120_000, ...scenario, seed })] as const,
    );
    const baseline = results.find(([name]) => name === 'round robin')?.[1];
    for (const [name, result] of results) {
      const row = rows.get(name) ?? { p50: [], p99: [], p999: [], hits: [], imbalance: [] };
      row.p50.push(result.p50Ms / (baseline?.p50Ms ?? 1));
      row.p99.push(result.p99Ms / (baseline?.p99Ms ?? 1));
      row.p999.push(result.p999Ms / (baseline?.p999Ms ?? 1));
      row.hits.push(result.prefixHitShare);
      row.imbalance.push(result.imbalance);
      rows.set(name, row);
    }
  }
  console.log(`\n${title} (${SEEDS} seeds)\n`);
  printTable(
    ['policy', 'p50 ratio', 'p99 ratio', 'p99 spread', 'p99.9 ratio', 'prefix hits', 'imbalance'],
    [...rows].map(([name, row]) => [
      name,
      mean(row.p50).toFixed(3),
      mean(row.p99).toFixed(3),
      standardDeviation(row.p99).toFixed(3),
      mean(row.p999).toFixed(3),
      mean(row.hits).toFixed(3),
      mean(row.imbalance).toFixed(3),
    ]),
  );
}
