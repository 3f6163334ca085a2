import { pathToFileURL } from 'node:url';
import {
  runStandInProcess,
  sendJson,
  sleepMs,
  startStandIn,
  type StandInHandler,
} from './standInServer.ts';

/** Body of `PUT /control/run`. */
interface TrainingRun {
  /** Caller addresses of entry nodes, used in rotation. */
  entries: string[];
  job: string;
  steps: { stepId: string; groups: { groupId: string; prompt: string }[] }[];
  samplesPerGroup: number;
  maxTokens: number;
  /** Time after which a call is abandoned, in ms. */
  callTimeoutMs: number;
  /** Time to train on a complete step, in ms; new weights are published afterwards. 0: no training. */
  trainMs?: number;
  /** Maximum number of steps that are submitted and not yet complete. Absent: all at once. */
  stepsInFlight?: number;
}

interface CallResult {
  status: number;
  lines: Record<string, unknown>[];
}

/** A sample as received from the node. */
interface ReceivedSample {
  stepId: string;
  ordinal: number;
  position: number;
  ranges: { weightVersion: number }[];
}

/**
 * Stand-in for a trainer: submits steps, keeps one pull outstanding, ignores responses to pulls that timed out, and
 * resubmits steps on request. `GET /control/received` returns every sample that it received, including duplicates.
 */
export const startTrainer = async (port = 0) => {
  const received: ReceivedSample[] = [];
  const state = { cursor: '', pullSequence: 0, turn: 0, voids: 0, stop: false, refused: 0 };
  const training = { version: 1, idleMs: 0, stepsTrained: 0, maxStalenessVersions: 0 };

  const callJob = async (
    run: TrainingRun,
    path: string,
    body: unknown,
  ): Promise<CallResult | undefined> => {
    state.turn += 1;
    const entry = run.entries[state.turn % run.entries.length];
    try {
      const response = await fetch(`http://${entry}/v1/jobs/${run.job}/${path}`, {
        method: 'POST',
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(run.callTimeoutMs),
      });
      const text = await response.text();
      const lines = text.split('\n').filter(Boolean);
      return {
        status: response.status,
        lines: lines.map((line) => JSON.parse(line) as Record<string, unknown>),
      };
    } catch {
      return undefined;
    }
  };

  const submitStep = async (run: TrainingRun, stepId: string) => {
    const step = run.steps.find((candidate) => candidate.stepId === stepId);
    const body = {
      ...step,
      samplesPerGroup: run.samplesPerGroup,
      sampling: { maxTokens: run.maxTokens, seed: 1 },
      deadlineMs: 60_000,
    };
    while (!state.stop) {
      const result = await callJob(run, 'steps', body);
      if (result?.status === 200) return;
      await sleepMs(100);
    }
  };

  const recordLine = (line: Record<string, unknown>) => {
    if (line.void) state.voids += 1;
    else if (line.position !== undefined) {
      const sample = line as unknown as ReceivedSample;
      received.push(sample);
      const oldestVersion = Math.min(...sample.ranges.map(({ weightVersion }) => weightVersion));
      const staleness = training.version - oldestVersion;
      training.maxStalenessVersions = Math.max(training.maxStalenessVersions, staleness);
    }
  };

  const pullSamples = async (run: TrainingRun) => {
    state.pullSequence += 1;
    const { cursor, pullSequence } = state;
    const body = { cursor, pullSequence, maxSamples: 16, waitMs: 500 };
    const result = await callJob(run, 'pull', body);
    const trailer = result?.lines.at(-1);
    if (result?.status === 409 && typeof trailer?.cursor === 'string') {
      state.refused += 1;
      state.cursor = trailer.cursor;
    } else if (result?.status === 200 && typeof trailer?.cursor === 'string') {
      result.lines.slice(0, -1).forEach(recordLine);
      state.cursor = trailer.cursor;
      for (const stepId of (trailer.resubmitSteps ?? []) as string[]) await submitStep(run, stepId);
    } else {
      await sleepMs(50);
    }
  };

  const isStepComplete = (run: TrainingRun, stepId: string): boolean => {
    const groups = run.steps.find((step) => step.stepId === stepId)?.groups.length ?? 0;
    const samples = received.filter((sample) => sample.stepId === stepId);
    return new Set(samples.map(({ ordinal }) => ordinal)).size === groups * run.samplesPerGroup;
  };

  const publishWeights = async (run: TrainingRun) => {
    const body = { version: training.version + 1, uri: `weights/${training.version + 1}` };
    while (!state.stop) {
      const result = await callJob(run, 'weights', body);
      if (result?.status === 200) {
        training.version += 1;
        return;
      }
      await sleepMs(50);
    }
  };

  /** Waits for each step in turn, trains on it, and publishes the resulting weights. */
  const trainSteps = async (run: TrainingRun) => {
    const stepsInFlight = run.stepsInFlight ?? run.steps.length;
    for (const [index, { stepId }] of run.steps.entries()) {
      const idleSinceMs = performance.now();
      while (!state.stop && !isStepComplete(run, stepId)) await pullSamples(run);
      training.idleMs += performance.now() - idleSinceMs;
      const nextStep = run.steps[index + stepsInFlight];
      if (nextStep) await submitStep(run, nextStep.stepId);
      await sleepMs(run.trainMs ?? 0);
      await publishWeights(run);
      training.stepsTrained += 1;
    }
  };

  const startRun = async (run: TrainingRun) => {
    const stepsInFlight = run.stepsInFlight ?? run.steps.length;
    for (const { stepId } of run.steps.slice(0, stepsInFlight)) await submitStep(run, stepId);
    if (run.trainMs) await trainSteps(run);
    while (!state.stop) await pullSamples(run);
  };

  const handler: StandInHandler = (request, response) => {
    const { pathname } = request.url;
    if (pathname === '/control/run') {
      void startRun(JSON.parse(request.body.toString()) as TrainingRun);
      sendJson(response, 200, {});
    } else if (pathname === '/control/stop') {
      state.stop = true;
      sendJson(response, 200, {});
    } else if (pathname === '/control/received') {
      sendJson(response, 200, { ...state, ...training, received });
    } else {
      sendJson(response, 404, {});
    }
  };
  return startStandIn(handler, {}, port);
};

if (import.meta.url === pathToFileURL(process.argv[1] ?? '').href) {
  await runStandInProcess(startTrainer);
}
