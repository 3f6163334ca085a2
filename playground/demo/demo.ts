import { type CallReport, type RequestKind } from '../load/caller.ts';
import { DEPLOYMENT_REQUESTS, runLoad, countResults } from '../load/load.ts';
import { ProcessGroup } from '../processes.ts';
import { sleepMs } from '../standIns/standInServer.ts';
import { Deployment } from './deployment.ts';

// Runs both example deployments with real processes, callers, a trainer and injected faults, and checks the guarantees
// that the nodes give to callers and to the trainer.
const LOAD_MS = 24_000;
const KILL_AT_MS = 4000;
const APPLY_AT_MS = 6000;
const OUTAGE_AT_MS = 15_000;
const OUTAGE_MS = 3000;
const STOP_AT_MS = 19_000;
const TRAINING_TIMEOUT_MS = 45_000;
const STEPS = 6;
const GROUPS = 8;
const SAMPLES_PER_GROUP = 4;

interface TrainerReport {
  readonly received: readonly { readonly stepId: string; readonly ordinal: number }[];
  readonly idleMs: number;
  readonly stepsTrained: number;
  readonly maxStalenessVersions: number;
}

const failures: string[] = [];
const print = (text: string) => console.log(text);
const check = (condition: boolean, text: string) => {
  print(`${condition ? 'held  ' : 'FAILED'} ${text}`);
  if (!condition) failures.push(text);
};

const callControl = async (address: string, path: string, body?: unknown): Promise<unknown> => {
  const response = await fetch(`http://${address}/control/${path}`, {
    method: body === undefined ? 'GET' : 'PUT',
    body: body === undefined ? undefined : JSON.stringify(body),
  });
  return response.json();
};

const createTrainingRun = (deployment: Deployment) => ({
  entries: deployment.entries,
  job: deployment.job,
  steps: Array.from({ length: STEPS }, (_, step) => ({
    stepId: `step-${step}`,
    groups: Array.from({ length: GROUPS }, (__, group) => ({
      groupId: `group-${group}`,
      prompt: `prompt ${group} of step ${step}`,
    })),
  })),
  samplesPerGroup: SAMPLES_PER_GROUP,
  maxTokens: 16,
  callTimeoutMs: 5000,
  trainMs: 1500,
  stepsInFlight: 2,
});

const waitForTraining = async (deployment: Deployment): Promise<TrainerReport> => {
  const endMs = performance.now() + TRAINING_TIMEOUT_MS;
  for (;;) {
    const report = (await callControl(deployment.trainer, 'received')) as TrainerReport;
    if (report.stepsTrained >= STEPS || performance.now() > endMs) return report;
    await sleepMs(250);
  }
};

/** Under load: kills a node, applies changed tables, simulates a platform outage, and stops a node as planned. */
const injectFaults = async (deployment: Deployment): Promise<void> => {
  const [killed, stopped] = deployment.nodes.slice(-2);
  await sleepMs(KILL_AT_MS);
  killed?.process.child.kill('SIGKILL');
  print(`${deployment.name}: killed ${killed?.name}`);
  await sleepMs(APPLY_AT_MS - KILL_AT_MS);
  const applyStartMs = performance.now();
  const applied = await deployment.apply(25_000);
  print(`${deployment.name}: apply after the node was killed: ${applied}`);
  check(
    applied.startsWith('in force on '),
    `${deployment.name}: a change is in force after a node was killed`,
  );
  const appliedMs = performance.now() - applyStartMs;
  check(
    appliedMs < 16_000,
    `${deployment.name}: the change took ${Math.round(appliedMs)} ms (limit 16000 ms)`,
  );
  await sleepMs(Math.max(0, OUTAGE_AT_MS - APPLY_AT_MS - appliedMs));
  await callControl(deployment.platform, 'faults', { outage: true });
  await sleepMs(OUTAGE_MS);
  await callControl(deployment.platform, 'faults', {});
  print(`${deployment.name}: platform outage of ${OUTAGE_MS} ms`);
  await sleepMs(STOP_AT_MS - OUTAGE_AT_MS - OUTAGE_MS);
  const exitCode = new Promise<number | null>((resolve) => {
    stopped?.process.child.once('exit', (code) => resolve(code));
  });
  stopped?.process.child.kill('SIGTERM');
  const code = await exitCode;
  check(
    code === 0,
    `${deployment.name}: ${stopped?.name} exited with code ${code} after a planned stop`,
  );
};

interface Totals {
  requestsSent: number;
  requestsAnsweredOnce: number;
  requestsUnknown: number;
  nonIdempotentRunTwice: number;
  samplesDelivered: number;
  samplesDuplicated: number;
  samplesLost: number;
  trainerIdleSeconds: number;
  maxStalenessVersions: number;
}

