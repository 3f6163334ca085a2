import type { ServiceImpl } from '@connectrpc/connect';
import {
  GrantResult,
  type NodeIdentity,
  type PeerService,
  SealResult,
} from '../../gen/hyssoppulley/v1/peer_pb.ts';
import { messageOf } from '../../shared/errors.ts';
import { type IdempotencyKey, parseIdempotencyKey } from '../decisions/idempotencyKey.ts';
import type { GrantDecision, KeyWitness, SealDecision } from '../decisions/keyWitness.ts';
import type { MembershipView } from '../membership/membershipView.ts';
import type { PeerClient } from '../membership/peerClients.ts';
import type { Logger } from '../observability/logger.ts';

const GRANTS: Readonly<Record<GrantDecision, GrantResult>> = {
  granted: GrantResult.GRANTED,
  sealed: GrantResult.SEALED,
  expired: GrantResult.EXPIRED,
  'wrong-incarnation': GrantResult.WRONG_INCARNATION,
  full: GrantResult.FULL,
};

const SEALS: Readonly<Record<SealDecision, SealResult>> = {
  sealed: SealResult.SEALED,
  'granted-before': SealResult.GRANTED_BEFORE,
  unknown: SealResult.UNKNOWN,
};

/** Maps an enum value to its decision; undefined for values that this version does not know. */
const decode = <D extends string, R>(table: Readonly<Record<D, R>>, result: R): D | undefined =>
  (Object.keys(table) as D[]).find((decision) => table[decision] === result);

/** Creates the handlers for homes and entries that call this node as the witness of a key. */
export const createWitnessHandlers = (
  witness: KeyWitness,
): Pick<ServiceImpl<typeof PeerService>, 'grantDispatch' | 'sealKey'> => ({
  grantDispatch: ({ key }) => ({
    result: GRANTS[witness.grant(parseIdempotencyKey(key))],
  }),
  sealKey: ({ key }) => ({ result: SEALS[witness.seal(parseIdempotencyKey(key))] }),
});

export interface WitnessClientOptions {
  /** Witness of this node, for keys that name this node. */
  readonly local: KeyWitness;
  readonly membership: Pick<MembershipView, 'self' | 'findIncarnation'>;
  readonly clientOf: (identity: NodeIdentity) => Pick<PeerClient, 'grantDispatch' | 'sealKey'>;
  readonly logger: Logger;
  readonly onCall?: (method: string, result: string) => void;
}

/** Calls the witnesses of keys, which may be this node itself. */
export class WitnessClient {
  readonly #options: WitnessClientOptions;

  constructor(options: WitnessClientOptions) {
    this.#options = options;
  }

  /** Asks for a grant to dispatch a key; undefined if the key has no known witness or it does not respond in time. */
  async grant(key: IdempotencyKey): Promise<GrantDecision | undefined> {
    const { local, membership } = this.#options;
    if (key.witnessIncarnation === membership.self.incarnation) return local.grant(key);
    return this.#callWitness('GrantDispatch', key, async (client, request) =>
      decode(GRANTS, (await client.grantDispatch(request)).result),
    );
  }

  /** Asks to forbid the dispatch of a key; undefined if the key has no known witness or it does not respond in time. */
  async seal(key: IdempotencyKey): Promise<SealDecision | undefined> {
    const { local, membership } = this.#options;
    if (key.witnessIncarnation === membership.self.incarnation) return local.seal(key);
    return this.#callWitness('SealKey', key, async (client, request) =>
      decode(SEALS, (await client.sealKey(request)).result),
    );
  }

  async #callWitness<D extends string>(
    method: string,
    key: IdempotencyKey,
    call: (
      client: Pick<PeerClient, 'grantDispatch' | 'sealKey'>,
      request: { key: string; witnessIncarnation: string },
    ) => Promise<D | undefined>,
  ): Promise<D | undefined> {
    const { membership, clientOf, logger, onCall } = this.#options;
    const { witnessIncarnation } = key;
    if (witnessIncarnation === undefined) return undefined;
    const witness = membership.findIncarnation(witnessIncarnation);
    if (witness === undefined) return undefined;
    try {
      const decision = await call(clientOf(witness.identity), {
        key: key.text,
        witnessIncarnation,
      });
      onCall?.(method, decision ?? 'not-understood');
      return decision;
    } catch (error) {
      onCall?.(method, 'failed');
      logger.warn('witness-call-failed', {
        method,
        witness: witness.identity.name,
        message: messageOf(error),
      });
      return undefined;
    }
  }
}
