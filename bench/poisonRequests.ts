import { POLICIES, PoisonModel } from '../playground/poisonModel/poisonModel.ts';

// Compares rules for requests that end their workers. Usage: npx tsx bench/poisonRequests.ts [SEEDS]
const seeds = Number(process.argv[2] ?? 20);

const mean = (values: readonly number[]) =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

console.log('share  zone crashes  cut off  rule           ends/deadly  innocent failed  sent on');
for (const deadlyShare of [0.01, 0.05, 0.1, 0.3]) {
  for (const [zoneCrashes, partition] of [
    [false, false],
    [true, false],
    [true, true],
  ] as const) {
    for (const policy of POLICIES) {
      const results = Array.from({ length: seeds }, (_, seed) =>
        new PoisonModel({ seed: seed + 1, policy, deadlyShare, zoneCrashes, partition }).run(),
      );
      console.log(
        [
          deadlyShare.toFixed(2).padEnd(6),
          (zoneCrashes ? 'yes' : 'no').padEnd(13),
          (partition ? 'yes' : 'no').padEnd(8),
          policy.padEnd(14),
          mean(results.map((result) => result.endsPerDeadlyRequest))
            .toFixed(2)
            .padStart(11),
          `${(100 * mean(results.map((result) => result.innocentFailedShare))).toFixed(1)}%`.padStart(
            16,
          ),
          String(Math.max(...results.map((result) => result.sendsAfterThreeEnds))).padStart(8),
        ].join(' '),
      );
    }
  }
}
