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

/** The decision that a message names; undefined for values that this version does not know. */
const decode = <D extends string, R>(table: Readonly<Record<D, R>>, result: R): D | undefined =>
  (Object.keys(table) as D[]).find((decision) => table[decision] === result);

/** Answers homes and entries that ask this node as the witness of a key. */
export const createWitnessHandlers = (
  witness: KeyWitness,
): Pick<ServiceImpl<typeof PeerService>, 'grantDispatch' | 'sealKey'> => ({
  grantDispatch: ({ key }) => ({
    result: GRANTS[witness.grant(parseIdempotencyKey(key))],
  }),
  sealKey: ({ key }) => ({ result: SEALS[witness.seal(parseIdempotencyKey(key))] }),
});

export interface WitnessCallsOptions {
  /** This node's own witness, for keys that name this node. */
  readonly local: KeyWitness;
  readonly membership: Pick<MembershipView, 'self' | 'findIncarnation'>;
  readonly clientOf: (identity: NodeIdentity) => Pick<PeerClient, 'grantDispatch' | 'sealKey'>;
  readonly logger: Logger;
  readonly onCall?: (method: string, result: string) => void;
}

/** Asks the witnesses of keys, which may be this node itself. */
export class WitnessCalls {
  readonly #options: WitnessCallsOptions;

  constructor(options: WitnessCallsOptions) {
    this.#options = options;
  }

  /** Asks for the dispatch of a key; undefined: no answer in time. */
  async grant(key: IdempotencyKey): Promise<GrantDecision | undefined> {
    const { local, membership } = this.#options;
    if (key.witnessIncarnation === membership.self.incarnation) return local.grant(key);
    return this.#ask('GrantDispatch', key, async (client, request) =>
      decode(GRANTS, (await client.grantDispatch(request)).result),
    );
  }

  /** Asks to forbid the dispatch of a key; undefined: the key has no witness, or no answer in time. */
  async seal(key: IdempotencyKey): Promise<SealDecision | undefined> {
    const { local, membership } = this.#options;
    if (key.witnessIncarnation === membership.self.incarnation) return local.seal(key);
    return this.#ask('SealKey', key, async (client, request) =>
      decode(SEALS, (await client.sealKey(request)).result),
    );
  }

  async #ask<D extends string>(
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
