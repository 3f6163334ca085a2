import { BaseError } from './errors.ts';

/** A condition that must always hold did not: a fault in the product itself. */
export const InvariantError = BaseError.subclass('InvariantError');

type ViolationListener = (name: string, details: Record<string, unknown>) => void;

let listener: ViolationListener = () => {};
let checkedCount = 0;

/** Sets who is told of violated invariants: a metric and a log line in a node, a counter in tests. */
export const onInvariantViolation = (next: ViolationListener): void => {
  listener = next;
};

/** Number of invariant checks made by this process. */
export const invariantChecksMade = (): number => checkedCount;

/**
 * Asserts a condition that must always hold.
 *
 * @param name - stable name, used as a metric label
 * @throws InvariantError when the condition is false, after the listener was told
 */
export function invariant(
  condition: boolean,
  name: string,
  details: Record<string, unknown> = {},
): asserts condition {
  checkedCount += 1;
  if (condition) return;
  listener(name, details);
  throw new InvariantError(`invariant ${name} violated: ${JSON.stringify(details)}`);
}
