import { Protocol } from '../../gen/hyssoppulley/v1/tables_pb.ts';
import type { Clock } from '../../shared/clock.ts';
import type { Random } from '../../shared/random.ts';
import { InFlightCounts } from '../decisions/inFlightCounts.ts';
import { selectWorkerByDefault, type WorkerSelector } from '../decisions/workerSelection.ts';
import type {
  MembershipView,
  TablesView,
  WorkerEndpoint,
  WorkerHealthReporter,
} from '../membership/membershipView.ts';
import type { Logger } from '../observability/logger.ts';
import type { Metrics } from '../observability/metrics.ts';
import { noTracing, type Tracing } from '../observability/tracing.ts';
import { AdmissionController } from './admissionController.ts';
import { COMPLETIONS_PATH } from './enginePaths.ts';
import { EngineClient } from './engineClient.ts';
import { GenerationHandler, type ResumptionFactory } from './generationHandler.ts';
import { PrefixHints } from './prefixHints.ts';
import type { RequestContext } from './requestContext.ts';
import { type NonIdempotentHandler, RequestRouter } from './requestRouter.ts';
import { readServiceLoad } from './serviceLoad.ts';
import { ServiceHandler } from './serviceHandler.ts';
import { WorkerHttpClient } from './workerHttpClient.ts';
import { WorkerLoads } from './workerLoads.ts';

export interface DataPathOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly tables: TablesView;
  readonly membership: MembershipView;
  readonly metrics: Metrics;
  readonly logger: Logger;
  /** Limit on the requests in progress or queued on this node. */
  readonly maxConcurrent: number;
  /** Time without progress of a response after which its worker is probed, in ms. */
  readonly streamIdleMs: number;
  /** @default noTracing */
  readonly tracing?: Tracing;
  /** @default selectWorkerByDefault */
  readonly selectWorker?: WorkerSelector;
  /** See `RequestRouterOptions`. */
  readonly handleNonIdempotent?: NonIdempotentHandler;
  /** See `GenerationHandlerOptions`. */
  readonly createResumption?: ResumptionFactory;
  /** See `WorkerLoadsOptions`. */
  readonly workerReports?: WorkerHealthReporter;
}

/** The components of one node that carry requests from callers to workers. */
export interface DataPath extends Disposable {
  readonly router: RequestRouter;
  readonly engines: EngineClient;
  readonly admission: AdmissionController;
  readonly loads: WorkerLoads;
  readonly http: WorkerHttpClient;
}

/** Creates and connects the components. Polling of the workers begins with `loads.start()`. */
export const createDataPath = (options: DataPathOptions): DataPath => {
  const { clock, logger, metrics, streamIdleMs } = options;
  const { selectWorker = selectWorkerByDefault, tracing = noTracing } = options;
  const http = new WorkerHttpClient(clock);
  const engines = new EngineClient({ http, clock, streamIdleMs });
  const inFlight = new InFlightCounts();
  const loads = new WorkerLoads({
    ...options,
    engines,
    http,
    inFlight,
    // eslint-disable-next-line @typescript-eslint/no-use-before-define
    onReport: (pool) => admission.poolChanged(pool),
  });
  const admission = new AdmissionController({
    ...options,
    selectWorker,
    loads,
    inFlight,
    prefixHints: new PrefixHints(),
  });
  const shared = { clock, logger, metrics, tracing };
  const onRefused = ({ address }: WorkerEndpoint) => loads.recordRefusedConnection(address);
  const generationHandler = new GenerationHandler({
    ...shared,
    engines,
    onRefused,
    createResumption: options.createResumption,
  });
  const streamIdOf = (context: RequestContext) => `${context.id}-${context.gate.attempts}`;
  const isEngine = ({ pool }: RequestContext) => pool.protocol === Protocol.MODEL_ENGINE;
  const serviceHandler = new ServiceHandler({
    ...shared,
    http,
    idleMs: streamIdleMs,
    onRefused,
    probe: async (context, worker) => {
      if (!isEngine(context)) return (await readServiceLoad(http, worker, true)) !== undefined;
      return context.request.url === COMPLETIONS_PATH
        ? engines.isWorkingOn(worker, streamIdOf(context))
        : engines.isReachable(worker);
    },
    extraHeaders: (context) =>
      isEngine(context)
        ? { 'x-request-id': streamIdOf(context), 'x-priority': context.priority }
        : {},
  });
  const router = new RequestRouter({
    ...shared,
    random: options.random,
    tables: options.tables,
    membership: options.membership,
    admission,
    serviceHandler,
    generationHandler,
    handleNonIdempotent: options.handleNonIdempotent,
  });
  return {
    router,
    engines,
    admission,
    loads,
    http,
    [Symbol.dispose]: () => {
      loads[Symbol.dispose]();
      http[Symbol.dispose]();
    },
  };
};
