import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { type CompletedSample, EMPTY_LEDGER } from '../src/node/decisions/ledgerValue.ts';
import { SampleLedger } from '../src/node/decisions/sampleLedger.ts';
import { runFlow } from './model/sampleFlow.ts';
import { linearFit, printTable } from './model/statistics.ts';

// Platform writes, ledger size, CPU and memory of training, and what a platform outage costs.
// Command: npx tsx bench/training.ts
const SAMPLES_PER_STEP = 16_384;
const SAMPLES_PER_SECOND = 12.4;

/** Bytes of content of a held sample: 32 tokens as in the flow. */
const CONTENT_BYTES = 700;

interface Held extends CompletedSample {
  readonly rest: string;
}

const sampleAt = (ordinal: number): Held => ({
  stepId: 'step-1',
  ordinal,
  attempt: 1,
  digest: ordinal.toString(16).padStart(16, '0'),
  oldestVersion: 1,
  rest: `${ordinal}`.padEnd(CONTENT_BYTES, 'x'),
});

const filledLedger = (entries: number): SampleLedger<Held> => {
  let operations = 0;
  const newOperationId = () => {
    operations += 1;
    return String(operations);
  };
  const ledger = new SampleLedger<Held>({ fencing: 1, newOperationId }, undefined, EMPTY_LEDGER);
  ledger.addStep('step-1', 'digest', SAMPLES_PER_STEP);
  for (let ordinal = 0; ordinal < entries; ordinal += 1) ledger.complete(sampleAt(ordinal), []);
  return ledger;
};

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

const WINDOWS = [64, 128, 256, 512, 1024, 2048];

const measureWindows = () => {
  const rows = WINDOWS.map((entries) => {
    collectGarbage();
    const before = process.memoryUsage().heapUsed;
    const ledger = filledLedger(entries);
    const write = ledger.nextWrite();
    ledger.confirm(1);
    const sizeBytes = JSON.stringify(write?.value).length;
    collectGarbage();
    const heldBytes = process.memoryUsage().heapUsed - before;
    return { entries, sizeBytes, heldBytes, next: ledger.nextPosition };
  });
  const xs = rows.map(({ entries }) => entries);
  const bytes = linearFit(
    xs,
    rows.map(({ sizeBytes }) => sizeBytes),
  );
  const memory = linearFit(
    xs,
    rows.map(({ heldBytes }) => heldBytes),
  );
  console.log(`\nLedger of one step of ${SAMPLES_PER_STEP} samples against the window\n`);
  printTable(
    ['entries in the window', 'bytes of the object', 'heap bytes'],
    rows.map(({ entries, sizeBytes, heldBytes }) => [entries, sizeBytes, heldBytes]),
  );
  const fitted = ({ intercept, slope, rSquared }: typeof bytes) =>
    `${intercept.toFixed(0)} + ${slope.toFixed(1)} for each entry (R² ${rSquared.toFixed(4)})`;
  console.log(`\nobject: ${fitted(bytes)} bytes`);
  console.log(`heap: ${fitted(memory)} bytes, of which ${CONTENT_BYTES} are content`);
};

const measureFlow = async () => {
  const rows: (string | number)[][] = [];
  const xs: number[] = [];
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
    xs.push(result.received);
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
  console.log(`\nSamples flow at ${SAMPLES_PER_SECOND} a second for each job (virtual time)\n`);
  printTable(
    [
      'jobs',
      'samples for each',
      'received',
      'seconds',
      'ledger writes/s',
      'lease writes/s',
      'bytes a ledger write',
      'ledger bytes/s',
      'CPU µs a sample',
    ],
    rows,
  );
  const { slope, intercept, rSquared } = linearFit(xs, cpuMs);
  console.log(
    `\nCPU: ${intercept.toFixed(0)} ms + ${(slope * 1000).toFixed(0)} µs for each sample ` +
      `(R² ${rSquared.toFixed(4)}), model and its platform included`,
  );
};

const STEP_OF_OUTAGE = 2048;
const OUTAGE_MS = 30_000;

const measureOutage = async () => {
  const common = { jobs: 1, samplesPerJob: STEP_OF_OUTAGE, samplesPerSecond: SAMPLES_PER_SECOND };
  const base = await runFlow(common);
  const outages = [
    ['none', undefined],
    ['in the middle of the step', base.durationMs / 2],
    ['begins 10 s before the end of the step', base.durationMs - 10_000],
  ] as const;
  const rows: (string | number)[][] = [];
  for (const [title, atMs] of outages) {
    const outage = atMs === undefined ? undefined : { atMs, durationMs: OUTAGE_MS };
    const result = outage ? await runFlow({ ...common, outage }) : base;
    rows.push([
      title,
      (result.durationMs / 1000).toFixed(1),
      ((result.durationMs - base.durationMs) / 1000).toFixed(1),
      (result.longestGapMs / 1000).toFixed(1),
      result.flushMs === undefined ? '' : (result.flushMs / 1000).toFixed(2),
      result.received,
    ]);
  }
  console.log(`\nOutage of ${OUTAGE_MS / 1000} s, step of ${STEP_OF_OUTAGE} samples\n`);
  printTable(
    [
      'outage',
      'step takes s',
      'later by s',
      'longest gap s',
      'first hand-over after its end s',
      'received',
    ],
    rows,
  );
};

measureWindows();
await measureOutage();

await measureFlow();
