import { Counter, Gauge, type Registry } from 'prom-client';

/** Metrics of the training service. The `job` and `pool` labels hold only names from the tables. */
export type TrainingMetrics = ReturnType<typeof createTrainingMetrics>;

export const createTrainingMetrics = (registry: Registry) => {
  const registers = [registry];
  return {
    leasesHeld: new Gauge({
      name: 'hyssoppulley_leases_held',
      help: 'Leases that this node holds, by kind (job, pool)',
      labelNames: ['kind'],
      registers,
    }),
    handedOver: new Counter({
      name: 'hyssoppulley_positions_handed_over_total',
      help: 'Positions answered to trainers, by job and kind (sample, void)',
      labelNames: ['job', 'kind'],
      registers,
    }),
    outOfService: new Gauge({
      name: 'hyssoppulley_workers_out_of_service',
      help: 'Workers left out because they failed to load weights repeatedly, by pool; alert above 0',
      labelNames: ['pool'],
      registers,
    }),
    keptBytes: new Gauge({
      name: 'hyssoppulley_sample_bytes',
      help: 'Bytes of samples and prompts that this node keeps for its jobs',
      registers,
    }),
  };
};
