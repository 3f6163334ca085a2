import type http from 'node:http';
import type { ConnectRouter } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import { messageOf } from '../../shared/errors.ts';
import { createHttpServer, listen } from '../dataPath/httpServer.ts';
import { RequestError, sendProblem } from '../dataPath/problem.ts';
import type { RequestMemory } from '../requestMemory/requestMemory.ts';
import type { Logger } from '../observability/logger.ts';
import { closeServer } from '../dataPath/closeServer.ts';

export interface PeerServerOptions {
  readonly logger: Logger;
  readonly memory: RequestMemory;
  /** Registers the RPC services that other nodes call. */
  readonly routes: (router: ConnectRouter) => void;
}

/** A request whose body has been read, as connect-es reads it. */
const withBody = (request: http.IncomingMessage, body: Buffer): http.IncomingMessage =>
  Object.assign(request, {
    async *[Symbol.asyncIterator]() {
      yield body;
    },
  });

/** HTTP server for the RPCs of other nodes. */
export class PeerServer implements AsyncDisposable {
  readonly #server: http.Server;

  constructor({ logger, memory, routes }: PeerServerOptions) {
    const services = connectNodeAdapter({ routes });
    this.#server = createHttpServer(
      [
        memory.peers.admit,
        async (request, response) => {
          const body = await memory.readPeerBody(request, response);
          services(withBody(request, body), response);
          return true;
        },
      ],
      (error, response) => {
        logger.error('peer-call-failed', { message: messageOf(error) });
        if (error instanceof RequestError) sendProblem(response, error.message, error);
        else response.destroy();
      },
    );
    memory.peers.watch(this.#server);
  }

  async listen({ host, port }: { readonly host: string; readonly port: number }): Promise<void> {
    await listen(this.#server, host, port);
  }

  [Symbol.asyncDispose](): Promise<void> {
    return closeServer(this.#server);
  }
}
