import { type BatchViewState, mayBeginRuns } from '../decisions/batchView.ts';
import type { Logger } from '../observability/logger.ts';

export interface PlacementGateOptions {
  readonly logger: Logger;
  readonly pool: string;
  /** What is known of the age of the view of the batches. */
  readonly batchView: () => BatchViewState;
}

/** Holds back new runs while the view of the batches is too old, and tells when that changes. */
export class PlacementGate {
  readonly #options: PlacementGateOptions;

  /** Closed until the first list. */
  #open = false;

  constructor(options: PlacementGateOptions) {
    this.#options = options;
  }

  /** Whether runs may begin now. */
  mayBegin(): boolean {
    const { logger, pool, batchView } = this.#options;
    const view = batchView();
    const open = mayBeginRuns(view);
    if (open !== this.#open) {
      const viewAgeMs = Math.round(view.ageMs);
      logger.info(open ? 'placement-resumed' : 'placement-held', { pool, viewAgeMs });
    }
    this.#open = open;
    return open;
  }
}
