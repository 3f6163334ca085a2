import type { RegisteredWorker } from '../gateway/workerRegistry.ts';

/** An order to load a weight version of a model. */
export interface LoadOrder {
  readonly model: string;
  readonly version: number;
  /**
   * Treatment of the model's runs: `finish` before the load, `restart` elsewhere or `continue` under the new version.
   */
  readonly runs: 'finish' | 'restart' | 'continue';
  /** Name of the node that sends the order. */
  readonly holder: string;
  /** Fencing token; it grows with each holder. Workers that support fencing reject a smaller one. */
  readonly fencing: number;
  /** Precondition: number of orders that the worker has accepted so far. Makes a delayed order ineffective. */
  readonly expectedOrders: number;
}

export type OrderResponse =
  /** The worker executes the order. */
  | 'accepted'
  /** The worker already has the version. */
  | 'holds'
  /** Another order is in progress, or the worker has accepted a different number of orders than expected. */
  | 'conflict'
  /** The worker has received an order with a larger fencing token. */
  | 'fenced'
  /** The order is not executed: the worker was not reached, does not know the version yet, or has another id. */
  | 'refused'
  /** No response: the order may still be executed, now or later. */
  | 'unknown';

/** State as reported by a worker, up to some hundred ms old. */
export interface WorkerReport {
  /** Whether an order is in progress. */
  readonly busy: boolean;
  /** Number of orders accepted since the worker's start. */
  readonly orders: number;
  readonly startedAtMs: number;
  /** Loaded weight versions by model. */
  readonly versions: ReadonlyMap<string, number>;
}

/** Calls to model engines. */
export interface OrderCalls {
  order(worker: Pick<RegisteredWorker, 'id' | 'address'>, order: LoadOrder): Promise<OrderResponse>;
  /** Reads the worker's report; undefined if there was no usable response. */
  report(worker: Pick<RegisteredWorker, 'id' | 'address'>): Promise<WorkerReport | undefined>;
}
