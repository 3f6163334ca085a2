import { Counter, Gauge, Histogram, type Registry } from 'prom-client';

/** Current sizes of the key state of a node. */
export interface KeyedSizes {
  readonly records: number;
  readonly keptBytes: number;
  readonly witnessEntries: number;
}

export type KeyedMetrics = ReturnType<typeof createKeyedMetrics>;

/** @param sizes - called at each scrape */
export const createKeyedMetrics = (registry: Registry, sizes: () => KeyedSizes) => {
  const registers = [registry];
  const gauge = (name: string, help: string, read: () => number) =>
    new Gauge({
      name,
      help,
      registers,
      collect() {
        this.set(read());
      },
    });
  gauge('hyssoppulley_key_records', 'Records of keyed requests', () => sizes().records);
  gauge('hyssoppulley_kept_answer_bytes', 'Bytes of answers kept for repeats', () =>
    Math.max(0, sizes().keptBytes),
  );
  gauge(
    'hyssoppulley_witness_entries',
    'Grants and seals remembered for other nodes',
    () => sizes().witnessEntries,
  );
  return {
    requests: new Counter({
      name: 'hyssoppulley_keyed_requests_total',
      help: 'Requests on non-idempotent routes settled by this home, by outcome and cause',
      labelNames: ['outcome', 'cause'],
      registers,
    }),
    repeats: new Counter({
      name: 'hyssoppulley_keyed_repeats_total',
      help: 'Repeats that were answered with an earlier answer',
      registers,
    }),
    silentHomes: new Counter({
      name: 'hyssoppulley_keyed_silent_homes_total',
      help: 'Forwarded requests whose home did not answer, by what their caller was told',
      labelNames: ['outcome'],
      registers,
    }),
    grantSeconds: new Histogram({
      name: 'hyssoppulley_key_grant_seconds',
      help: 'Time until the witness answered a grant',
      buckets: [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5],
      registers,
    }),
  };
};
