import type http from 'node:http';
import type { ConnectRouter } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import { messageOf } from '../../shared/errors.ts';
import { createHttpServer, listen, pathOf } from '../dataPath/httpServer.ts';
import type { Logger } from '../observability/logger.ts';
import type { Metrics } from '../observability/metrics.ts';

export interface PeerServerOptions {
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Adds the services that other nodes call. */
  readonly routes: (router: ConnectRouter) => void;
}

/** Answers other nodes, and serves the metrics. */
export class PeerServer implements AsyncDisposable {
  readonly #server: http.Server;

  constructor({ logger, metrics, routes }: PeerServerOptions) {
    const services = connectNodeAdapter({ routes });
    this.#server = createHttpServer(
      [
        async (request, response) => {
          if (pathOf(request) === '/metrics') {
            response.setHeader('content-type', metrics.registry.contentType);
            response.end(await metrics.registry.metrics());
          } else {
            services(request, response);
          }
          return true;
        },
      ],
      (error, response) => {
        logger.error('peer-call-failed', { message: messageOf(error) });
        response.destroy();
      },
    );
  }

  async listen({ host, port }: { readonly host: string; readonly port: number }): Promise<void> {
    await listen(this.#server, host, port);
  }

  [Symbol.asyncDispose](): Promise<void> {
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeAllConnections();
    });
  }
}
