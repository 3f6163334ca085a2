import { create, fromJson, type JsonValue, toJson } from '@bufbuild/protobuf';
import { type DutyRecord, DutyRecordSchema } from '../../gen/hyssoppulley/v1/duty_pb.ts';
import type { ElectionSubject } from '../election/electionSubject.ts';
import { HolderElection, type HolderElectionOptions } from '../election/holderElection.ts';
import { DUTIES_PREFIX, DUTY_CHECK_INTERVAL_MS, RELEASE_GRACE_MS } from './constants.ts';
import type { DutyName } from './controlCalls.ts';

export interface DutyElectionOptions extends Omit<HolderElectionOptions<DutyRecord>, 'subject'> {
  readonly duty: DutyName;
}

const dutyLeasePrefix = (duty: DutyName): string => `duty/${duty}#`;

/** Lease name by which heartbeats announce that a node holds a duty in a given term. */
export const dutyLease = (duty: DutyName, term: number): string =>
  `${dutyLeasePrefix(duty)}${term}`;

export const dutyKey = (duty: DutyName): string => `${DUTIES_PREFIX}${duty}`;

const dutySubject = (duty: DutyName): ElectionSubject<DutyRecord> => ({
  name: duty,
  role: 'duty',
  logFields: { duty },
  key: dutyKey(duty),
  leasePrefix: dutyLeasePrefix(duty),
  create: ({ node, incarnation, host, peerPort, term, released = false }) =>
    create(DutyRecordSchema, { node, incarnation, host, peerPort, term, released }),
  encode: (record) => toJson(DutyRecordSchema, record),
  decode: (value) => fromJson(DutyRecordSchema, value as JsonValue, { ignoreUnknownFields: true }),
  releaseGraceMs: RELEASE_GRACE_MS,
  // A call every few seconds bears a later take-over than the items of a pool do, and small VMs bear fewer checks.
  checkIntervalMs: DUTY_CHECK_INTERVAL_MS,
});

/** Elects the node that performs a duty. */
export class DutyElection extends HolderElection<DutyRecord> {
  constructor(options: DutyElectionOptions) {
    super({ ...options, subject: dutySubject(options.duty) });
  }
}
