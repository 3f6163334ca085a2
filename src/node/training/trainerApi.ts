import type { IncomingMessage, ServerResponse } from 'node:http';
import { FORWARD_PREFIX, HOP_HEADER } from '../constants.ts';
import { headerOf, pathOf, type RequestHandler } from '../dataPath/httpServer.ts';
import { problemBody, requestError, RequestError, sendProblem } from '../dataPath/problem.ts';
import { readBody } from '../dataPath/readBody.ts';
import type { JobOwner, PullResponse } from './jobOwner.ts';
import { retryCursorOf, noOwner } from './jobRefusals.ts';
import type { Lease } from './leaseManager.ts';
import type { OwnerForwarder } from './ownerForwarder.ts';
import {
  parsePullRequest,
  parseStepSubmission,
  parseWeightPublication,
} from './parseTrainerRequests.ts';
import type { PublishResult } from './weightRecords.ts';
import type { WeightPublication } from './trainerMessages.ts';

/** A job as the trainer API uses it. */
export interface ServedJob {
  readonly name: string;
  readonly lease: Lease;
  /** Undefined while this node does not own the job. */
  readonly owner: JobOwner | undefined;
  publish(publication: WeightPublication): Promise<PublishResult>;
}

export interface TrainerApiOptions {
  /** Returns the job with this name; undefined when no route refers to it. */
  readonly findJob: (name: string) => ServedJob | undefined;
  /** Peer address of this node. */
  readonly selfAddress: () => string;
  readonly forwarder: Pick<OwnerForwarder, 'forward'>;
  /** Maximum body size of a step submission, in bytes. */
  readonly maxStepBytes: number;
}

const JOBS_PREFIX = '/v1/jobs/';

/** Maximum size of bodies other than step submissions. */
const MAX_SMALL_BODY_BYTES = 64 * 1024;

const sendJson = (response: ServerResponse, statusCode: number, body: unknown): void => {
  response.writeHead(statusCode, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
};

/** Sends JSON lines. The content length lets the trainer detect a truncated response. */
const sendLines = (response: ServerResponse, { lines, end }: PullResponse): void => {
  const body = Buffer.from(`${[...lines, JSON.stringify(end)].join('\n')}\n`);
  response.writeHead(200, {
    'content-type': 'application/x-ndjson',
    'content-length': body.length,
  });
  response.end(body);
};

const sendPublishResult = (response: ServerResponse, result: PublishResult): void => {
  if (result.status === 'recorded') {
    sendJson(response, 200, { state: 'recorded' });
    return;
  }
  if (result.status === 'refused') {
    throw requestError(
      `the pool's newest weight version is ${result.newest}; publish a larger one`,
      { outcome: 'not-run', statusCode: 409, code: 'version-not-newer' },
    );
  }
  throw requestError('the platform has not confirmed the publication; publish it again', {
    outcome: 'unknown',
    statusCode: 503,
    code: 'publication-not-recorded',
    retryAfterMs: 1000,
  });
};

const ownerChangedError = () =>
  requestError('the owner of the job changed during the request; publish the version again', {
    outcome: 'unknown',
    statusCode: 503,
    code: 'owner-changed',
    retryAfterMs: 1000,
  });

/** HTTP API for trainers, on the caller port and, for forwarded requests, on the peer port. */
export class TrainerApi {
  readonly #options: TrainerApiOptions;

  constructor(options: TrainerApiOptions) {
    this.#options = options;
  }

  /** Handles requests on the caller port: serves them as the owner of the job or forwards them to the owner. */
  readonly callerHandler: RequestHandler = (request, response) => {
    const path = pathOf(request);
    if (!path.startsWith(JOBS_PREFIX)) return false;
    return this.#serveOrRefuse(request, response, path, headerOf(request, HOP_HEADER) === '');
  };

  /** Handles requests on the peer port. Never forwards, so that nodes with different views cannot create a loop. */
  readonly peerHandler: RequestHandler = (request, response) => {
    const path = pathOf(request);
    if (!path.startsWith(FORWARD_PREFIX + JOBS_PREFIX)) return false;
    return this.#serveOrRefuse(request, response, path.slice(FORWARD_PREFIX.length), false);
  };

  async #serveOrRefuse(
    request: IncomingMessage,
    response: ServerResponse,
    path: string,
    mayForward: boolean,
  ): Promise<boolean> {
    try {
      await this.#serve(request, response, path, mayForward);
    } catch (error) {
      if (!(error instanceof RequestError)) throw error;
      const cursor = retryCursorOf(error);
      if (cursor === undefined) {
        sendProblem(response, error.message, error);
      } else {
        response.writeHead(error.statusCode, { 'content-type': 'application/problem+json' });
        response.end(JSON.stringify({ ...problemBody(error.message, error), cursor }));
      }
    }
    return true;
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
    path: string,
    mayForward: boolean,
  ): Promise<void> {
    const [name = '', action = '', rest] = path.slice(JOBS_PREFIX.length).split('/');
    const job = this.#options.findJob(name);
    if (job === undefined || rest !== undefined) {
      throw requestError(`no route refers to the job ${JSON.stringify(name)}`, {
        outcome: 'not-run',
        statusCode: 404,
        code: 'no-job',
      });
    }
    if (job.owner && job.lease.isHeld()) {
      await this.#serveAsOwner(job, job.owner, action, request, response);
      return;
    }
    const holder = job.lease.holder();
    if (!mayForward || !holder || holder.address === this.#options.selfAddress()) throw noOwner();
    await this.#options.forwarder.forward(holder.address, request, response);
  }

  async #serveAsOwner(
    job: ServedJob,
    owner: JobOwner,
    action: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = (limit: number) => readBody(request, limit);
    switch (`${request.method} ${action}`) {
      case 'GET ':
        sendJson(response, 200, { job: job.name, ...owner.state() });
        break;
      case 'POST steps': {
        const step = parseStepSubmission(await body(this.#options.maxStepBytes));
        sendJson(response, 200, await owner.submit(step));
        break;
      }
      case 'POST pull':
        sendLines(response, await owner.pull(parsePullRequest(await body(MAX_SMALL_BODY_BYTES))));
        break;
      case 'POST weights': {
        const publication = parseWeightPublication(await body(MAX_SMALL_BODY_BYTES));
        const result = await job.publish(publication);
        // This owner is sure to apply the version when it hands over samples only if it is still the owner.
        if (!job.lease.isHeld()) throw ownerChangedError();
        owner.notify();
        sendPublishResult(response, result);
        break;
      }
      default:
        throw requestError(`${request.method} is not supported at ${pathOf(request)}`, {
          outcome: 'not-run',
          statusCode: 404,
          code: 'no-endpoint',
        });
    }
  }
}
