import type { JsonValue } from '@bufbuild/protobuf';

/** Key of the platform object that holds the accepted tables and the proposal. */
export const HEAD_KEY = 'config/head';

/** Number of accepted revisions in the head's history, from which a repeated operation gets its original result. */
export const MAX_HISTORY = 50;

/** A revision of the configuration: a document that contains both tables. */
export interface RevisionRecord {
  readonly revision: number;
  /** Identifies the change; chosen by the operator's command-line tool. */
  readonly operationId: string;
  /** SHA-256 of the tables. */
  readonly digest: string;
  readonly tables: JsonValue;
}

/** The node that coordinates a change. */
export interface Coordinator {
  readonly name: string;
  readonly incarnation: string;
}

/** A revision that is not accepted yet. Only its coordinator can accept it. */
export interface Proposal extends RevisionRecord {
  readonly coordinator: Coordinator;
}

/** Entry of the head's history for an accepted revision. */
export interface HistoryRecord {
  readonly revision: number;
  readonly operationId: string;
  readonly digest: string;
  readonly coordinator: string;
  /** Time of acceptance according to the coordinator's wall clock, in ms since the Unix epoch. */
  readonly acceptedAtMs: number;
}

/** Value of the platform object `config/head`. */
export interface ConfigurationHead {
  readonly accepted?: RevisionRecord;
  readonly proposal?: Proposal;
  /** Newest first, at most `MAX_HISTORY` entries. */
  readonly history?: readonly HistoryRecord[];
}

/** The head as returned by a read or a watch event. */
export interface VersionedHead {
  readonly head: ConfigurationHead;
  /** Version of the platform object; 0 if it does not exist. */
  readonly version: number;
}

/** Accepted revision of a head; 0 if there is none. */
export const acceptedRevisionOf = (head: ConfigurationHead): number => head.accepted?.revision ?? 0;

/** The accepted revision that an operation created, if it is still in the head's history. */
export const findOperation = (
  head: ConfigurationHead,
  operationId: string,
): HistoryRecord | undefined => head.history?.find((entry) => entry.operationId === operationId);

/** Returns the head that results from accepting its proposal. */
export const acceptProposal = (
  head: ConfigurationHead,
  proposal: Proposal,
  acceptedAtMs: number,
): ConfigurationHead => {
  const { coordinator, ...accepted } = proposal;
  const { revision, operationId, digest } = accepted;
  const entry = { revision, operationId, digest, coordinator: coordinator.name, acceptedAtMs };
  return { accepted, history: [entry, ...(head.history ?? [])].slice(0, MAX_HISTORY) };
};
