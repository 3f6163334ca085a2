import type http from 'node:http';
import { messageOf } from '../../shared/errors.ts';
import { createHttpServer, listen, pathOf } from '../dataPath/httpServer.ts';
import type { Logger } from '../observability/logger.ts';
import type { Metrics } from '../observability/metrics.ts';
import { closeServer } from '../dataPath/closeServer.ts';

/** Serves the metrics of a node at `/metrics`. */
export class MetricsServer implements AsyncDisposable {
  readonly #server: http.Server;

  readonly #logger: Logger;

  constructor({ registry }: Metrics, logger: Logger) {
    this.#logger = logger;
    this.#server = createHttpServer(
      [
        async (request, response) => {
          if (pathOf(request) !== '/metrics') return false;
          response.setHeader('content-type', registry.contentType);
          response.end(await registry.metrics());
          return true;
        },
      ],
      (error, response) => {
        logger.error('metrics-failed', { message: messageOf(error) });
        response.destroy();
      },
    );
  }

  /** Only logs a failure, so that the node serves requests even if its metrics are not available. */
  async listen({ host, port }: { readonly host: string; readonly port: number }): Promise<void> {
    try {
      await listen(this.#server, host, port);
    } catch (error) {
      this.#logger.error('metrics-not-served', { host, port, message: messageOf(error) });
    }
  }

  [Symbol.asyncDispose](): Promise<void> {
    return closeServer(this.#server);
  }
}
