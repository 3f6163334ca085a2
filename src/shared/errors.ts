import ModernError from 'modern-errors';

/** Base class of all errors. Each layer derives its own class and converts errors of the layer below to it. */
export const BaseError = ModernError.subclass('BaseError');

/** The message of any thrown value. */
export const messageOf = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);
