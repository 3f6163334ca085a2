import { HOST } from './calls.ts';

export interface BatchResult {
  readonly id: string;
  readonly state: 'completed' | 'dead';
  readonly text: string;
}

export interface BatchPage {
  readonly total: number;
  readonly results: readonly BatchResult[];
}

export interface ItemOptions {
  /** Ids of the item, its reward call and its group begin with these. */
  readonly prefix: string;
  readonly index: number;
  /** Events of the item's whole output. */
  readonly events: number;
  /** Prefix of the id of the reward call, which is new with each submission. @default `prefix` */
  readonly scorePrefix?: string;
}

/** An item; four successive ones form a group. */
export const makeItem = ({ prefix, index, events, scorePrefix = prefix }: ItemOptions) => {
  const group = `${prefix}g${Math.floor(index / 4)}`;
  const scoreId = `${scorePrefix}s${index}`;
  return {
    id: `${prefix}i${index}`,
    path: `/items/${prefix}i${index}`,
    headers: {
      'X-Model': 'model',
      'X-Token-Counts': `200,${events * 40}`,
      'X-Prompt-Prefix': `${group}:160,${prefix}i${index}:40`,
    },
    body: Buffer.from(JSON.stringify({ events })).toString('base64'),
    tokens: 200 + events * 40,
    group,
    'scoring-endpoint': {
      ...{ id: scoreId, host: HOST, path: `/score/${scoreId}` },
      body: Buffer.from('score').toString('base64'),
    },
  };
};

/** A batch submission of a trainer that waits for all groups and takes any version. */
export const makeBatch = (items: readonly ReturnType<typeof makeItem>[], step = 0) => ({
  ...{ step, model: 'model', 'min-version': 1 },
  desired: new Set(items.map(({ group }) => group)).size,
  items,
});

/** Items with the given number of events each. */
export const makeItems = (prefix: string, eventCounts: readonly number[]) =>
  eventCounts.map((events, index) => makeItem({ prefix, index, events }));

export interface ConfigOptions {
  readonly version: number;
  /** Service of the rollout route. */
  readonly rolloutService: string;
  /** Services of model workers. */
  readonly modelServices: readonly string[];
  readonly singleVersion?: boolean;
  /** `max-attempts` of the route for reward calls. @default 3 */
  readonly rewardAttempts?: number;
}

/** A desired state with a rollout route and a route for reward calls. */
export const makeConfig = ({
  version,
  rolloutService,
  modelServices,
  singleVersion = false,
  rewardAttempts = 3,
}: ConfigOptions) => {
  const route = (name: string, kind: string, service: string) => ({
    ...{ name, host: HOST, 'path-prefix': `/${name}/`, kind, service },
    ...{ 'timeout-ms': 10_000, 'target-latency-ms': 400, 'max-attempts': 3, priority: 1 },
  });
  return {
    version,
    routes: [
      {
        ...route('rollout', 'rollout', rolloutService),
        ...{ 'result-deadline-ms': 40_000, 'item-ttl-s': 60, 'single-version': singleVersion },
      },
      { ...route('score', 'idempotent', 'reward'), 'max-attempts': rewardAttempts },
    ],
    services: [
      ...modelServices.map((name) => ({
        ...{ name, 'max-connections': 130 },
        engine: { slots: 2, 'kv-cache-tokens': 76_901, stride: 40, models: [{ name: 'model' }] },
      })),
      { name: 'reward', 'max-connections': 96 },
    ],
    limits: {
      ...{ 'max-header-bytes': 16_384, 'max-body-bytes': 33_554_432 },
      ...{ 'header-timeout-ms': 5000, 'idle-timeout-ms': 60_000 },
    },
  };
};
