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
