import { type Client, ConnectError, createClient } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import { OperatorService } from '../../gen/hyssoppulley/v1/operator_pb.ts';
import { commandError, ExitCode, fromConnectError } from './cliErrors.ts';

export type OperatorClient = Client<typeof OperatorService>;

/** Time for a call that only reads, in ms: several reads of the platform, which may be slow. */
const READ_TIMEOUT_MS = 10_000;

/** Failures to connect, after which the node has certainly not seen the call. */
const NOT_CONNECTED: ReadonlySet<unknown> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
]);

/** Whether a call failed before the node could see it. */
export const neverArrived = (error: unknown): boolean => {
  for (let cause = error; cause instanceof Error; cause = cause.cause) {
    if (NOT_CONNECTED.has((cause as { code?: unknown }).code)) return true;
  }
  return false;
};

/**
 * Calls the first of several nodes that can be reached.
 *
 * @param mayRepeat - whether the next node is also tried when a node may have seen the call
 * @throws CommandError when no node was reached; the error of the call when it must not be repeated
 */
export const callFirstReachable = async <T>(
  addresses: readonly string[],
  call: (client: OperatorClient) => Promise<T>,
  mayRepeat: boolean,
  defaultTimeoutMs = READ_TIMEOUT_MS,
): Promise<T> => {
  const failures: string[] = [];
  for (const address of addresses) {
    const transport = createConnectTransport({
      baseUrl: `http://${address}`,
      httpVersion: '1.1',
      defaultTimeoutMs,
    });
    try {
      return await call(createClient(OperatorService, transport));
    } catch (error) {
      const failure = ConnectError.from(error);
      const translated = fromConnectError(failure);
      if (translated.exitCode !== ExitCode.NOT_REACHABLE) throw translated;
      if (!neverArrived(error) && !mayRepeat) throw error;
      failures.push(`${address}: ${failure.rawMessage}`);
    }
  }
  throw commandError(
    ExitCode.NOT_REACHABLE,
    `no node was reached: ${failures.join('; ')}; name another one with --node ADDRESS`,
  );
};
