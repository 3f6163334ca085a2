import type { DescService } from '@bufbuild/protobuf';
import { type Client, ConnectError, createClient } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import { OperatorService } from '../../gen/hyssoppulley/v1/operator_pb.ts';
import { commandError, ExitCode, fromConnectError } from './cliErrors.ts';

export type OperatorClient = Client<typeof OperatorService>;

/** Timeout of a call that only reads, in ms. Such a call may include several reads from a slow platform. */
const READ_TIMEOUT_MS = 10_000;

/** Codes of connection errors that rule out that the node received the call. */
const CONNECT_ERROR_CODES: ReadonlySet<unknown> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
]);

/** Whether a call failed before the node could receive it. */
export const failedToConnect = (error: unknown): boolean => {
  for (let cause = error; cause instanceof Error; cause = cause.cause) {
    if (CONNECT_ERROR_CODES.has((cause as { code?: unknown }).code)) return true;
  }
  return false;
};

/**
 * Calls a service of the first reachable node of a list.
 *
 * @param mayRepeat - whether the next node is also tried after a failed call that the node may have received
 * @throws CommandError if no node was reached or the node refused the call; the error of the call if it failed and must
 *   not be repeated
 */
export const callFirstNode = async <T, Service extends DescService>(
  service: Service,
  addresses: readonly string[],
  call: (client: Client<Service>) => Promise<T>,
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
      return await call(createClient(service, transport));
    } catch (error) {
      const failure = ConnectError.from(error);
      const translated = fromConnectError(failure);
      if (translated.exitCode !== ExitCode.NOT_REACHABLE) throw translated;
      if (!failedToConnect(error) && !mayRepeat) throw error;
      failures.push(`${address}: ${failure.rawMessage}`);
    }
  }
  throw commandError(
    ExitCode.NOT_REACHABLE,
    `no node could be reached: ${failures.join('; ')}; specify another node with --node ADDRESS`,
  );
};

/** Calls the operator service of the first reachable node of a list, as `callFirstNode` does. */
export const callFirstReachable = <T>(
  addresses: readonly string[],
  call: (client: OperatorClient) => Promise<T>,
  mayRepeat: boolean,
  defaultTimeoutMs = READ_TIMEOUT_MS,
): Promise<T> => callFirstNode(OperatorService, addresses, call, mayRepeat, defaultTimeoutMs);
