import { type BatchViewState, mayStartRuns } from '../decisions/batchView.ts';
import type { Logger } from '../observability/logger.ts';

export interface StaleViewGuardOptions {
  readonly logger: Logger;
  readonly pool: string;
  /** Age of the dispatcher's view of the batches, and whether the platform is lost. */
  readonly batchView: () => BatchViewState;
}

/** Prevents new runs while the dispatcher's view of the batches is too old, and logs when this changes. */
export class StaleViewGuard {
  readonly #options: StaleViewGuardOptions;

  /** False at first, because there is no view before the first listing. */
  #wasAllowed = false;

  constructor(options: StaleViewGuardOptions) {
    this.#options = options;
  }

  /** Whether runs may start now. */
  mayStartRuns(): boolean {
    const { logger, pool, batchView } = this.#options;
    const view = batchView();
    const allowed = mayStartRuns(view);
    if (allowed !== this.#wasAllowed) {
      const viewAgeMs = Math.round(view.ageMs);
      logger.info(allowed ? 'placement-resumed' : 'placement-held', { pool, viewAgeMs });
    }
    this.#wasAllowed = allowed;
    return allowed;
  }
}
