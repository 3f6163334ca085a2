import { Code, ConnectError } from '@connectrpc/connect';
import { BaseError, messageOf } from '../../shared/errors.ts';
import { DocumentError } from '../settings/documentError.ts';

/** Exit codes of the command-line tool. */
export const ExitCode = {
  SUCCESS: 0,
  INTERNAL_ERROR: 1,
  USAGE: 2,
  INVALID_DOCUMENT: 3,
  REFUSED: 4,
  UNKNOWN_RESULT: 5,
  NOT_REACHABLE: 6,
} as const;

/** Failure of a command that the operator can act on, with the exit code of the process. */
export const CommandError = BaseError.subclass('CommandError', {
  props: { exitCode: ExitCode.INTERNAL_ERROR },
});

/** Creates a `CommandError` with an exit code. */
export const commandError = (exitCode: number, message: string) =>
  new CommandError(message, { props: { exitCode } });

/** Converts the error of a call to a node into a `CommandError`. */
export const fromConnectError = (error: ConnectError) => {
  const { code, rawMessage } = error;
  if (code === Code.InvalidArgument) return commandError(ExitCode.INVALID_DOCUMENT, rawMessage);
  if (code === Code.Unavailable || code === Code.DeadlineExceeded) {
    return commandError(ExitCode.NOT_REACHABLE, rawMessage);
  }
  if (code === Code.FailedPrecondition || code === Code.Unimplemented) {
    return commandError(ExitCode.REFUSED, `refused: ${rawMessage}`);
  }
  return commandError(ExitCode.INTERNAL_ERROR, rawMessage);
};

interface CommanderFailure {
  readonly code?: string;
  readonly exitCode?: number;
}

/** Exit code and message for an error thrown by a command. `text` is undefined if commander has already printed it. */
export const describeFailure = (error: unknown): { exitCode: number; text?: string } => {
  const { code, exitCode } = error as CommanderFailure;
  if (code?.startsWith('commander.')) {
    return { exitCode: exitCode === 0 ? ExitCode.SUCCESS : ExitCode.USAGE };
  }
  const text = messageOf(error);
  if (error instanceof DocumentError) return { exitCode: ExitCode.INVALID_DOCUMENT, text };
  if (error instanceof CommandError) return { exitCode: error.exitCode, text };
  if (code === 'ENOENT' || code === 'EACCES') return { exitCode: ExitCode.USAGE, text };
  return { exitCode: ExitCode.INTERNAL_ERROR, text };
};
