/**
 * The account on whose behalf a batch is submitted, read or ended: undefined where the tables hold no accounts; empty
 * for a request that needs no key.
 */
export type BatchCaller = string | undefined;

/**
 * Whether a batch may be read or ended on behalf of an account. A batch without an owner was stored before there were
 * accounts, or submitted on a public route; every account may read it.
 */
export const mayAccessBatch = (owner: string, caller: BatchCaller): boolean =>
  owner === '' || caller === undefined || owner === caller;

/**
 * Value of the account's name that is sent with the items of a batch.
 *
 * @param hasAccounts - whether the tables hold accounts
 * @returns undefined to send what the trainer set, as without accounts; empty to send no name
 */
export const accountOfItems = (owner: string, hasAccounts: boolean): string | undefined => {
  if (owner !== '') return owner;
  return hasAccounts ? '' : undefined;
};
