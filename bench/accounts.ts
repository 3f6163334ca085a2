import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { build } from 'hdr-histogram-js';
import { seededRandom } from '../src/shared/random.ts';
import { AccountIndex } from '../src/node/decisions/accounts/accountIndex.ts';
import type { Account } from '../src/node/gateway/gatewayTables.ts';

// Measures the index of client accounts: look-ups, memory and the cost of a new version of the tables.
// Usage: npx tsx bench/accounts.ts [KEYS [ACCOUNTS]]
const keyCount = Number(process.argv[2] ?? 50_000);
const accountCount = Number(process.argv[3] ?? 80);

/** Number of measured look-ups of each kind. */
const LOOKUPS = 200_000;

/** Number of measured versions of each kind. */
const VERSIONS = 20;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;
const random = seededRandom(1);

const heapBytes = (): number => {
  collectGarbage();
  return process.memoryUsage().heapUsed;
};

/** The k-th account has 1/k of the keys of the first one, as a few of the accounts are large. */
const weights = Array.from({ length: accountCount }, (_, index) => 1 / (index + 1));
const totalWeight = weights.reduce((sum, weight) => sum + weight, 0);
let nextKey = 0;
const newKey = () => {
  nextKey += 1;
  return `key-${nextKey.toString(36).padStart(8, '0')}-${Math.floor(random() * 1e9).toString(36)}`;
};
const accounts: Account[] = weights.map((weight, index) => ({
  name: `account-${index}`,
  keys: Array.from({ length: Math.max(1, Math.floor((keyCount * weight) / totalWeight)) }, newKey),
}));
const wire = JSON.stringify(accounts);

const elapsedMs = (run: () => unknown): number => {
  const startMs = performance.now();
  run();
  return performance.now() - startMs;
};

const report = (name: string, timesMs: readonly number[], note = ''): void => {
  const sorted = [...timesMs].sort((left, right) => left - right);
  const at = (share: number) => (sorted[Math.floor(share * (sorted.length - 1))] ?? 0).toFixed(2);
  console.log(`${name.padEnd(46)} median ${at(0.5)} ms, largest ${at(1)} ms ${note}`);
};

const beforeBytes = heapBytes();
const index = new AccountIndex(accounts);
const keptBytes = heapBytes() - beforeBytes;
console.log(`${index.keyCount} keys of ${accountCount} accounts, ${wire.length} bytes as JSON`);
console.log(
  `index: ${(keptBytes / 1e6).toFixed(2)} MB, ${(keptBytes / index.keyCount).toFixed(0)} bytes a key`,
);

const keys = accounts.flatMap((account) => account.keys);
const lookUp = (name: string, keyAt: (number: number) => string): void => {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  for (let number = 0; number < LOOKUPS; number += 1) {
    const key = Buffer.from(keyAt(number), 'latin1');
    const startNs = process.hrtime.bigint();
    index.find(key);
    histogram.recordValue(Number(process.hrtime.bigint() - startNs));
  }
  const at = (percentile: number) =>
    (histogram.getValueAtPercentile(percentile) / 1000).toFixed(2).padStart(6);
  console.log(`look-up of ${name.padEnd(35)} p50 ${at(50)} us, p99 ${at(99)} us`);
};
lookUp('known keys', () => keys[Math.floor(random() * keys.length)] ?? '');
lookUp('unknown keys', () => newKey());
lookUp('unknown keys of 16 KB', (number) => `${number}`.padStart(16_384, 'x'));

const repeat = (run: () => unknown) => Array.from({ length: VERSIONS }, () => elapsedMs(run));
report(
  'JSON of a version, which is parsed in any case',
  repeat(() => JSON.parse(wire) as unknown),
);
report(
  'index of a first version',
  repeat(() => new AccountIndex(accounts)),
);
const change = (position: number): Account[] =>
  accounts.map((account, at) =>
    at === position ? { ...account, keys: account.keys.slice(1) } : { ...account },
  );
for (const [name, position] of [
  ['smallest', accountCount - 1],
  ['largest', 0],
] as const) {
  const next = JSON.parse(JSON.stringify(change(position))) as Account[];
  report(
    `a key of the ${name} account revoked`,
    repeat(() => new AccountIndex(next, index)),
    `(${new AccountIndex(next, index).hashedKeys} digests)`,
  );
}
