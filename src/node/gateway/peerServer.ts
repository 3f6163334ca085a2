import type http from 'node:http';
import type { ConnectRouter } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import { messageOf } from '../../shared/errors.ts';
import { createHttpServer, listen } from '../dataPath/httpServer.ts';
import type { Logger } from '../observability/logger.ts';
import { closeServer } from '../dataPath/closeServer.ts';

export interface PeerServerOptions {
  readonly logger: Logger;
  /** Registers the RPC services that other nodes call. */
  readonly routes: (router: ConnectRouter) => void;
}

/** HTTP server for the RPCs of other nodes. */
export class PeerServer implements AsyncDisposable {
  readonly #server: http.Server;

  constructor({ logger, routes }: PeerServerOptions) {
    const services = connectNodeAdapter({ routes });
    this.#server = createHttpServer(
      [
        (request, response) => {
          services(request, response);
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
    return closeServer(this.#server);
  }
}
