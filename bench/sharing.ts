import { runSharing, type CallEnd, type CallResult } from './model/sharingModel.ts';
import { competingKinds, heavyAccount, sharingVariants } from './model/sharingScenarios.ts';
import { mean, printTable } from './model/statistics.ts';

// Compares how accounts and kinds of callers share a pool, on a virtual clock. Command: npx tsx bench/sharing.ts
const SEEDS = [1, 2, 3];
const HEAVY_LOAD_MS = 14_000;
const isMeasured = ({ atMs }: CallResult) => atMs >= 3000 && atMs < 8000;
const ENDS: readonly CallEnd[] = ['in time', 'late', 'refused', 'refused late', 'timed out'];

const isServed = ({ end }: CallResult) => end === 'in time' || end === 'late';

const share = (results: readonly CallResult[], test: (result: CallResult) => boolean): number =>
  results.filter(test).length / Math.max(1, results.length);

const endsOf = (results: readonly CallResult[]): string[] =>
  ENDS.map((end) => share(results, (result) => result.end === end).toFixed(3));

/** Share of the calls served of each decile of the small accounts, the worst first. */
const deciles = (results: readonly CallResult[]): number[] => {
  const byAccount = Map.groupBy(results, ({ account }) => account);
  byAccount.delete('heavy');
  const shares = [...byAccount.values()].map((own) => share(own, isServed)).sort((a, b) => a - b);
  const size = shares.length / 10;
  return [0, 4, 9].map((index) => mean(shares.slice(index * size, (index + 1) * size)));
};

console.log(
  `\nOne account sends 70% of the load, 79 others the rest; 8 nodes, calls begun in seconds 3 to 8 (${SEEDS.length} seeds)\n`,
);
const heavyRows = [0.8, 1, 1.5].flatMap((load) =>
  sharingVariants.map(([name, variant]) => {
    const runs = SEEDS.map((seed) => runSharing(heavyAccount(seed, load, HEAVY_LOAD_MS), variant));
    const results = runs.flatMap((run) => run.results.filter(isMeasured));
    const ofDecile = runs.map((run) => deciles(run.results.filter(isMeasured)));
    return [
      ...[load, name],
      ...['heavy', 'others'].map((kind) =>
        share(
          results.filter((result) => result.kind === kind),
          isServed,
        ).toFixed(3),
      ),
      ...[0, 1, 2].map((index) => mean(ofDecile.map((own) => own[index] ?? 0)).toFixed(3)),
      ...endsOf(results),
      mean(runs.map(({ idleShare }) => idleShare)).toFixed(3),
    ];
  }),
);
printTable(
  ['load', 'variant', 'heavy', 'others', 'worst decile', 'fifth', 'best', ...ENDS, 'idle slots'],
  heavyRows,
);

console.log(
  `\nUrgent callers and scoring calls, calls begun in the 5 s of trouble (${SEEDS.length} seeds)\n`,
);
const kindRows = (['none', 'slow', 'fewer'] as const).flatMap((trouble) =>
  [sharingVariants[0], sharingVariants[3]]
    .flatMap((v) => (v ? [v] : []))
    .flatMap(([name, variant]) => {
      const runs = SEEDS.map((seed) => runSharing(competingKinds(seed, trouble), variant));
      return ['urgent', 'scoring'].map((kind) => {
        const results = runs
          .flatMap((run) => run.results)
          .filter((result) => result.kind === kind && result.atMs >= 5000 && result.atMs < 10_000);
        return [
          ...[trouble, name, kind, share(results, isServed).toFixed(3), ...endsOf(results)],
          mean(runs.map(({ idleShare }) => idleShare)).toFixed(3),
        ];
      });
    }),
);
printTable(['trouble', 'variant', 'kind', 'served', ...ENDS, 'idle slots'], kindRows);
