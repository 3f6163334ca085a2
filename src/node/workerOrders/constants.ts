/** Name of the duty whose holder orders workers. */
export const WORKER_ORDERS_DUTY = 'worker-orders';

/** Interval between reports of the demand, in ms: a quarter of a training step. */
export const DEMAND_REPORT_INTERVAL_MS = 1000;

/** Interval between decisions, in ms: as often as the demand is reported. */
export const DECISION_INTERVAL_MS = 1000;