const checkRequests = async (
  deployment: Deployment,
  kinds: readonly RequestKind[],
  reports: readonly CallReport[],
) => {
  const runs = await deployment.serviceRuns();
  const loadStartMs = Math.min(...reports.map(({ startMs }) => startMs));
  const nonIdempotentKinds = new Set(
    kinds.filter((kind) => !kind.idempotent).map(({ name }) => name),
  );
  const keyed = reports.filter(({ kind }) => nonIdempotentKinds.has(kind));
  const ranTwice = keyed.filter(({ runId }) => (runs.get(runId) ?? 0) > 1).length;
  const answered = reports.filter(({ result }) => result === 'answered').length;
  const unknown = keyed.filter(({ result }) => result === 'unknown').length;
  const wrong = reports.filter(({ result }) => result === 'wrong-answer');
  const falseRefusals = keyed.filter(
    ({ runId, result }) => result === 'not-run' && (runs.get(runId) ?? 0) > 0,
  ).length;
  const answeredNotRun = keyed.filter(
    ({ runId, result }) => result === 'answered' && (runs.get(runId) ?? 0) === 0,
  ).length;
  print(`${deployment.name}: ${JSON.stringify(countResults(reports))}`);
  for (const report of reports.filter(({ result }) => result !== 'answered').slice(0, 20)) {
    print(
      `${deployment.name}: ${report.kind} ${report.result} after ${Math.round(report.startMs - loadStartMs)} ms: ${report.detail?.slice(0, 200)}`,
    );
  }
  check(
    wrong.length === 0,
    `${deployment.name}: ${wrong.length} responses that did not belong to the caller's request`,
  );
  check(ranTwice === 0, `${deployment.name}: ${ranTwice} non-idempotent requests ran twice`);
  check(
    falseRefusals === 0,
    `${deployment.name}: ${falseRefusals} requests ran although they were refused as "not-run"`,
  );
  check(
    answeredNotRun === 0,
    `${deployment.name}: ${answeredNotRun} requests answered without a run`,
  );
  check(
    answered + unknown === reports.length,
    `${deployment.name}: ${answered} answered and ${unknown} unknown of ${reports.length} requests`,
  );
  return { sent: reports.length, answered, unknown, ranTwice };
};

const checkSamples = (deployment: Deployment, report: TrainerReport) => {
  const expected = STEPS * GROUPS * SAMPLES_PER_GROUP;
  const uniqueSamples = new Set(
    report.received.map(({ stepId, ordinal }) => `${stepId}/${ordinal}`),
  );
  const duplicated = report.received.length - uniqueSamples.size;
  const lost = expected - uniqueSamples.size;
  check(duplicated === 0, `${deployment.name}: ${duplicated} samples delivered twice`);
  check(lost === 0, `${deployment.name}: ${lost} of ${expected} samples lost`);
  check(report.stepsTrained >= STEPS, `${deployment.name}: ${report.stepsTrained} steps trained`);
  check(
    report.maxStalenessVersions <= 4,
    `${deployment.name}: staleness at most ${report.maxStalenessVersions} versions`,
  );
  return { delivered: report.received.length, duplicated, lost };
};

const runDeployment = async (name: string, totals: Totals): Promise<void> => {
  await using group = new ProcessGroup();
  const deployment = new Deployment(name, group);
  const applied = await deployment.start();
  print(`${name}: ${deployment.nodes.length} nodes; apply: ${applied}`);
  const nodeCount = deployment.nodes.length;
  check(
    applied === `in force on ${nodeCount} of ${nodeCount} nodes at revision 1`,
    `${name}: tables in force`,
  );
  const kinds = DEPLOYMENT_REQUESTS[name] ?? [];
  await callControl(deployment.trainer, 'run', createTrainingRun(deployment));
  const [reports] = await Promise.all([
    runLoad(deployment.entries, kinds, LOAD_MS),
    injectFaults(deployment),
  ]);
  const training = await waitForTraining(deployment);
  const requests = await checkRequests(deployment, kinds, reports);
  const samples = checkSamples(deployment, training);
  Object.assign(totals, {
    requestsSent: totals.requestsSent + requests.sent,
    requestsAnsweredOnce: totals.requestsAnsweredOnce + requests.answered,
    requestsUnknown: totals.requestsUnknown + requests.unknown,
    nonIdempotentRunTwice: totals.nonIdempotentRunTwice + requests.ranTwice,
    samplesDelivered: totals.samplesDelivered + samples.delivered,
    samplesDuplicated: totals.samplesDuplicated + samples.duplicated,
    samplesLost: totals.samplesLost + samples.lost,
    trainerIdleSeconds: totals.trainerIdleSeconds + Math.round(training.idleMs / 100) / 10,
    maxStalenessVersions: Math.max(totals.maxStalenessVersions, training.maxStalenessVersions),
  });
};

const totals: Totals = {
  requestsSent: 0,
  requestsAnsweredOnce: 0,
  requestsUnknown: 0,
  nonIdempotentRunTwice: 0,
  samplesDelivered: 0,
  samplesDuplicated: 0,
  samplesLost: 0,
  trainerIdleSeconds: 0,
  maxStalenessVersions: 0,
};
try {
  await Promise.all(Object.keys(DEPLOYMENT_REQUESTS).map((name) => runDeployment(name, totals)));
} catch (error) {
  check(false, `the demo ran to completion: ${String(error)}`);
}
process.exitCode = failures.length > 0 ? 1 : 0;
console.log(JSON.stringify({ ...totals, checksFailed: failures.length }));
