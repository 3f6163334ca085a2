import { create } from '@bufbuild/protobuf';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import { NodeIdentitySchema } from '../gen/hyssoppulley/v1/peer_pb.ts';
import { ApplyResult, OperatorService } from '../gen/hyssoppulley/v1/operator_pb.ts';
import { type Clock, systemClock } from '../shared/clock.ts';
import { DisposableStore } from '../shared/disposableStore.ts';
import { messageOf } from '../shared/errors.ts';
import { onInvariantViolation } from '../shared/invariants.ts';
import { newId, type Random, systemRandom } from '../shared/random.ts';
import { createHttpServer, listen, pathOf, type RequestHandler } from './dataPath/httpServer.ts';
import { RequestError, sendProblem } from './dataPath/problem.ts';
import { RequestRouter } from './dataPath/requestRouter.ts';
import { selectLeastLoadedOfTwo } from './decisions/workerSelection.ts';
import { StaticMembership } from './membership/staticMembership.ts';
import { createLogger, type Logger } from './observability/logger.ts';
import { createMetrics } from './observability/metrics.ts';
import { Configuration } from './operator/configuration.ts';
import { HttpPlatformClient } from './platform/httpPlatformClient.ts';
import type { ResolvedSettings } from './settings/resolveSettings.ts';
import { assembleTraining } from './training/assembleTraining.ts';
import { SimpleEngineClient } from './training/simpleEngineClient.ts';

/** What a node takes from its surroundings. */
export interface NodeDependencies {
  /** @default the system's clock */
  readonly clock?: Clock;
  /** @default the system's random source */
  readonly random?: Random;
  /** @default lines on standard error */
  readonly logger?: Logger;
}

/** A node that serves. */
export interface RunningNode extends AsyncDisposable {
  readonly incarnation: string;
  readonly callerPort: number;
  readonly peerPort: number;
}

/** Starts a node: opens both ports and begins to serve the accepted tables. */
export const startNode = async (
  settings: ResolvedSettings,
  dependencies: NodeDependencies = {},
): Promise<RunningNode> => {
  const { clock = systemClock, random = systemRandom } = dependencies;
  const logger = dependencies.logger ?? createLogger(settings.log.level, { node: settings.name });
  const store = new DisposableStore();
  const metrics = createMetrics();
  onInvariantViolation((name, details) => {
    metrics.invariantViolations.inc({ name });
    logger.error('invariant-violated', { name, details: JSON.stringify(details) });
  });

  const platform = new HttpPlatformClient({
    ...settings.platform,
    onCall: (operation) => metrics.platformCalls.inc({ operation }),
  });
  const configuration = new Configuration(platform, logger);
  const self = create(NodeIdentitySchema, {
    name: settings.name,
    incarnation: newId(),
    host: settings.host,
    region: settings.region,
    availabilityZone: settings.availabilityZone,
  });
  const membership = new StaticMembership(self, configuration);
  const router = new RequestRouter({
    tables: configuration,
    membership,
    selectWorker: selectLeastLoadedOfTwo,
    random,
    metrics,
  });

  const training = assembleTraining({
    settings,
    tables: configuration,
    membership,
    platform,
    engine: new SimpleEngineClient(),
    clock,
    random,
    logger,
    metrics,
  });

  const status: RequestHandler = async (request, response) => {
    if (pathOf(request) === '/healthz') {
      response.end('ok\n');
    } else if (pathOf(request) === '/readyz') {
      response.statusCode = configuration.current() && membership.mayServe() ? 200 : 503;
      response.end();
    } else if (pathOf(request) === '/metrics') {
      response.setHeader('content-type', metrics.registry.contentType);
      response.end(await metrics.registry.metrics());
    } else {
      return false;
    }
    return true;
  };
  const callerServer = createHttpServer(
    [status, training.callerHandler, router.handler],
    (error, response) => {
      if (error instanceof RequestError) {
        logger.warn('request-refused', { code: error.code, message: error.message });
        sendProblem(response, error.message, error);
        return;
      }
      logger.error('request-error', { message: messageOf(error) });
      sendProblem(response, 'internal error', {
        outcome: 'unknown',
        statusCode: 500,
        code: 'internal',
      });
    },
  );
  const peerHandler = connectNodeAdapter({
    routes: (connect) =>
      connect.service(OperatorService, {
        applyTables: async (request) => {
          if (!request.tables) return { result: ApplyResult.REFUSED, reason: 'no tables' };
          const revision = await configuration.accept(request.tables, request.operationId);
          return { result: ApplyResult.IN_FORCE, revision, nodesInForce: 1, nodesTotal: 1 };
        },
        getJobs: () => ({ jobs: training.jobs() }),
      }),
  });
  const peerServer = createHttpServer(
    [
      training.peerHandler,
      (request, response) => {
        peerHandler(request, response);
        return true;
      },
    ],
    (error) => logger.error('peer-request-error', { message: messageOf(error) }),
  );
  self.callerPort = await listen(callerServer, settings.host, settings.callerPort);
  self.peerPort = await listen(peerServer, settings.host, settings.peerPort);
  for (const server of [callerServer, peerServer]) {
    store.defer(
      () =>
        new Promise((resolve) => {
          server.close(() => resolve());
          server.closeIdleConnections();
        }),
    );
  }
  store.add(training);
  training.start();
  const poll = async () => {
    try {
      await configuration.refresh();
    } catch (error) {
      logger.warn('head-read-failed', { message: messageOf(error) });
    }
    if (!store.disposed) {
      store.add(clock.schedule(settings.timing.headPollIntervalMs, () => void poll()));
    }
  };
  await poll();
  logger.info('node-started', {
    incarnation: self.incarnation,
    callerPort: self.callerPort,
    peerPort: self.peerPort,
  });
  return {
    incarnation: self.incarnation,
    callerPort: self.callerPort,
    peerPort: self.peerPort,
    [Symbol.asyncDispose]: () => store[Symbol.asyncDispose](),
  };
};
