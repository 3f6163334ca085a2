import { once } from 'node:events';
import http from 'node:http';
import net, { type AddressInfo } from 'node:net';
import { create } from '@bufbuild/protobuf';
import { NEVER } from 'rxjs';
import { NodeIdentitySchema } from '../../../gen/hyssoppulley/v1/peer_pb.ts';
import { systemClock } from '../../../shared/clock.ts';
import { onInvariantViolation } from '../../../shared/invariants.ts';
import { seededRandom } from '../../../shared/random.ts';
import type { MembershipView } from '../../membership/membershipView.ts';
import { silentLogger } from '../../observability/logger.ts';
import { createMetrics } from '../../observability/metrics.ts';
import { parseTables } from '../../tables/parseTables.ts';
import { resolveTables } from '../../tables/resolveTables.ts';
import { createDataPath, type DataPathOptions } from '../dataPath.ts';
import { createHttpServer, listen } from '../httpServer.ts';
import { RequestError, sendProblem } from '../problem.ts';

/** Starts servers for a test and releases all resources at its end, also when the test fails. */
export class TestResources implements AsyncDisposable {
  readonly #servers: net.Server[] = [];

  readonly #releases: (() => void | Promise<void>)[] = [];

  addServer<T extends net.Server>(server: T): T {
    this.#servers.push(server);
    return server;
  }

  defer(release: () => void | Promise<void>): void {
    this.#releases.push(release);
  }

  /** Starts an HTTP server that acts as a worker. Load requests get status 404. Returns its address. */
  async startWorker(handler: http.RequestListener): Promise<string> {
    const server = this.addServer(
      http.createServer((request, response) => {
        if (request.url === '/load') {
          response.statusCode = 404;
          response.end();
        } else handler(request, response);
      }),
    );
    return `127.0.0.1:${await listen(server, '127.0.0.1', 0)}`;
  }

  /** Starts a data path behind an HTTP server on a free port. */
  async startDataPath(tablesYaml: string, overrides: Partial<DataPathOptions> = {}) {
    const tables = resolveTables(parseTables(tablesYaml, 'tables.yaml'), 1);
    const view = { current: () => tables, changes$: NEVER };
    const membership: MembershipView = {
      self: create(NodeIdentitySchema, { name: 'n', availabilityZone: 'a' }),
      peers: () => [],
      findIncarnation: () => undefined,
      leaseHolder: () => undefined,
      mayServe: () => true,
      workersOf: (pool) => tables.pools.get(pool)?.workers ?? [],
    };
    const metrics = createMetrics();
    onInvariantViolation((name, details) => {
      throw new Error(`invariant ${name}: ${JSON.stringify(details)}`);
    });
    const dataPath = createDataPath({
      clock: systemClock,
      random: seededRandom(7),
      tables: view,
      membership,
      metrics,
      logger: silentLogger,
      maxConcurrent: 4096,
      streamIdleMs: 5000,
      ...overrides,
    });
    this.defer(() => dataPath[Symbol.dispose]());
    const server = this.addServer(
      createHttpServer([dataPath.router.handler], (error, response) => {
        if (error instanceof RequestError) sendProblem(response, error.message, error);
        else throw error;
      }),
    );
    const port = await listen(server, '127.0.0.1', 0);
    return { base: `http://127.0.0.1:${port}`, port, dataPath, metrics };
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const release of this.#releases) await release();
    for (const server of this.#servers) {
      if (server instanceof http.Server) server.closeAllConnections();
      server.close();
    }
  }
}

/** YAML tables with one route and one pool; `route` and `pool` are appended to their definitions. */
export const tablesOf = (
  protocol: 'plain-service' | 'model-engine',
  addresses: readonly string[],
  { route = '', pool = '' } = {},
): string => `
routes:
  - { name: r, match: { pathPrefix: / }, pool: p ${route} }
pools:
  - name: p
    protocol: ${protocol}
    workers: [${addresses.map((address, index) => `{ name: w${index}, address: "${address}" }`).join(', ')}]
    ${pool}
`;

/** Sends raw bytes on a new connection and returns everything received until it closes. */
export const sendRaw = async (port: number, bytes: string): Promise<string> => {
  const socket = net.connect(port, '127.0.0.1');
  let received = '';
  socket.on('data', (data) => {
    received += data.toString();
  });
  socket.on('error', () => {});
  socket.write(bytes);
  await once(socket, 'close');
  return received;
};

/** Address of a port that was just closed, so that connections to it are refused. */
export const refusingAddress = async (): Promise<string> => {
  const server = net.createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return `127.0.0.1:${port}`;
};
