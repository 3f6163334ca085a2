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
  isLater,
  type LearnResult,
  type PeerRecord,
  PeerTable,
  type PeerTableOptions,
} from './node/decisions/peerTable.ts';
export {
  type GossipCandidates,
  gossipTargets,
  MAX_TARGETS,
  RANDOM_TARGETS,
} from './node/decisions/gossipTargets.ts';
export { RightToServe } from './node/decisions/rightToServe.ts';
export { chooseEntries, type Entry, type EntryCandidate } from './node/decisions/entriesAnswer.ts';

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
  PlannedStop,
  type PlannedStopOptions,
  type StopAction,
  type StopPhase,
} from './node/decisions/plannedStop.ts';

// Commit of a configuration in two phases.
export {
  type ChangeRequest,
  judgeConflict,
  judgePrepare,
  planProposal,
  type PrepareRuling,
  type ProposalPlan,
} from './node/decisions/configurationCommit.ts';
export { ConfigurationReplica, type PrepareAdvice } from './node/decisions/configurationReplica.ts';

// Requests that run at most once: home and witness of an idempotency key.
export { type Arrival, KeyHome, type KeyHomeOptions } from './node/decisions/keyHome.ts';
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
