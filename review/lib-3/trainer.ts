import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Deployment, Machine } from './deployment.ts';
import { call } from './servers.ts';

export const HOST = 'ficu95.example';
export const MODEL = 'daka510000';
export const POOL = 'huvo11a';
export const PREFIX = '/pule252/';

/** Time that a client waits for the answer to a submission, and between two attempts, in ms. */
const ANSWER_MS = 2500;
const RETRY_MS = 200;

export interface Item {
  readonly id: string;
  readonly body: Buffer;
}

/** A result as listed. */
export interface Result {
  readonly id: string;
  readonly state: string;
  readonly text: string;
}

/** A batch submission of a trainer. */
export interface Lot {
  readonly id: string;
  readonly items: readonly Item[];
  /** When it was first submitted, in ms since the start of the deployment. */
  readonly submittedMs: number;
  readonly results: Result[];
}

/** The first desired state: a route for batch submissions that leads to one service of engines. */
export const desiredState = (slots: number, resultDeadlineMs = 7500, models = [MODEL]) => ({
  version: 1,
  routes: [
    {
      ...{ name: 'r-lots', host: HOST, 'path-prefix': PREFIX, kind: 'rollout', service: POOL },
      ...{ 'timeout-ms': 10_000, 'target-latency-ms': 400, 'result-deadline-ms': resultDeadlineMs },
      ...{ 'max-attempts': 3, 'item-ttl-s': 60, priority: 1 },
    },
  ],
  services: [
    {
      ...{ name: POOL, 'health-path': '/health', 'max-connections': 130 },
      engine: {
        slots,
        'kv-cache-tokens': 76_901,
        stride: 46,
        models: models.map((name) => ({ name })),
      },
    },
  ],
  limits: {
    ...{ 'max-header-bytes': 16_384, 'max-body-bytes': 33_554_432 },
    ...{ 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000 },
  },
});

/** Items of groups of four. */
export const newItems = (count: number, bodyBytes: number): Item[] =>
  Array.from({ length: count }, () => ({
    id: randomUUID().replaceAll('-', '').slice(0, 16),
    body: Buffer.alloc(bodyBytes, 7),
  }));

/** A step of a trainer. */
export interface Step {
  readonly items: readonly Item[];
  /** Largest number of tokens of an item's output. */
  readonly maxTokens: number;
  readonly model?: string;
  readonly step?: number;
  readonly minVersion?: number;
}

const encode = ({ items, maxTokens, model = MODEL, step = 0, minVersion = 1 }: Step): Buffer =>
  Buffer.from(
    JSON.stringify({
      ...{ step, model, 'min-version': minVersion, desired: Math.ceil(items.length / 4) },
      items: items.map(({ id, body }, index) => ({
        ...{ id, path: `${PREFIX}0/${id}`, body: body.toString('base64'), tokens: 16 + maxTokens },
        headers: { 'X-Model': model, 'X-Token-Counts': `16,${maxTokens}` },
        group: `g${Math.floor(index / 4)}`,
      })),
    }),
  );

/** Submits a step until it is accepted, each time at the next machine. */
export const submit = async (
  deployment: Deployment,
  machines: readonly Machine[],
  step: Step,
): Promise<Lot> => {
  const id = randomUUID().replaceAll('-', '').slice(0, 16);
  const { items } = step;
  const body = encode(step);
  const submittedMs = deployment.nowMs;
  for (let tries = 0; ; tries += 1) {
    const machine = machines[tries % machines.length];
    if (machine === undefined || tries > 40) throw new Error(`lot ${id} is not accepted`);
    const headers = { host: HOST, 'x-request-id': id, 'content-type': 'application/json' };
    const answer = await call(deployment.front(machine), `${PREFIX}${id}`, {
      ...{ method: 'POST', headers, body, timeoutMs: ANSWER_MS },
    });
    const status = answer?.statusCode ?? 'no answer';
    deployment.record(
      `lot ${id}: ${items.length} items, ${body.length} bytes, submitted at ${machine.name}: ${status}`,
    );
    if (status === 202) return { id, items, submittedMs, results: [] };
    await sleep(RETRY_MS);
  }
};

/** Reads the results from the last position on. */
export const readOn = async (
  deployment: Deployment,
  machine: Machine,
  lot: Lot,
): Promise<number | undefined> => {
  const answer = await call(
    deployment.front(machine),
    `/lots/${lot.id}?after=${lot.results.length}`,
    { headers: { host: HOST } },
  );
  if (answer?.statusCode === 200) {
    const { results } = JSON.parse(answer.body.toString()) as { results: Result[] };
    lot.results.push(...results);
  }
  return answer?.statusCode;
};

/** Ends a batch submission, at each machine in turn until one confirms it. @returns the last status */
export const end = async (
  deployment: Deployment,
  machines: readonly Machine[],
  { id }: Lot,
): Promise<number | undefined> => {
  let status: number | undefined;
  for (const machine of [...machines, ...machines]) {
    const headers = { host: HOST };
    const answer = await call(deployment.front(machine), `/lots/${id}`, {
      ...{ method: 'DELETE', headers },
    });
    status = answer?.statusCode;
    if (status === 200) break;
    await sleep(RETRY_MS);
  }
  return status;
};
