import { create } from '@bufbuild/protobuf';
import {
  GetNodesResponseSchema,
  GetWorkersResponseSchema,
  SetDrainResponseSchema,
} from '../gen/hyssoppulley/v1/operator_pb.ts';
import type { Membership } from './membership/membership.ts';
import type { Configuration } from './operator/configuration.ts';
import type { OperatorServiceOptions } from './operator/operatorService.ts';

export interface OperatorViewOptions {
  readonly membership: Membership;
  readonly configuration: Configuration;
}

/**
 * Creates the part of `OperatorService` that lists nodes and workers and drains them, based on what this node's
 * membership knows.
 */
export const createOperatorViews = ({
  membership,
  configuration,
}: OperatorViewOptions): Pick<OperatorServiceOptions, 'getNodes' | 'getWorkers' | 'setDrain'> => ({
  getNodes: () => {
    const self = {
      digest: {
        identity: membership.self,
        leaving: membership.leaving,
        acceptedRevision: BigInt(configuration.revisions().acceptedRevision),
      },
      suspected: false,
      lastHeardMs: 0,
    };
    const peers = membership.peers().map((peer) => ({
      digest: {
        identity: peer.identity,
        leaving: peer.leaving,
        acceptedRevision: BigInt(peer.acceptedRevision),
        leases: [...peer.leases],
      },
      suspected: peer.suspected,
      lastHeardMs: Math.floor(peer.lastHeardMs ?? 0),
    }));
    return create(GetNodesResponseSchema, { nodes: [self, ...peers] });
  },
  getWorkers: (pool) => {
    const names = pool ? [pool] : [...(configuration.current()?.pools.keys() ?? [])];
    const workers = names.flatMap((name) =>
      membership.workerStates(name).map((worker) => ({ ...worker, pool: name })),
    );
    return create(GetWorkersResponseSchema, { workers });
  },
  setDrain: async ({ kind, name, drained }) => {
    if (kind !== 'worker' && kind !== 'node') {
      throw new Error(`found kind ${JSON.stringify(kind)}; allowed: worker, node`);
    }
    return create(SetDrainResponseSchema, await membership.setDrain(kind, name, drained));
  },
});
