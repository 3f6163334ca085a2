import { pathToFileURL } from 'node:url';
import {
  runStandInProcess,
  sendJson,
  sleepMs,
  startStandIn,
  type StandInHandler,
} from './standInServer.ts';

/** What `PUT /control/run` starts. */
interface Run {
  /** Caller addresses of entry nodes, tried in turn. */
  entries: string[];
  job: string;
  steps: { stepId: string; groups: { groupId: string; prompt: string }[] }[];
  samplesPerGroup: number;
  maxTokens: number;
  /** Time after which a call is abandoned, in ms. */
  callTimeoutMs: number;
  /** Time for which a whole step is trained on, in ms; then new weights are published. 0: no training. */
  trainMs?: number;
  /** Steps submitted ahead of the one that is waited for. Absent: all at once. */
  stepsInFlight?: number;
}

interface Answer {
  status: number;
  lines: Record<string, unknown>[];
}

/** A sample as received; kept by the test. */
interface Received {
  stepId: string;
  ordinal: number;
  position: number;
  ranges: { weightVersion: number }[];
}

/**
 * Stand-in of a trainer: submits steps, pulls with one pull outstanding, ignores answers to pulls that it gave up, and
 * submits steps again when asked. `GET /control/received` answers everything that it took, duplicates included.
 */
export const startTrainer = async (port = 0) => {
  const received: Received[] = [];
  const state = { cursor: '', pullSequence: 0, turn: 0, voids: 0, stop: false, refused: 0 };
  const training = { version: 1, idleMs: 0, stepsTrained: 0, maxStalenessVersions: 0 };

  const call = async (run: Run, path: string, body: unknown): Promise<Answer | undefined> => {
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

  const submit = async (run: Run, stepId: string) => {
    const step = run.steps.find((candidate) => candidate.stepId === stepId);
    const body = {
      ...step,
      samplesPerGroup: run.samplesPerGroup,
      sampling: { maxTokens: run.maxTokens, seed: 1 },
      deadlineMs: 60_000,
    };
    while (!state.stop) {
      const answer = await call(run, 'steps', body);
      if (answer?.status === 200) return;
      await sleepMs(100);
    }
  };

  const take = (line: Record<string, unknown>) => {
    if (line.void) state.voids += 1;
    else if (line.position !== undefined) {
      const sample = line as unknown as Received;
      received.push(sample);
      const oldest = Math.min(...sample.ranges.map(({ weightVersion }) => weightVersion));
      const staleness = training.version - oldest;
      training.maxStalenessVersions = Math.max(training.maxStalenessVersions, staleness);
    }
  };

  const pull = async (run: Run) => {
    state.pullSequence += 1;
    const { cursor, pullSequence } = state;
    const body = { cursor, pullSequence, maxSamples: 16, waitMs: 500 };
    const answer = await call(run, 'pull', body);
    const end = answer?.lines.at(-1);
    if (answer?.status === 409 && typeof end?.cursor === 'string') {
      state.refused += 1;
      state.cursor = end.cursor;
    } else if (answer?.status === 200 && typeof end?.cursor === 'string') {
      answer.lines.slice(0, -1).forEach(take);
      state.cursor = end.cursor;
      for (const stepId of (end.resubmitSteps ?? []) as string[]) await submit(run, stepId);
    } else {
      await sleepMs(50);
    }
  };

  const isWhole = (run: Run, stepId: string): boolean => {
    const groups = run.steps.find((step) => step.stepId === stepId)?.groups.length ?? 0;
    const ordinals = received.filter((sample) => sample.stepId === stepId);
    return new Set(ordinals.map(({ ordinal }) => ordinal)).size === groups * run.samplesPerGroup;
  };

  const publish = async (run: Run) => {
    const body = { version: training.version + 1, uri: `weights/${training.version + 1}` };
    while (!state.stop) {
      const answer = await call(run, 'weights', body);
      if (answer?.status === 200) {
        training.version += 1;
        return;
      }
      await sleepMs(50);
    }
  };

  /** Waits for each step in turn, trains on it, and publishes the weights that came out. */
  const trainSteps = async (run: Run) => {
    const ahead = run.stepsInFlight ?? run.steps.length;
    for (const [index, { stepId }] of run.steps.entries()) {
      const idleSinceMs = performance.now();
      while (!state.stop && !isWhole(run, stepId)) await pull(run);
      training.idleMs += performance.now() - idleSinceMs;
      const next = run.steps[index + ahead];
      if (next) await submit(run, next.stepId);
      await sleepMs(run.trainMs ?? 0);
      await publish(run);
      training.stepsTrained += 1;
    }
  };

  const start = async (run: Run) => {
    const ahead = run.stepsInFlight ?? run.steps.length;
    for (const { stepId } of run.steps.slice(0, ahead)) await submit(run, stepId);
    if (run.trainMs) await trainSteps(run);
    while (!state.stop) await pull(run);
  };

  const handler: StandInHandler = (request, response) => {
    const { pathname } = request.url;
    if (pathname === '/control/run') {
      void start(JSON.parse(request.body.toString()) as Run);
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
