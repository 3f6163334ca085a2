import type { AdmissionSlot } from '../decisions/admission.ts';
import type { InFlightCounts } from '../decisions/inFlightCounts.ts';
import type { WorkerEndpoint } from '../membership/membershipView.ts';

/** Preferences for the choice of a worker. */
export interface WorkerChoice {
  /** Hash keys of the prompt's prefixes, see `prefixKeysOf`. */
  readonly prefixKeys?: readonly string[];
  /** Addresses of workers to avoid; they are chosen only when no other worker is usable. */
  readonly exclude?: ReadonlySet<string>;
}

/** The admission slot of a request and its current worker. Disposing releases both. */
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

  /** The worker that was chosen last. */
  get worker(): WorkerEndpoint | undefined {
    return this.#worker;
  }

  /** Chooses a worker and releases the previous one. Returns undefined when no worker is available. */
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
