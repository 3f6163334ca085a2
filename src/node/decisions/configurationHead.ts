import type { JsonValue } from '@bufbuild/protobuf';

/** Key of the platform object that holds the accepted tables and the proposal. */
export const HEAD_KEY = 'config/head';

/** Accepted revisions that the head remembers, so that a repeated operation finds its first result. */
export const MAX_HISTORY = 50;

/** One document of both tables with its revision. */
export interface RevisionRecord {
  readonly revision: number;
  /** Identifies the change, chosen by the operator's command line. */
  readonly operationId: string;
  /** SHA-256 of the tables. */
  readonly digest: string;
  readonly tables: JsonValue;
}

/** The node that carries out a change. */
export interface Coordinator {
  readonly name: string;
  readonly incarnation: string;
}

/** A document that is not accepted yet. Only its coordinator can make it accepted. */
export interface Proposal extends RevisionRecord {
  readonly coordinator: Coordinator;
}

/** What the head remembers of an accepted revision. */
export interface HistoryRecord {
  readonly revision: number;
  readonly operationId: string;
  readonly digest: string;
  readonly coordinator: string;
  /** Time of acceptance by the coordinator's wall clock, in ms since 1970-01-01 UTC. */
  readonly acceptedAtMs: number;
}

/** Value of the platform object `config/head`. */
export interface ConfigurationHead {
  readonly accepted?: RevisionRecord;
  readonly proposal?: Proposal;
  /** Newest first, at most `MAX_HISTORY`. */
  readonly history?: readonly HistoryRecord[];
}

/** The head as one read or watch event showed it. */
export interface VersionedHead {
  readonly head: ConfigurationHead;
  /** Version of the platform object; 0: it does not exist. */
  readonly version: number;
}

/** Accepted revision of a head; 0: none. */
export const acceptedRevisionOf = (head: ConfigurationHead): number => head.accepted?.revision ?? 0;

/** The accepted revision that an operation made, if the head still remembers it. */
export const findOperation = (
  head: ConfigurationHead,
  operationId: string,
): HistoryRecord | undefined => head.history?.find((entry) => entry.operationId === operationId);

/** The head after its proposal was accepted. */
export const headWithAccepted = (
  head: ConfigurationHead,
  proposal: Proposal,
  acceptedAtMs: number,
): ConfigurationHead => {
  const { coordinator, ...accepted } = proposal;
  const { revision, operationId, digest } = accepted;
  const entry = { revision, operationId, digest, coordinator: coordinator.name, acceptedAtMs };
  return { accepted, history: [entry, ...(head.history ?? [])].slice(0, MAX_HISTORY) };
};
