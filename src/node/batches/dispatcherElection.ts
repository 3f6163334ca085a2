import { create } from '@bufbuild/protobuf';
import {
  type DispatcherRecord,
  DispatcherRecordSchema,
} from '../../gen/hyssoppulley/v1/batch_pb.ts';
import type { ElectionSubject } from '../election/electionSubject.ts';
import { HolderElection, type HolderElectionOptions } from '../election/holderElection.ts';
import { decodeDispatcher, dispatcherKey, encodeDispatcher } from './batchObjects.ts';

export interface DispatcherElectionOptions extends Omit<
  HolderElectionOptions<DispatcherRecord>,
  'subject'
> {
  readonly pool: string;
}

const dispatcherLeasePrefix = (pool: string): string => `dispatcher/${pool}#`;

/** Lease name by which heartbeats announce that a node dispatches a pool in a given term. */
export const dispatcherLease = (pool: string, term: number): string =>
  `${dispatcherLeasePrefix(pool)}${term}`;

const dispatcherSubject = (pool: string): ElectionSubject<DispatcherRecord> => ({
  name: pool,
  role: 'dispatcher',
  logFields: { pool },
  key: dispatcherKey(pool),
  leasePrefix: dispatcherLeasePrefix(pool),
  create: ({ node, incarnation, host, peerPort, term }) =>
    create(DispatcherRecordSchema, { node, incarnation, host, peerPort, term }),
  encode: encodeDispatcher,
  decode: decodeDispatcher,
});

/** Elects the node that dispatches a pool. */
export class DispatcherElection extends HolderElection<DispatcherRecord> {
  constructor(options: DispatcherElectionOptions) {
    super({ ...options, subject: dispatcherSubject(options.pool) });
  }
}
