import type { Clock } from '../../shared/clock.ts';
import type { Random } from '../../shared/random.ts';
import type { EngineApi } from '../dataPath/engineApi.ts';
import type { LeaseState, LeaseTiming } from '../decisions/lease.ts';
import { preferredNode } from '../decisions/rendezvous.ts';
import type { MembershipView, TablesView } from '../membership/membershipView.ts';
import type { Logger } from '../observability/logger.ts';
import type { PlatformClient } from '../platform/platformClient.ts';
import type { ByteBudget } from '../../shared/byteBudget.ts';
import { LeaseManager, type LeaseManagerOptions } from './leaseManager.ts';
import type { TrainingMetrics } from './trainingMetrics.ts';
import type { WeightRecords } from './weightRecords.ts';

/** Dependencies and settings that all jobs and pools of a node share. */
export interface TrainingContext {
  readonly tables: TablesView;
  readonly membership: MembershipView;
  readonly platform: PlatformClient;
  readonly engine: EngineApi;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: TrainingMetrics;
  readonly newOperationId: () => string;
  readonly timing: LeaseTiming;
  readonly budget: ByteBudget;
  readonly records: WeightRecords;
  /** Releases a lease and contends for it again, because its owner failed with an error. */
  readonly restart: (lease: string, error: unknown) => void;
}

/** Creates the `LeaseManager` of a lease. The preferred node contends first, so that ownership spreads over nodes. */
export const createLeaseManager = (
  context: TrainingContext,
  name: string,
  listeners: Pick<LeaseManagerOptions, 'onAcquired' | 'onLost'>,
): LeaseManager => {
  const { membership, timing } = context;
  const { self } = membership;
  const extraWaitMs: ConstructorParameters<typeof LeaseState>[0]['extraWaitMs'] = () => {
    const live = membership.peers().filter(({ suspected, leaving }) => !suspected && !leaving);
    const names = [self.name, ...live.map(({ identity }) => identity.name)];
    return preferredNode(name, names) === self.name ? 0 : timing.ttlMs;
  };
  return new LeaseManager({
    ...context,
    ...listeners,
    name,
    self: {
      holder: self.name,
      incarnation: self.incarnation,
      address: `${self.host}:${self.peerPort}`,
    },
    extraWaitMs,
  });
};
