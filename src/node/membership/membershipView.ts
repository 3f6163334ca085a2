import type { Observable } from 'rxjs';
import type { NodeIdentity } from '../../gen/hyssoppulley/v1/peer_pb.ts';
import type { ResolvedTables } from '../tables/resolveTables.ts';

/** The accepted tables that this node serves. */
export interface TablesView {
  /** Undefined until the node has learned an accepted revision. */
  current(): ResolvedTables | undefined;
  /** Emits each newly accepted revision. */
  readonly changes$: Observable<ResolvedTables>;
}

/** Another node as this node sees it. */
export interface Peer {
  readonly identity: NodeIdentity;
  /** No heartbeat by any path within `suspectAfterMs`. */
  readonly suspected: boolean;
  readonly leaving: boolean;
  /** Time since the last direct exchange, in ms; undefined: never. */
  readonly lastHeardMs?: number;
  readonly acceptedRevision: number;
  readonly leases: readonly string[];
  /** Whether the platform does not answer the peer. */
  readonly platformLost: boolean;
  /** Version of the platform at which the registrations of workers last changed, as far as the peer knows. */
  readonly workersVersion: number;
}

/** A worker of a pool that may get work. */
export interface WorkerEndpoint {
  readonly name: string;
  /** IP number and port. */
  readonly address: string;
  readonly availabilityZone: string;
}

/** Which nodes and workers are live, as far as this node knows. */
export interface MembershipView {
  readonly self: NodeIdentity;
  peers(): readonly Peer[];
  /** The peer with this incarnation, live or not. */
  findIncarnation(incarnation: string): Peer | undefined;
  /** The live peer that holds a lease such as `job/draft`. */
  leaseHolder(lease: string): Peer | undefined;
  /** Whether this node may take new work now. Checked directly before accepting a request. */
  mayServe(): boolean;
  /** Workers of a pool that may get new work: listed, not leaving, not drained. */
  workersOf(poolName: string): readonly WorkerEndpoint[];
}

/** A worker and its state, as an operator is shown it. */
export interface WorkerStatusView extends WorkerEndpoint {
  readonly state: 'live' | 'leaving' | 'drained' | 'unreachable';
}

/** Signs of a worker's health that the data path observes. */
export interface WorkerReports {
  /** A connection to the worker was refused, broke off, or carried no answer and no answered probe. */
  reportWorkerFailure(address: string, kind: 'refused' | 'reset' | 'timeout'): void;
  /** State that the worker itself reported; also undoes earlier failures. */
  reportWorkerState(address: string, state: 'ready' | 'loading' | 'leaving' | 'failed'): void;
}
