import type { LoadedModel, RegisteredWorker } from '../gateway/workerRegistry.ts';

/** What is known of the weights of one start of a worker. */
export class WorkerWeights {
  readonly startedAtMs: number;

  readonly #versions: Map<string, number>;

  #orders: number | undefined;

  #loading: string | undefined;

  #accepted = false;

  constructor({ startedAtMs, models }: RegisteredWorker) {
    this.startedAtMs = startedAtMs;
    this.#versions = new Map(models.map(({ name, version }) => [name, version]));
  }

  /** Version of a model; undefined: the worker does not have the model. */
  versionOf(model: string): number | undefined {
    return this.#versions.get(model);
  }

  /** Orders that the worker has taken since its start; undefined: not known. */
  get orders(): number | undefined {
    return this.#orders;
  }

  /** Model of the load in progress. */
  get loading(): string | undefined {
    return this.#loading;
  }

  /** Takes in a registration. It lags, so it never lowers a version. */
  registered(models: readonly LoadedModel[]): void {
    for (const { name, version } of models) {
      if (version > (this.#versions.get(name) ?? 0)) this.#versions.set(name, version);
    }
  }

  /** The worker has this version by its own word. */
  observe(model: string, version: number): void {
    this.#versions.set(model, version);
  }

  countedOrders(orders: number): void {
    this.#orders = orders;
  }

  /** The worker has accepted the order of the load in progress. */
  get accepted(): boolean {
    return this.#accepted;
  }

  beginLoad(model: string): void {
    this.#loading = model;
  }

  acceptLoad(): void {
    this.#accepted = true;
  }

  endLoad(): void {
    this.#loading = undefined;
    this.#accepted = false;
  }
}
