import { type BatchViewState, mayStartRuns } from '../decisions/batchView.ts';
import type { Logger } from '../observability/logger.ts';

export interface StaleViewGuardOptions {
  readonly logger: Logger;
  readonly pool: string;
  /** Age of the dispatcher's view of the batches, and whether the platform is lost. */
  readonly batchView: () => BatchViewState;
}

/** Holds back new runs while the dispatcher's view of the batches is too old, and logs when this changes. */
export class StaleViewGuard {
  readonly #options: StaleViewGuardOptions;

  /** Starts closed, because there is no view before the first listing. */
  #open = false;

  constructor(options: StaleViewGuardOptions) {
    this.#options = options;
  }

  /** Whether runs may start now. */
  mayStartRuns(): boolean {
    const { logger, pool, batchView } = this.#options;
    const view = batchView();
    const open = mayStartRuns(view);
    if (open !== this.#open) {
      const viewAgeMs = Math.round(view.ageMs);
      logger.info(open ? 'placement-resumed' : 'placement-held', { pool, viewAgeMs });
    }
    this.#open = open;
    return open;
  }
}
