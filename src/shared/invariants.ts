import { BaseError } from './errors.ts';

/** A condition that must always hold was violated: a bug in this program. */
export const InvariantError = BaseError.subclass('InvariantError');

type ViolationListener = (name: string, details: Record<string, unknown>) => void;

let listener: ViolationListener = () => {};
let checksMade = 0;

/** Sets the listener for violated invariants: a metric and a log line in a node, a counter in tests. */
export const onInvariantViolation = (next: ViolationListener): void => {
  listener = next;
};

/** Reports a violated condition where the program can go on, without throwing. */
export const reportViolation = (name: string, details: Record<string, unknown> = {}): void =>
  listener(name, details);

/** Number of invariant checks that this process has performed. */
export const invariantCheckCount = (): number => checksMade;

/**
 * Asserts a condition that must always hold.
 *
 * @param name - stable name, used as a metric label
 * @throws InvariantError when the condition is false, after calling the listener
 */
export function invariant(
  condition: boolean,
  name: string,
  details: Record<string, unknown> = {},
): asserts condition {
  checksMade += 1;
  if (condition) return;
  listener(name, details);
  throw new InvariantError(`invariant ${name} violated: ${JSON.stringify(details)}`);
}
