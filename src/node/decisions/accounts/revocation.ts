/** What a node knows about how recent its tables are, and how strictly it applies revocations. */
export interface RevocationConditions {
  /** Whether keyed requests are refused while the tables are not confirmed as current. */
  readonly strict: boolean;
  /** Time without a confirmation from which they are refused, in ms. */
  readonly revokeAfterMs: number;
  /** Time since the tables were last confirmed, in ms; Infinity: never. */
  readonly confirmedAgeMs: number;
}

/** Whether a node may accept requests by the keys that it knows. Otherwise a key may have been revoked long ago. */
export const mayAcceptKeys = ({
  strict,
  revokeAfterMs,
  confirmedAgeMs,
}: RevocationConditions): boolean => !strict || confirmedAgeMs < revokeAfterMs;
