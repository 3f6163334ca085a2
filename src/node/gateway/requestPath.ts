import type { Clock } from '../../shared/clock.ts';
import type { DisposableStore } from '../../shared/disposableStore.ts';
import type { Random } from '../../shared/random.ts';
import type { ResponseMemory } from '../dataPath/responseMemory.ts';
import type { RequestLimits } from '../decisions/requestLimits.ts';
import { RequestPermits } from '../limits/requestPermits.ts';
import type { MembershipView } from '../membership/membershipView.ts';
import type { PeerClients } from '../membership/peerClients.ts';
import type { Logger } from '../observability/logger.ts';
import type { Metrics } from '../observability/metrics.ts';
import { PoisonExchange } from '../poison/poisonExchange.ts';
import { PoisonGuard } from '../poison/poisonGuard.ts';
import type { UsageCounter } from '../usage/usageCounter.ts';
import type { GatewayAdapter } from './adapter.ts';
import { AdmissionGate } from './admissionGate.ts';
import { Forwarder } from './forwarder.ts';
import { LoadBalancer } from './loadBalancer.ts';
import { StreamForwarder } from './streamForwarder.ts';
import type { TablesFollower } from './tablesFollower.ts';
import { WorkerAttempts } from './workerAttempts.ts';
import type { WorkerRegistry } from './workerRegistry.ts';

export interface RequestPathOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly registry: WorkerRegistry;
  readonly limits: RequestLimits;
  readonly view: MembershipView & { readonly leaving: boolean };
  readonly peerClients: PeerClients;
  readonly adapter: Pick<GatewayAdapter, 'workerCalls' | 'eventVersionField'>;
  readonly tables: TablesFollower;
  readonly availabilityZone: string;
  readonly usage: Pick<UsageCounter, 'startAttempt'> | undefined;
  readonly responseMemory: ResponseMemory;
}

/** Creates what requests of callers pass on their way to a worker. `store` disposes of it. */
export const createRequestPath = (options: RequestPathOptions, store: DisposableStore) => {
  const { clock, random, logger, metrics, registry, limits, view, peerClients } = options;
  const { adapter, tables, availabilityZone, usage, responseMemory } = options;
  const loadBalancer = new LoadBalancer({ clock, random, registry, availabilityZone });
  const permits = new RequestPermits({
    ...{ clock, logger, metrics, limits, registry, view },
    call: (node, request, timeoutMs) =>
      peerClients.permits(node).issuePermits(request, { timeoutMs }),
  });
  const isMostUrgent = (priority: number, pool: string) =>
    priority <= tables.mostUrgentPriority(pool);
  const poison = new PoisonGuard({
    ...{ clock, logger, metrics, random },
    workersOf: (pool) => registry.usable(pool),
    isLeaving: (worker) => registry.find(worker)?.draining ?? true,
  });
  const poisonExchange = store.add(
    new PoisonExchange({
      ...{ clock, random, logger, guard: poison, view },
      call: (node, request, timeoutMs) => peerClients.poison(node).exchange(request, { timeoutMs }),
    }),
  );
  const attempts = new WorkerAttempts({
    ...{ clock, logger, loadBalancer, limits, permits, poison, isMostUrgent },
    ...{ usage, responseMemory },
    calls: adapter.workerCalls,
  });
  const admission = store.add(
    new AdmissionGate({
      ...{ clock, random, logger, metrics, loadBalancer, isMostUrgent },
      isShared: (pool) => tables.tables?.pools.get(pool)?.engine === undefined,
    }),
  );
  const forwarder = new Forwarder({ clock, loadBalancer, attempts, admission });
  const streamForwarder = new StreamForwarder({
    ...{ clock, loadBalancer, attempts, admission },
    versionField: adapter.eventVersionField,
  });
  return { loadBalancer, permits, poison, poisonExchange, admission, forwarder, streamForwarder };
};
