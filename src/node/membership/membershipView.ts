import type { Observable } from 'rxjs';
import type { NodeIdentity } from '../../gen/hyssoppulley/v1/peer_pb.ts';
import type { ResolvedTables } from '../tables/resolveTables.ts';

/** The accepted tables by which this node serves. */
export interface TablesView {
  /** Undefined until the node has received an accepted revision. */
  current(): ResolvedTables | undefined;
  /** Emits each newly accepted revision. */
  readonly changes$: Observable<ResolvedTables>;
}

/** Another node, as known to this node. */
export interface Peer {
  readonly identity: NodeIdentity;
  /** An exchange with the peer failed, and no newer heartbeat of it arrived by any path within `suspectAfterMs`. */
  readonly suspected: boolean;
  readonly leaving: boolean;
  /** Time since the last direct exchange, in ms; undefined if there was none. */
  readonly lastHeardMs?: number;
  readonly acceptedRevision: number;
  readonly leases: readonly string[];
  /** Whether the platform is unreachable from the peer. */
  readonly platformLost: boolean;
  /** Platform version at which the worker registrations last changed, as far as the peer knows. */
  readonly workersVersion: number;
}

/** A worker of a pool, with its address. */
export interface WorkerEndpoint {
  readonly name: string;
  /** IP address and port. */
  readonly address: string;
  readonly availabilityZone: string;
}

/** Live nodes and workers, as far as this node knows. */
export interface MembershipView {
  readonly self: NodeIdentity;
  peers(): readonly Peer[];
  /** Finds the peer with this incarnation, whether live or not. */
  findIncarnation(incarnation: string): Peer | undefined;
  /** Finds the live peer that holds a lease such as `job/draft`. */
  leaseHolder(lease: string): Peer | undefined;
  /** Whether this node may currently accept new work. Checked directly before accepting a request. */
  mayServe(): boolean;
  /** Workers of a pool that may receive new work: listed, not leaving and not drained. */
  workersOf(poolName: string): readonly WorkerEndpoint[];
}

/** A worker and its state, as shown to operators. */
export interface WorkerStatusView extends WorkerEndpoint {
  readonly state: 'live' | 'leaving' | 'drained' | 'unreachable';
}

/** Receives observations of worker health from the data path. */
export interface WorkerHealthReporter {
  /** Reports a failure: a refused or reset connection, or a request and a following probe that got no response. */
  reportWorkerFailure(address: string, kind: 'refused' | 'reset' | 'timeout'): void;
  /** Reports the state that the worker itself gave; also clears earlier failures. */
  reportWorkerState(address: string, state: 'ready' | 'loading' | 'leaving' | 'failed'): void;
}
