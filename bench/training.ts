import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { type CompletedSample, EMPTY_LEDGER } from '../src/node/decisions/ledgerValue.ts';
import { SampleLedger } from '../src/node/decisions/sampleLedger.ts';
import { runFlow } from './model/sampleFlow.ts';
import { linearFit, printTable } from './model/statistics.ts';

// Measures platform writes, ledger size, CPU time and memory of training, and the delay that a platform outage causes.
// Command: npx tsx bench/training.ts
const SAMPLES_PER_STEP = 16_384;
const SAMPLES_PER_SECOND = 12.4;

/** Content size of a kept sample of 32 tokens, as in `runFlow`, in bytes. */
const CONTENT_BYTES = 700;

interface HeldSample extends CompletedSample {
  readonly content: string;
}

const createSample = (ordinal: number): HeldSample => ({
  stepId: 'step-1',
  ordinal,
  attempt: 1,
  digest: ordinal.toString(16).padStart(16, '0'),
  oldestVersion: 1,
  content: `${ordinal}`.padEnd(CONTENT_BYTES, 'x'),
});

const createFilledLedger = (entries: number): SampleLedger<HeldSample> => {
  let operations = 0;
  const newOperationId = () => {
    operations += 1;
    return String(operations);
  };
  const ledger = new SampleLedger<HeldSample>(
    { fencing: 1, newOperationId },
    undefined,
    EMPTY_LEDGER,
  );
  ledger.addStep('step-1', 'digest', SAMPLES_PER_STEP);
  for (let ordinal = 0; ordinal < entries; ordinal += 1) ledger.complete(createSample(ordinal), []);
  return ledger;
};

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

const WINDOWS = [64, 128, 256, 512, 1024, 2048];

const measureWindows = () => {
  const rows = WINDOWS.map((entries) => {
    collectGarbage();
    const before = process.memoryUsage().heapUsed;
    const ledger = createFilledLedger(entries);
    const write = ledger.nextWrite();
    ledger.confirm(1);
    const sizeBytes = JSON.stringify(write?.value).length;
    collectGarbage();
    const heldBytes = process.memoryUsage().heapUsed - before;
    return { entries, sizeBytes, heldBytes, next: ledger.nextPosition };
  });
  const windowSizes = rows.map(({ entries }) => entries);
  const bytes = linearFit(
    windowSizes,
    rows.map(({ sizeBytes }) => sizeBytes),
  );
  const memory = linearFit(
    windowSizes,
    rows.map(({ heldBytes }) => heldBytes),
  );
  console.log(`\nLedger of one step of ${SAMPLES_PER_STEP} samples by window size\n`);
  printTable(
    ['entries in the window', 'object bytes', 'heap bytes'],
    rows.map(({ entries, sizeBytes, heldBytes }) => [entries, sizeBytes, heldBytes]),
  );
  const formatFit = ({ intercept, slope, rSquared }: typeof bytes) =>
    `${intercept.toFixed(0)} + ${slope.toFixed(1)} per entry (R² ${rSquared.toFixed(4)})`;
  console.log(`\nobject: ${formatFit(bytes)} bytes`);
  console.log(`heap: ${formatFit(memory)} bytes, of which ${CONTENT_BYTES} are content`);
};

const measureFlow = async () => {
  const rows: (string | number)[][] = [];
  const sampleCounts: number[] = [];
  const cpuMs: number[] = [];
  for (const [jobs, samplesPerJob] of [
    [1, 2048],
    [1, 8192],
    [1, SAMPLES_PER_STEP],
    [9, SAMPLES_PER_STEP],
  ] as const) {
    const cpu = process.cpuUsage();
    const result = await runFlow({ jobs, samplesPerJob, samplesPerSecond: SAMPLES_PER_SECOND });
    const { user, system } = process.cpuUsage(cpu);
    const seconds = result.durationMs / 1000;
    sampleCounts.push(result.received);
    cpuMs.push((user + system) / 1000);
    rows.push([
      jobs,
      samplesPerJob,
      result.received,
      seconds.toFixed(0),
      (result.ledgerWrites / seconds).toFixed(2),
      (result.leaseWrites / seconds).toFixed(2),
      Math.round(result.ledgerBytes / result.ledgerWrites),
      (result.ledgerBytes / seconds).toFixed(0),
      ((user + system) / result.received).toFixed(0),
    ]);
  }
  console.log(`\nSample flow at ${SAMPLES_PER_SECOND} samples per second and job (virtual time)\n`);
  printTable(
    [
      'jobs',
      'samples per job',
      'received',
      'seconds',
      'ledger writes/s',
      'lease writes/s',
      'bytes per ledger write',
      'ledger bytes/s',
      'CPU µs per sample',
    ],
    rows,
  );
  const { slope, intercept, rSquared } = linearFit(sampleCounts, cpuMs);
  console.log(
    `\nCPU: ${intercept.toFixed(0)} ms + ${(slope * 1000).toFixed(0)} µs per sample ` +
      `(R² ${rSquared.toFixed(4)}), including the model and its platform`,
  );
};

const STEP_OF_OUTAGE = 2048;
const OUTAGE_MS = 30_000;

const measureOutage = async () => {
  const baseOptions = {
    jobs: 1,
    samplesPerJob: STEP_OF_OUTAGE,
    samplesPerSecond: SAMPLES_PER_SECOND,
  };
  const baseline = await runFlow(baseOptions);
  const outages = [
    ['none', undefined],
    ['in the middle of the step', baseline.durationMs / 2],
    ['from 10 s before the end of the step', baseline.durationMs - 10_000],
  ] as const;
  const rows: (string | number)[][] = [];
  for (const [title, atMs] of outages) {
    const outage = atMs === undefined ? undefined : { atMs, durationMs: OUTAGE_MS };
    const result = outage ? await runFlow({ ...baseOptions, outage }) : baseline;
    rows.push([
      title,
      (result.durationMs / 1000).toFixed(1),
      ((result.durationMs - baseline.durationMs) / 1000).toFixed(1),
      (result.longestGapMs / 1000).toFixed(1),
      result.recoveryMs === undefined ? '' : (result.recoveryMs / 1000).toFixed(2),
      result.received,
    ]);
  }
  console.log(`\nOutage of ${OUTAGE_MS / 1000} s, step of ${STEP_OF_OUTAGE} samples\n`);
  printTable(
    [
      'outage',
      'step duration s',
      'delay s',
      'longest gap s',
      'first samples after its end s',
      'received',
    ],
    rows,
  );
};

measureWindows();
await measureOutage();

await measureFlow();
