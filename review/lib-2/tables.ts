/** Host of all routes. */
export const ROUTE_HOST = 'review.example';

const route = (kind: string, prefix: string, service: string) => ({
  ...{ name: prefix, host: ROUTE_HOST, 'path-prefix': prefix, kind, service },
  ...{ 'timeout-ms': 10_000, 'target-latency-ms': 400, 'max-attempts': 3, priority: 1 },
});

/** A desired state with a plain route, one for requests that must not be repeated, and one for batch submissions. */
export const desiredState = (version: number) => ({
  version,
  routes: [
    route('idempotent', '/again/', 'desk'),
    route('non_idempotent', '/once/', 'desk'),
    { ...route('rollout', '/lot/', 'engine'), 'result-deadline-ms': 30_000, 'item-ttl-s': 100 },
    // Each version adds a route, so that it can be seen which one is in force.
    ...Array.from({ length: version }, (_, index) =>
      route('idempotent', `/r${index + 1}/`, 'desk'),
    ),
  ],
  services: [
    { name: 'desk', 'max-connections': 130 },
    {
      ...{ name: 'engine', 'max-connections': 130 },
      engine: { slots: 8, 'kv-cache-tokens': 100_000, stride: 1, models: [{ name: 'model' }] },
    },
  ],
  limits: {
    ...{ 'max-header-bytes': 16_384, 'max-body-bytes': 33_554_432 },
    ...{ 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000 },
  },
});
