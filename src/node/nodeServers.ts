import type http from 'node:http';
import type { ConnectRouter } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import { messageOf } from '../shared/errors.ts';
import { FORWARD_PREFIX } from './constants.ts';
import { closeServer } from './dataPath/closeServer.ts';
import { createHttpServer, listen, pathOf, type RequestHandler } from './dataPath/httpServer.ts';
import { RequestError, sendProblem } from './dataPath/problem.ts';
import type { MembershipView, TablesView } from './membership/membershipView.ts';
import type { Logger } from './observability/logger.ts';
import type { Metrics } from './observability/metrics.ts';
import type { RequestTracker } from './requestTracker.ts';
import type { ResolvedSettings } from './settings/resolveSettings.ts';

export interface StatusHandlerOptions {
  readonly tables: TablesView;
  readonly membership: MembershipView & { readonly leaving: boolean };
  readonly metrics: Metrics;
}

/** Creates the handler of `/healthz`, `/readyz` and `/metrics`. */
export const createStatusHandler =
  ({ tables, membership, metrics }: StatusHandlerOptions): RequestHandler =>
  async (request, response) => {
    switch (pathOf(request)) {
      case '/healthz':
        response.end('ok\n');
        return true;
      case '/readyz': {
        const ready = tables.current() && membership.mayServe() && !membership.leaving;
        response.statusCode = ready ? 200 : 503;
        response.end();
        return true;
      }
      case '/metrics':
        response.setHeader('content-type', metrics.registry.contentType);
        response.end(await metrics.registry.metrics());
        return true;
      default:
        return false;
    }
  };

export interface NodeServersOptions {
  readonly logger: Logger;
  readonly requests: RequestTracker;
  /** Handlers of the caller port, in the order in which they are tried. */
  readonly callerHandlers: readonly RequestHandler[];
  /** Handlers of forwarded requests on the peer port, in the order in which they are tried. */
  readonly forwardHandlers: readonly RequestHandler[];
  /** Adds the connect-es services of the peer port. */
  readonly routes: (router: ConnectRouter) => void;
}

/** The HTTP servers of a node's caller port and peer port. */
export class NodeServers implements AsyncDisposable {
  readonly #caller: http.Server;

  readonly #peer: http.Server;

  constructor({ logger, requests, callerHandlers, forwardHandlers, routes }: NodeServersOptions) {
    const onError = (error: unknown, response: http.ServerResponse) => {
      if (error instanceof RequestError) {
        logger.warn('request-refused', { code: error.code, message: error.message });
        sendProblem(response, error.message, error);
        return;
      }
      logger.error('request-error', { message: messageOf(error) });
      const problem = { outcome: 'unknown', statusCode: 500, code: 'internal' } as const;
      sendProblem(response, 'internal error', problem);
    };
    const track: RequestHandler = (_request, response) => {
      requests.track(response);
      return false;
    };
    this.#caller = createHttpServer([track, ...callerHandlers], onError);
    const services = connectNodeAdapter({ routes });
    const serveServices: RequestHandler = (request, response) => {
      if (pathOf(request).startsWith(FORWARD_PREFIX)) return track(request, response);
      services(request, response);
      return true;
    };
    this.#peer = createHttpServer([serveServices, ...forwardHandlers], onError);
  }

  /** Starts listening on both ports. Resolves to the port numbers. */
  async listen(settings: Pick<ResolvedSettings, 'host' | 'callerPort' | 'peerPort'>) {
    const { host } = settings;
    return {
      callerPort: await listen(this.#caller, host, settings.callerPort),
      peerPort: await listen(this.#peer, host, settings.peerPort),
    };
  }

  /** Stops accepting connections from callers; requests in progress continue. */
  closeCallerListener(): void {
    this.#caller.close();
    this.#caller.closeIdleConnections();
  }

  /** Closes both servers and every connection. */
  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all([this.#caller, this.#peer].map(closeServer));
  }
}
