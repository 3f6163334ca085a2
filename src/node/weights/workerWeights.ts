import type { LoadedModel, RegisteredWorker } from '../gateway/workerRegistry.ts';

/** Known weight versions and load state of one worker process, identified by its start time. */
export class WorkerWeights {
  readonly startedAtMs: number;

  readonly #versions: Map<string, number>;

  #orders: number | undefined;

  #loadingModel: string | undefined;

  #isAccepted = false;

  constructor({ startedAtMs, models }: RegisteredWorker) {
    this.startedAtMs = startedAtMs;
    this.#versions = new Map(models.map(({ name, version }) => [name, version]));
  }

  /** Version of a model; undefined if the worker does not have the model. */
  versionOf(model: string): number | undefined {
    return this.#versions.get(model);
  }

  /** Number of orders that the worker has accepted since its start; undefined while unknown. */
  get orders(): number | undefined {
    return this.#orders;
  }

  /** Model of the load in progress; undefined if there is none. */
  get loadingModel(): string | undefined {
    return this.#loadingModel;
  }

  /** Merges the versions of a registration. Registrations lag, so they never lower a version. */
  mergeRegistration(models: readonly LoadedModel[]): void {
    for (const { name, version } of models) {
      if (version > (this.#versions.get(name) ?? 0)) this.#versions.set(name, version);
    }
  }

  /** Sets the version that the worker itself reported. */
  observe(model: string, version: number): void {
    this.#versions.set(model, version);
  }

  setOrderCount(orders: number): void {
    this.#orders = orders;
  }

  /** Whether the worker has accepted the order of the load in progress. */
  get isAccepted(): boolean {
    return this.#isAccepted;
  }

  beginLoad(model: string): void {
    this.#loadingModel = model;
  }

  acceptLoad(): void {
    this.#isAccepted = true;
  }

  endLoad(): void {
    this.#loadingModel = undefined;
    this.#isAccepted = false;
  }
}
