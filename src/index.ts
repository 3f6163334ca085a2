/**
 * The coordination algorithms of hyssoppulley as a library. They perform no I/O: state and time are passed in, and
 * decisions are returned. Times are monotonic and in ms unless a name says otherwise. Randomness is passed in as a
 * `Random`.
 */
export { type Clock, Stopwatch, systemClock } from './shared/clock.ts';
export { VirtualClock } from './shared/virtualClock.ts';
export { type Random, seededRandom, systemRandom } from './shared/random.ts';
export { invariant, InvariantError, onInvariantViolation } from './shared/invariants.ts';

// Membership of nodes.
export {
  type DigestSource,
  isLaterIncarnation,
  type MergeResult,
  type PeerRecord,
  PeerTable,
  type PeerTableOptions,
} from './node/decisions/peerTable.ts';
export {
  type GossipCandidates,
  gossipTargets,
  MAX_GOSSIP_TARGETS,
  RANDOM_GOSSIP_TARGETS,
} from './node/decisions/gossipTargets.ts';
export { ServingLease } from './node/decisions/servingLease.ts';
export { chooseEntries, type Entry, type EntryCandidate } from './node/decisions/entrySelection.ts';

// Membership of workers.
export {
  usableWorkers,
  type WorkerChoice,
  type WorkerFailureKind,
  WorkerHealth,
  type WorkerHealthOptions,
  type WorkerObservation,
  type WorkerState,
} from './node/decisions/workerHealth.ts';

// Graceful shutdown of a process.
export {
  GracefulShutdown,
  type GracefulShutdownOptions,
  type ShutdownAction,
  type ShutdownPhase,
} from './node/decisions/gracefulShutdown.ts';

// Two-phase commit of the configuration.
export {
  type ChangeRequest,
  resolveConflict,
  evaluatePrepare,
  planProposal,
  type PrepareDecision,
  type ProposalPlan,
} from './node/decisions/configurationCommit.ts';
export {
  ConfigurationReplica,
  type PrepareRequestDecision,
} from './node/decisions/configurationReplica.ts';

// At-most-once execution of requests: home and witness of an idempotency key.
export { type ArrivalDecision, KeyHome, type KeyHomeOptions } from './node/decisions/keyHome.ts';
export {
  type GrantDecision,
  KeyWitness,
  type KeyWitnessOptions,
  outcomeAfterSeal,
  type SealDecision,
} from './node/decisions/keyWitness.ts';

// Leases, and the decisions of their holders.
export {
  LeaseState,
  type LeaseStateOptions,
  type LeaseStep,
  type LeaseTiming,
} from './node/decisions/lease.ts';
export { SampleLedger, type SampleLedgerOptions } from './node/decisions/sampleLedger.ts';
export {
  allAtOnce,
  interruptResume,
  rolling,
  type RolloutPolicy,
  WeightRollout,
  type WeightRolloutOptions,
} from './node/decisions/weightRollout.ts';

// Retries and admission.
export { RetryBudget, type RetryBudgetOptions } from './node/decisions/retryBudget.ts';
export { Admission, type AdmissionOptions } from './node/decisions/admission.ts';

// A complete node.
export { type NodeDependencies, type RunningNode, startNode } from './node/node.ts';
export { loadSettings, type ResolvedSettings } from './node/settings/resolveSettings.ts';
