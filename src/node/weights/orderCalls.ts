import type { RegisteredWorker } from '../gateway/workerRegistry.ts';

/** An order to load a weight version of a model. */
export interface LoadOrder {
  readonly model: string;
  readonly version: number;
  /** What becomes of the model's runs: `finish` first, `restart` elsewhere, or `continue` under the new version. */
  readonly runs: 'finish' | 'restart' | 'continue';
  /** Name of the ordering node. */
  readonly holder: string;
  /** Grows with each holder; workers that look at it refuse a smaller one. */
  readonly fencing: number;
  /** Orders that the worker must have taken so far; an order that arrives late then does nothing. */
  readonly expectedOrders: number;
}

export type OrderAnswer =
  /** The worker carries the order out. */
  | 'accepted'
  /** The worker has the version already. */
  | 'holds'
  /** Another order is in progress, or the worker has taken another number of orders. */
  | 'conflict'
  /** A later holder has given orders. */
  | 'fenced'
  /** The worker cannot take the order: it does not know the version yet, or is another one. */
  | 'refused'
  /** No answer: the order may be carried out, also later. */
  | 'unknown';

/** State of a worker by its own word, some hundred ms old. */
export interface WorkerReport {
  /** An order is in progress. */
  readonly busy: boolean;
  /** Orders taken since the worker's start. */
  readonly orders: number;
  readonly startedAtMs: number;
  readonly versions: ReadonlyMap<string, number>;
}

/** Orders and reports of model engines. */
export interface OrderCalls {
  order(worker: Pick<RegisteredWorker, 'id' | 'address'>, order: LoadOrder): Promise<OrderAnswer>;
  /** Undefined when the worker gave no usable answer. */
  report(worker: Pick<RegisteredWorker, 'id' | 'address'>): Promise<WorkerReport | undefined>;
}
