import type { NodeIdentity } from '../../gen/hyssoppulley/v1/peer_pb.ts';
import type { MembershipView, Peer, TablesView, WorkerEndpoint } from './membershipView.ts';

/** Knows only this node and the workers that the tables list. */
export class StaticMembership implements MembershipView {
  readonly self: NodeIdentity;

  readonly #tables: TablesView;

  constructor(self: NodeIdentity, tables: TablesView) {
    this.self = self;
    this.#tables = tables;
  }

  // eslint-disable-next-line class-methods-use-this
  peers(): readonly Peer[] {
    return [];
  }

  // eslint-disable-next-line class-methods-use-this
  findIncarnation(): undefined {
    return undefined;
  }

  // eslint-disable-next-line class-methods-use-this
  leaseHolder(): undefined {
    return undefined;
  }

  // eslint-disable-next-line class-methods-use-this
  mayServe(): boolean {
    return true;
  }

  workersOf(poolName: string): readonly WorkerEndpoint[] {
    return this.#tables.current()?.pools.get(poolName)?.workers ?? [];
  }
}
