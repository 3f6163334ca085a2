import type { AdmissionSlot } from '../decisions/admission.ts';
import type { InFlightCounts } from '../decisions/inFlightCounts.ts';
import type { WorkerEndpoint } from '../membership/membershipView.ts';

export interface WorkerChoice {
  /** Names of the prompt's heads, see `prefixKeysOf`. */
  readonly prefixKeys?: readonly string[];
  /** Addresses that were tried already; used again only when no other worker is left. */
  readonly exclude?: ReadonlySet<string>;
}

/** An admitted request. Disposing it returns the slot and the worker. */
export class WorkerSlot implements Disposable {
  readonly #slot: AdmissionSlot;

  readonly #inFlight: InFlightCounts;

  readonly #select: (choice: WorkerChoice) => WorkerEndpoint | undefined;

  #worker: WorkerEndpoint | undefined;

  constructor(
    slot: AdmissionSlot,
    inFlight: InFlightCounts,
    select: (choice: WorkerChoice) => WorkerEndpoint | undefined,
  ) {
    this.#slot = slot;
    this.#inFlight = inFlight;
    this.#select = select;
  }

  /** The worker chosen last. */
  get worker(): WorkerEndpoint | undefined {
    return this.#worker;
  }

  /** Chooses a worker, and leaves the one chosen before. Undefined: no worker takes requests now. */
  choose(choice: WorkerChoice = {}): WorkerEndpoint | undefined {
    this.#releaseWorker();
    this.#worker = this.#select(choice);
    if (this.#worker) this.#inFlight.add(this.#worker.address);
    return this.#worker;
  }

  [Symbol.dispose](): void {
    this.#releaseWorker();
    this.#slot[Symbol.dispose]();
  }

  #releaseWorker(): void {
    if (this.#worker) this.#inFlight.remove(this.#worker.address);
    this.#worker = undefined;
  }
}
