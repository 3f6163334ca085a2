import ModernError from 'modern-errors';

/** Root of the product's errors. Each layer derives its own class and turns errors from the layer below into it. */
export const BaseError = ModernError.subclass('BaseError');

/** The message of any thrown value. */
export const messageOf = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);
