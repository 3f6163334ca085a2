import { pathToFileURL } from 'node:url';
import { Command } from 'commander';
import { seededRandom } from '../../src/shared/random.ts';
import { sleepMs } from '../standIns/standInServer.ts';
import { SoakClients } from './soakClients.ts';
import { SoakDeployment } from './soakDeployment.ts';
import { drawFaults, FaultInjector } from './soakFaults.ts';
import { drawLimit, runLimit } from './soakLimits.ts';

/** Time for the nodes to reconnect to each other and to the platform after the last fault, in ms. */
const RECOVERY_MS = 5000;

/** Keeps the schedule of faults of a seed independent of its limit. */
const LIMIT_SEED_OFFSET = 1_000_000;

/** Time between two revisions of the tables, each of which removes a key of every account, in ms. */
const KEY_ROTATION_MS = 1500;

const rotateKeys = async (deployment: SoakDeployment, durationMs: number): Promise<void> => {
  for (let passedMs = 0; passedMs < durationMs; passedMs += KEY_ROTATION_MS) {
    await sleepMs(KEY_ROTATION_MS);
    await deployment.writeTables();
  }
};

export interface SoakResult {
  readonly seed: number;
  readonly violations: readonly string[];
  readonly answered: number;
  readonly refusedKeys: number;
  readonly batches: number;
  readonly faults: number;
  readonly logs: readonly string[];
}

/**
 * Runs one seed on real processes. The seed determines the schedule of faults, but not how they interleave with the
 * load.
 */
export const runSeed = async (seed: number, durationMs: number): Promise<SoakResult> => {
  const deployment = new SoakDeployment();
  try {
    await deployment.start();
    const faults = drawFaults(seededRandom(seed), durationMs);
    const injector = new FaultInjector(deployment);
    const clients = new SoakClients(deployment, injector.stoppingNodes);
    const load = clients.run();
    const limit = drawLimit(seededRandom(seed + LIMIT_SEED_OFFSET), durationMs);
    const [excesses] = await Promise.all([
      runLimit(deployment.workers, limit),
      injector.run(faults),
      rotateKeys(deployment, durationMs),
    ]);
    await sleepMs(RECOVERY_MS);
    clients.stop();
    await load;
    await clients.checkRecovered();
    const { answered, refusedKeys, batches } = clients;
    const violations = [...clients.violations, ...excesses];
    const { logs } = deployment;
    return { seed, violations, answered, refusedKeys, batches, faults: faults.length, logs };
  } finally {
    await deployment[Symbol.asyncDispose]();
  }
};

const main = async (): Promise<void> => {
  const program = new Command('fault-soak')
    .description('runs real processes under injected faults; npm run fault-soak -- --seed 1')
    .option('--seed <number>', 'first seed', '1')
    .option('--seeds <number>', 'number of seeds', '1')
    .option('--seconds <number>', 'time per seed in which faults begin', '15')
    .option('--logs', 'print the output of the nodes for a seed that failed');
  program.parse();
  const options = program.opts<{ seed: string; seeds: string; seconds: string; logs?: true }>();
  let failed = 0;
  for (let index = 0; index < Number(options.seeds); index += 1) {
    const result = await runSeed(Number(options.seed) + index, Number(options.seconds) * 1000);
    const { logs, ...summary } = result;
    console.log(JSON.stringify(summary));
    if (result.violations.length > 0) {
      failed += 1;
      if (options.logs) console.log(logs.join('\n'));
    }
  }
  process.exitCode = failed > 0 ? 1 : 0;
};

if (import.meta.url === pathToFileURL(process.argv[1] ?? '').href) await main();
