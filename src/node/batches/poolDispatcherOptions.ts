import type { ItemProgress } from '../../gen/hyssoppulley/v1/batch_pb.ts';
import type { Clock } from '../../shared/clock.ts';
import type { Random } from '../../shared/random.ts';
import type { RequestLimits } from '../decisions/requestLimits.ts';
import type { EnginePool } from '../gateway/gatewayTables.ts';
import type { WorkerRegistry } from '../gateway/workerRegistry.ts';
import type { RequestPermits } from '../limits/requestPermits.ts';
import type { Logger } from '../observability/logger.ts';
import type { Metrics } from '../observability/metrics.ts';
import type { CallPriority, PlatformClient } from '../platform/platformClient.ts';
import type { WeightLoads } from '../weights/weightLoads.ts';
import type { ContentMemory } from './contents/contentMemory.ts';
import type { ItemBodies } from './contents/itemBodies.ts';
import type { GenerationCalls } from './generationCalls.ts';
import type { ItemScorer } from './itemScorer.ts';
import type { PartialTextCache } from './partialTextCache.ts';
import type { StaleViewGuardOptions } from './staleViewGuard.ts';
import type { SuspectedItemsOptions } from './suspectedItems.ts';

export interface PoolDispatcherOptions {
  readonly pool: string;
  readonly term: number;
  /** Incarnation of this node. */
  readonly writer: string;
  readonly platform: PlatformClient;
  /** Maximum size of a stored object's value, in bytes. */
  readonly maxValueBytes: number;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Pick<Metrics, 'itemRuns' | 'itemRunSeconds' | 'itemsHeld' | 'stepsContend'>;
  readonly registry: WorkerRegistry;
  readonly limits: RequestLimits;
  readonly permits: Pick<RequestPermits, 'obtain'>;
  readonly poison: SuspectedItemsOptions['poison'];
  readonly engine: () => EnginePool | undefined;
  /** Whether the tables hold client accounts. @default never */
  readonly hasAccounts?: () => boolean;
  readonly calls: GenerationCalls;
  readonly scorer: ItemScorer;
  readonly weights: WeightLoads;
  /** Newest published weight version of a model. */
  readonly newestVersion: (model: string) => number;
  /** Maximum number of workers that load weights at the same time. @default `loadLimitOf` the pool */
  readonly maxLoading?: number;
  readonly partialTexts: PartialTextCache;
  readonly memory: ContentMemory;
  /** The large bodies of the items. Those of a batch are added before the batch. */
  readonly bodies: ItemBodies;
  readonly batchView: StaleViewGuardOptions['batchView'];
  /** Called when another node has taken over the pool. */
  readonly onSuperseded: () => void;
}

/** How a batch is added to a dispatcher. */
export interface AddOptions {
  /**
   * Whether a former dispatcher may have run items of the batch.
   *
   * @default false
   */
  readonly takeOver?: boolean;
  /** Progress that the former dispatcher handed over. @default none */
  readonly progress?: readonly ItemProgress[] | undefined;
  /** Aborted when the batch must not be added any more. */
  readonly signal?: AbortSignal;
  /** Priority of the calls that read what former dispatchers have stored. @default normal */
  readonly priority?: CallPriority;
}
