/**
 * The coordination parts of hyssoppulley as a library. They import no I/O: state and time go in, decisions come out. Time
 * is monotonic ms unless a name says otherwise; randomness is passed in as `Random`.
 */
export { type Clock, Stopwatch, systemClock } from './shared/clock.ts';
export { VirtualClock } from './shared/virtualClock.ts';
export { type Random, seededRandom, systemRandom } from './shared/random.ts';
export { invariant, InvariantError, onInvariantViolation } from './shared/invariants.ts';

// Membership of nodes.
export {
  type DigestSource,
  isLaterIncarnation as isLater,
  type MergeResult as LearnResult,
  type PeerRecord,
  PeerTable,
  type PeerTableOptions,
} from './node/decisions/peerTable.ts';
export {
  type GossipCandidates,
  gossipTargets,
  MAX_GOSSIP_TARGETS as MAX_TARGETS,
  RANDOM_GOSSIP_TARGETS as RANDOM_TARGETS,
} from './node/decisions/gossipTargets.ts';
export { ServingLease as RightToServe } from './node/decisions/servingLease.ts';
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

// Planned stop of a process.
export {
  GracefulShutdown as PlannedStop,
  type GracefulShutdownOptions as PlannedStopOptions,
  type ShutdownAction as StopAction,
  type ShutdownPhase as StopPhase,
} from './node/decisions/gracefulShutdown.ts';

// Commit of a configuration in two phases.
export {
  type ChangeRequest,
  resolveConflict as judgeConflict,
  evaluatePrepare as judgePrepare,
  planProposal,
  type PrepareDecision as PrepareRuling,
  type ProposalPlan,
} from './node/decisions/configurationCommit.ts';
export {
  ConfigurationReplica,
  type PrepareRequestDecision as PrepareAdvice,
} from './node/decisions/configurationReplica.ts';

// Requests that run at most once: home and witness of an idempotency key.
export {
  type ArrivalDecision as Arrival,
  KeyHome,
  type KeyHomeOptions,
} from './node/decisions/keyHome.ts';
export {
  type GrantDecision,
  KeyWitness,
  type KeyWitnessOptions,
  outcomeAfterSeal,
  type SealDecision,
} from './node/decisions/keyWitness.ts';

// Leases, and what their holders decide.
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

// A whole node.
export { type NodeDependencies, type RunningNode, startNode } from './node/node.ts';
export { loadSettings, type ResolvedSettings } from './node/settings/resolveSettings.ts';
