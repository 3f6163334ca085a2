import { type Clock, Stopwatch } from '../../../shared/clock.ts';

interface Contact {
  readonly known: Stopwatch;
  unread: Stopwatch;
}

/** Tracks when the trainers of a dispatcher's batches last gave a sign of themselves. */
export class BatchContacts {
  readonly #clock: Clock;

  readonly #contacts = new Map<string, Contact>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records that a batch is known from now on. */
  add(batchId: string): void {
    const known = new Stopwatch(this.#clock);
    this.#contacts.set(batchId, { known, unread: known });
  }

  /** Records that the trainer of a batch, if the batch is known, has read it or submitted it again. */
  record(batchId: string): void {
    const contact = this.#contacts.get(batchId);
    if (contact !== undefined) contact.unread = new Stopwatch(this.#clock);
  }

  remove(batchId: string): void {
    this.#contacts.delete(batchId);
  }

  /** Times since a batch became known and since the last sign of its trainer, in ms; 0 for an unknown batch. */
  of(batchId: string): { readonly knownMs: number; readonly unreadMs: number } {
    const contact = this.#contacts.get(batchId);
    return {
      knownMs: contact?.known.minElapsedMs() ?? 0,
      unreadMs: contact?.unread.minElapsedMs() ?? 0,
    };
  }
}
