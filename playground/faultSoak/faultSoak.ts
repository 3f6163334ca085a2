import { pathToFileURL } from 'node:url';
import { Command } from 'commander';
import { messageOf } from '../../src/shared/errors.ts';
import { seededRandom } from '../../src/shared/random.ts';
import { sleepMs } from '../standIns/standInServer.ts';
import { SoakBatches } from './soakBatches.ts';
import { SoakClients } from './soakClients.ts';
import { drawControlFaults } from './soakControl.ts';
import { SoakDeployment, WORKER_SLOTS } from './soakDeployment.ts';
import { drawFaults, FaultInjector, type SoakFault } from './soakFaults.ts';
import { drawLimit, runLimit, type SoakLimit } from './soakLimits.ts';
import { drawWorkerEnds, type WorkerEnd } from './soakWorkerEnds.ts';

/** Time for the nodes to reconnect to each other and to the platform after the last fault, in ms. */
const RECOVERY_MS = 5000;

/** Keeps the schedule of faults of a seed independent of its limit, or of the ends of its workers. */
const LIMIT_SEED_OFFSET = 1_000_000;

/** The same for the faults of the control API. */
const CONTROL_SEED_OFFSET = 2_000_000;

/**
 * In seeds with ends of workers, faults begin in the first part of each round. The rest is calm for long enough that an
 * item that waits in vain is seen.
 */
const ROUND_MS = 15_000;
const BURST_MS = 5000;

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
  readonly reports: number;
  readonly faults: number;
  readonly ends: number;
  readonly logs: readonly string[];
}

/** What happens to the deployment of a soak. */
export interface SoakSchedule {
  readonly faults: readonly SoakFault[];
  readonly ends: readonly WorkerEnd[];
  readonly limit: SoakLimit | undefined;
}

/** Even seeds contain ends of workers. In the others all workers name a request limit, by which items may wait. */
const drawSchedule = (seed: number, durationMs: number): SoakSchedule => {
  const faults = drawFaults(seededRandom(seed), durationMs);
  const random = seededRandom(seed + LIMIT_SEED_OFFSET);
  if (seed % 2 === 1) return { faults, ends: [], limit: drawLimit(random, durationMs) };
  const isInBurst = ({ startMs }: { startMs: number }) => startMs % ROUND_MS < BURST_MS;
  const ends = drawWorkerEnds(random, durationMs);
  return { faults: faults.filter(isInBurst), ends: ends.filter(isInBurst), limit: undefined };
};

/** Whether less than half of the slots of the workers are taken, and no request limit keeps items waiting. */
const hasRoom = ({ workers, itemRuns }: SoakDeployment): boolean =>
  itemRuns.runningCount * 2 < workers.length * WORKER_SLOTS &&
  workers.every(({ limitPerSecond }) => limitPerSecond === undefined);

/**
 * Runs one seed on real processes. The seed determines the schedule of faults, but not how they interleave with the
 * load.
 */
export const runSeed = async (seed: number, durationMs: number): Promise<SoakResult> => {
  const deployment = new SoakDeployment();
  const watch = new AbortController();
  try {
    await deployment.start();
    const { faults, ends, limit } = drawSchedule(seed, durationMs);
    const injector = new FaultInjector(deployment);
    const batches = new SoakBatches(deployment);
    const clients = new SoakClients(deployment, batches, injector.stoppingNodes);
    const mustRun = () => injector.isCalm && hasRoom(deployment);
    deployment.control.nodes = injector;
    deployment.itemRuns.watch(() => batches.open(), mustRun, watch.signal);
    const load = clients.run();
    const [excesses] = await Promise.all([
      limit === undefined ? [] : runLimit(deployment.workers, limit),
      injector.run(faults, ends),
      rotateKeys(deployment, durationMs),
      deployment.control.runFaults(
        drawControlFaults(seededRandom(seed + CONTROL_SEED_OFFSET), durationMs),
      ),
    ]);
    await sleepMs(RECOVERY_MS);
    clients.stop();
    await load;
    await Promise.all([clients.checkRecovered(), deployment.control.checkRecovered()]);
    deployment.control.checkCounts((account) => deployment.runCounts.requestsOf(account));
    const { answered, refusedKeys } = clients;
    const { logs, itemRuns, control } = deployment;
    const violations = [
      ...[...clients.violations, ...batches.violations],
      ...[...itemRuns.violations, ...excesses, ...control.violations],
    ];
    return {
      ...{
        seed,
        violations,
        answered,
        refusedKeys,
        batches: batches.count,
        reports: control.reportCount,
      },
      ...{ faults: faults.length, ends: ends.length, logs },
    };
  } finally {
    watch.abort();
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
    const seed = Number(options.seed) + index;
    const result = await runSeed(seed, Number(options.seconds) * 1000).catch((error: unknown) => {
      // Faults of this seed may still be scheduled, so that no other seed can follow.
      console.log(JSON.stringify({ seed, violations: [`not played: ${messageOf(error)}`] }));
      return process.exit(1);
    });
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
