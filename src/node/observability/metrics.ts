import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from 'prom-client';

/** Metrics of one node. Names contain the unit; labels never contain the name of a worker, request or sample. */
export type Metrics = ReturnType<typeof createMetrics>;

export const createMetrics = () => {
  const registry = new Registry();
  collectDefaultMetrics({ register: registry });
  const registers = [registry];
  return {
    registry,
    requests: new Counter({
      name: 'hyssoppulley_requests_total',
      help: 'Requests answered, by route and outcome',
      labelNames: ['route', 'outcome'],
      registers,
    }),
    requestSeconds: new Histogram({
      name: 'hyssoppulley_request_seconds',
      help: 'Time from admission to the end of the response, by route',
      labelNames: ['route'],
      buckets: [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60],
      registers,
    }),
    attempts: new Counter({
      name: 'hyssoppulley_worker_attempts_total',
      help: 'Attempts sent to workers, by pool and kind (first, retry, resume, hedge)',
      labelNames: ['pool', 'kind'],
      registers,
    }),
    inFlight: new Gauge({
      name: 'hyssoppulley_in_flight_requests',
      help: 'Requests in progress, by pool',
      labelNames: ['pool'],
      registers,
    }),
    queued: new Gauge({
      name: 'hyssoppulley_queued_requests',
      help: 'Requests waiting for a worker, by pool and priority',
      labelNames: ['pool', 'priority'],
      registers,
    }),
    admissionRefusals: new Counter({
      name: 'hyssoppulley_admission_refusals_total',
      help: 'Requests refused before they were sent to a worker, by pool and reason (no-worker, over-budget, queue-full, evicted, account-full, left)',
      labelNames: ['pool', 'reason'],
      registers,
    }),
    requestLimitChanges: new Counter({
      name: 'hyssoppulley_request_limit_changes_total',
      help: 'Changes of the request limits that workers name, by change (named, changed, lifted)',
      labelNames: ['change'],
      registers,
    }),
    dutyCalls: new Counter({
      name: 'hyssoppulley_duty_calls_total',
      help: 'Calls to the control API, by duty, call and result',
      labelNames: ['duty', 'call', 'result'],
      registers,
    }),
    usageWindows: new Counter({
      name: 'hyssoppulley_usage_windows_total',
      help: 'Windows of usage by how this node reported them (in-time, late, skipped)',
      labelNames: ['outcome'],
      registers,
    }),
    usageDropped: new Counter({
      name: 'hyssoppulley_usage_dropped_total',
      help: 'Requests of client accounts that were not counted because a bound was reached',
      registers,
    }),
    dutyHeld: new Gauge({
      name: 'hyssoppulley_duty_held',
      help: 'Whether this node holds a duty (1) or not (0), by duty',
      labelNames: ['duty'],
      registers,
    }),
    permits: new Counter({
      name: 'hyssoppulley_request_permits_total',
      help: 'Permits asked for to send requests to workers with a request limit, by pool and outcome (granted, denied)',
      labelNames: ['pool', 'outcome'],
      registers,
    }),
    workerEnds: new Counter({
      name: 'hyssoppulley_worker_ends_total',
      help: 'Requests under which a worker ended, by pool and whether the request ran as a trial',
      labelNames: ['pool', 'trial'],
      registers,
    }),
    platformCalls: new Counter({
      name: 'hyssoppulley_platform_calls_total',
      help: 'Calls to the platform, by operation',
      labelNames: ['operation'],
      registers,
    }),
    platformCallsRefused: new Counter({
      name: 'hyssoppulley_platform_calls_refused_total',
      help: 'Calls to the platform refused by the call budget of the node, by operation',
      labelNames: ['operation'],
      registers,
    }),
    platformCallsAvailable: new Gauge({
      name: 'hyssoppulley_platform_calls_available',
      help: 'Calls to the platform that the call budget admits without waiting',
      registers,
    }),
    peerCalls: new Counter({
      name: 'hyssoppulley_peer_calls_total',
      help: 'Calls to other nodes, by method and result',
      labelNames: ['method', 'result'],
      registers,
    }),
    revision: new Gauge({
      name: 'hyssoppulley_accepted_revision',
      help: 'Revision of the tables in use on this node',
      registers,
    }),
    batchCalls: new Counter({
      name: 'hyssoppulley_batch_calls_total',
      help: 'Batch API calls, by call (submit, read, read-item, end) and outcome',
      labelNames: ['call', 'outcome'],
      registers,
    }),
    batchCallSeconds: new Histogram({
      name: 'hyssoppulley_batch_call_seconds',
      help: 'Time to answer a batch API call, including waits for results, by call',
      labelNames: ['call'],
      buckets: [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5],
      registers,
    }),
    workerOrders: new Counter({
      name: 'hyssoppulley_worker_orders_total',
      help: 'Orders for workers, by pool and result',
      labelNames: ['pool', 'result'],
      registers,
    }),
    workersNeeded: new Gauge({
      name: 'hyssoppulley_workers_needed',
      help: 'Workers that a pool needs by the last decision, by pool',
      labelNames: ['pool'],
      registers,
    }),
    stepsContend: new Gauge({
      name: 'hyssoppulley_steps_contend',
      help: 'Whether training steps contend for the slots of a pool (1), by pool',
      labelNames: ['pool'],
      registers,
    }),
    itemRuns: new Counter({
      name: 'hyssoppulley_item_runs_total',
      help: 'Item runs on workers, by pool and how they ended',
      labelNames: ['pool', 'end'],
      registers,
    }),
    batchesRemoved: new Counter({
      name: 'hyssoppulley_batches_removed_total',
      help: 'Batches removed after their end (ended) or because their trainers did not come back (unread, bytes)',
      labelNames: ['reason'],
      registers,
    }),
    batchMoves: new Counter({
      name: 'hyssoppulley_batch_moves_total',
      help: 'Moves of open batches to the pool that their route leads to now, by former pool and outcome of the write',
      labelNames: ['pool', 'outcome'],
      registers,
    }),
    itemsHeld: new Gauge({
      name: 'hyssoppulley_items_held',
      help: 'Items of open batches that are at no worker for over 2 s although workers are free, by pool and reason',
      labelNames: ['pool', 'reason'],
      registers,
    }),
    itemRunSeconds: new Histogram({
      name: 'hyssoppulley_item_run_seconds',
      help: 'Duration of one item run on one worker, by pool',
      labelNames: ['pool'],
      buckets: [0.1, 0.25, 0.5, 1, 2, 3, 4, 6, 8, 12],
      registers,
    }),
    weightLoads: new Counter({
      name: 'hyssoppulley_weight_loads_total',
      help: 'Weight loads, by pool and outcome',
      labelNames: ['pool', 'outcome'],
      registers,
    }),
    requestMemoryBytes: new Gauge({
      name: 'hyssoppulley_request_memory_bytes',
      help: 'Memory that callers make the node hold, by use (uploads, responses, decoding)',
      labelNames: ['use'],
      registers,
    }),
    callerConnections: new Gauge({
      name: 'hyssoppulley_caller_connections',
      help: 'Open connections of callers',
      registers,
    }),
    uploadsEnded: new Counter({
      name: 'hyssoppulley_uploads_refused_total',
      help: 'Uploads, responses and connections that were refused or ended to bound memory and descriptors, by reason',
      labelNames: ['reason'],
      registers,
    }),
    invariantViolations: new Counter({
      name: 'hyssoppulley_invariant_violations_total',
      help: 'Invariant violations, by name; any increase indicates a bug',
      labelNames: ['name'],
      registers,
    }),
  };
};
