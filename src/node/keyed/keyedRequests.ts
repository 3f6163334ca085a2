import type { IncomingMessage, ServerResponse } from 'node:http';
import type { ServiceImpl } from '@connectrpc/connect';
import type { Registry } from 'prom-client';
import type { PeerService } from '../../gen/hyssoppulley/v1/peer_pb.ts';
import type { Clock } from '../../shared/clock.ts';
import { newId, type Random } from '../../shared/random.ts';
import { IDEMPOTENCY_KEY_HEADER } from '../constants.ts';
import type { AdmissionController } from '../dataPath/admissionController.ts';
import { forwardNodeHeaders } from '../dataPath/forwardHeaders.ts';
import { headerOf, type RequestHandler } from '../dataPath/httpServer.ts';
import { RequestError, requestError, sendProblem } from '../dataPath/problem.ts';
import type { NonIdempotentHandler } from '../dataPath/requestRouter.ts';
import {
  formatKeyPrefix,
  type IdempotencyKey,
  hasOtherFormatVersion,
  KeyFormatError,
  parseIdempotencyKey,
} from '../decisions/idempotencyKey.ts';
import { createExpiryClock } from '../decisions/keyExpiry.ts';
import { KeyHome } from '../decisions/keyHome.ts';
import type { NotRunCode } from '../decisions/keyRecord.ts';
import { KeyWitness, outcomeAfterSeal } from '../decisions/keyWitness.ts';
import type { KeyPrefix } from '../membership/entriesHandler.ts';
import type { MembershipView, TablesView } from '../membership/membershipView.ts';
import type { PeerClients } from '../membership/peerClients.ts';
import type { Logger } from '../observability/logger.ts';
import type { Tracing } from '../observability/tracing.ts';
import type { ResolvedSettings } from '../settings/resolveSettings.ts';
import type { ResolvedRoute } from '../tables/resolveTables.ts';
import { admissionRequestOf } from './admissionRequest.ts';
import { chooseWitness } from './chooseWitness.ts';
import {
  HOME_HEADER,
  MAX_KEPT_RESPONSE_BYTES,
  MAX_KEYED_BODY_BYTES,
  MAX_WAITING_REPEATS,
} from './constants.ts';
import { createForwardHandler } from './forwardHandler.ts';
import { HomeClient } from './homeClient.ts';
import { createKeyedMetrics, type KeyedMetrics } from './keyedMetrics.ts';
import { keyedProblem, sendSettlement } from './keyedProblems.ts';
import { type KeyedRequest, KeyedRuns, type KeyedRunsOptions } from './keyedRuns.ts';
import { readKeyedBody } from './readKeyedBody.ts';
import { createWitnessHandlers, WitnessClient } from './witnessClient.ts';

export interface KeyedRequestsOptions extends Pick<KeyedRunsOptions, 'dispatch' | 'onRefused'> {
  readonly settings: Pick<ResolvedSettings, 'limits' | 'timing'>;
  readonly tables: Pick<TablesView, 'current'>;
  readonly membership: MembershipView;
  readonly clients: PeerClients;
  readonly admission: Pick<AdmissionController, 'admit'>;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly registry: Registry;
  /** @default noTracing */
  readonly tracing?: Tracing;
  /** Called for each call to another node, for metrics. */
  readonly onPeerCall?: (method: string, result: string) => void;
}

/** Serves non-idempotent routes. Each request runs at most once, at the home that its key names. */
export class KeyedRequests implements Disposable {
  readonly #options: KeyedRequestsOptions;

  readonly #secret = newId();

  readonly #now: () => number;

  readonly #home: KeyHome;

  readonly #witness: KeyWitness;

  readonly #witnessClient: WitnessClient;

  readonly #homeClient: HomeClient;

  readonly #runs: KeyedRuns;

  readonly #metrics: KeyedMetrics;

  constructor(options: KeyedRequestsOptions) {
    this.#options = options;
    const { settings, membership, clients, clock, logger } = options;
    const { limits, timing } = settings;
    const { incarnation } = membership.self;
    this.#now = createExpiryClock(clock);
    this.#home = new KeyHome({
      incarnation,
      secret: this.#secret,
      keyTtlMs: timing.keyTtlMs,
      maxRecords: limits.maxKeyRecords,
      maxKeptBytes: limits.maxKeptAnswerBytes,
      maxResponseBytes: MAX_KEPT_RESPONSE_BYTES,
      maxWaiting: MAX_WAITING_REPEATS,
      now: this.#now,
    });
    this.#witness = new KeyWitness({
      incarnation,
      maxGrants: limits.maxKeyRecords,
      maxSeals: limits.maxKeyRecords,
      now: this.#now,
    });
    this.#metrics = createKeyedMetrics(options.registry, () => ({
      records: this.#home.size,
      keptBytes: this.#home.keptBytes,
      witnessEntries: this.#witness.size,
    }));
    this.#witnessClient = new WitnessClient({
      local: this.#witness,
      membership,
      clientOf: (identity) => clients.peer(identity),
      logger,
      onCall: options.onPeerCall,
    });
    this.#homeClient = new HomeClient(clock, timing.suspectAfterMs, options.tracing);
    this.#runs = this.#createRuns();
  }

  /** Handles requests to non-idempotent routes on the caller port. */
  readonly handle: NonIdempotentHandler = async (route, request, response) => {
    try {
      await this.#handle(route, request, response);
    } catch (error) {
      if (!(error instanceof RequestError)) throw error;
      sendProblem(response, error.message, error);
    }
  };

  /** Handles requests that other entries forward to this node, on the peer port. */
  get forwardHandler(): RequestHandler {
    const { membership, clock, settings } = this.#options;
    return createForwardHandler(
      this.#runs,
      membership.self.incarnation,
      clock,
      settings.timing.suspectAfterMs,
      this.#options.tracing,
    );
  }

  /** `PeerService` handlers through which other nodes use this node as a witness. */
  get peerHandlers(): Pick<ServiceImpl<typeof PeerService>, 'grantDispatch' | 'sealKey'> {
    return createWitnessHandlers(this.#witness);
  }

  /** Issues a prefix for the keys of one caller, with this node as the home and a peer as the witness. */
  issueKeyPrefix(): KeyPrefix {
    const { membership, random } = this.#options;
    const { incarnation, availabilityZone } = membership.self;
    const witness = chooseWitness(membership.peers(), availabilityZone, random);
    return this.#issue(incarnation, witness?.identity.incarnation);
  }

  /** Resolves when all requests running now have ended, including those whose callers have disconnected. */
  drained(): Promise<void> {
    return this.#runs.drained();
  }

  [Symbol.dispose](): void {
    this.#homeClient[Symbol.dispose]();
  }

  async #handle(
    route: ResolvedRoute,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const header = headerOf(request, IDEMPOTENCY_KEY_HEADER);
    const key = header === '' ? this.#assignKey() : KeyedRequests.#parse(header);
    if (header === '') response.setHeader(IDEMPOTENCY_KEY_HEADER, key.text);
    const keyed: KeyedRequest = {
      key,
      method: request.method ?? 'GET',
      pathAndQuery: request.url ?? '/',
      headers: request.headers,
      body: await this.#readBody(route, key, header === '', request),
    };
    if (key.homeIncarnation === this.#options.membership.self.incarnation) {
      const { settlement, repeated } = await this.#runs.handle(keyed);
      sendSettlement(response, settlement, repeated);
    } else {
      await this.#forward(keyed, response);
    }
  }

  #createRuns(): KeyedRuns {
    const { settings, membership, tables, clock, logger, dispatch, admission } = this.#options;
    return new KeyedRuns({
      home: this.#home,
      tables,
      membership,
      clock,
      logger,
      dispatch,
      tracing: this.#options.tracing,
      onRefused: this.#options.onRefused,
      admit: (route, caller) => admission.admit(admissionRequestOf(route, caller)),
      connectTimeoutMs: settings.timing.peerTimeoutMs,
      requestGrant: async (key) => {
        const endTimer = this.#metrics.grantSeconds.startTimer();
        const decision = await this.#witnessClient.grant(key);
        endTimer();
        return decision;
      },
      onSettled: (settlement) =>
        this.#metrics.requests.inc({
          outcome: settlement.outcome,
          cause: settlement.outcome === 'answered' ? '' : settlement.code,
        }),
      onRepeat: () => this.#metrics.repeats.inc(),
    });
  }

  #issue(homeIncarnation: string, witnessIncarnation: string | undefined): KeyPrefix {
    const expiresAtMs = Math.floor(this.#now()) + this.#options.settings.timing.keyTtlMs;
    const fields = { homeIncarnation, witnessIncarnation, expiresAtMs };
    return { prefix: formatKeyPrefix(fields, this.#secret), expiresAtMs };
  }

  /**
   * Creates the key of a request that was sent without one. It names no witness: no other node can get a request with
   * the key before this node has responded, so a grant would cost a round trip without affecting any outcome.
   */
  #assignKey(): IdempotencyKey {
    const { incarnation } = this.#options.membership.self;
    return parseIdempotencyKey(`${this.#issue(incarnation, undefined).prefix}${newId()}`);
  }

  static #parse(header: string): IdempotencyKey {
    try {
      return parseIdempotencyKey(header);
    } catch (error) {
      if (!(error instanceof KeyFormatError)) throw error;
      // During an upgrade, a node of the other version may have run a request with the key.
      const outcome = hasOtherFormatVersion(header) ? 'unknown' : 'not-run';
      throw requestError(error.message, { outcome, statusCode: 400, code: 'key-malformed' });
    }
  }

  async #readBody(
    route: ResolvedRoute,
    key: IdempotencyKey,
    assigned: boolean,
    request: IncomingMessage,
  ): Promise<Buffer> {
    const pool = this.#options.tables.current()?.pools.get(route.pool);
    const maxBytes = Math.min(MAX_KEYED_BODY_BYTES, pool?.maxBodyBytes ?? MAX_KEYED_BODY_BYTES);
    try {
      return await readKeyedBody(request, maxBytes, this.#options.clock, route.timeoutMs);
    } catch (error) {
      if (!(error instanceof RequestError)) throw error;
      const { message, statusCode, code } = error;
      // An earlier request with the caller's key may have run, so the outcome is `not-run` only if the key is closed.
      // After an incomplete upload the key stays open, because the caller will send the request again.
      const closes = assigned || code === 'body-too-large';
      const outcome = closes ? await this.#closeKey(key, 'body-too-large') : 'unknown';
      throw requestError(message, { outcome, statusCode, code }, error);
    }
  }

  /** Closes a key, unless a request with it may have run. Returns the outcome that is known. */
  async #closeKey(key: IdempotencyKey, code: NotRunCode): Promise<'not-run' | 'unknown'> {
    if (key.homeIncarnation !== this.#options.membership.self.incarnation) {
      return outcomeAfterSeal(await this.#witnessClient.seal(key));
    }
    return this.#home.refuse(key, code);
  }

  async #forward(request: KeyedRequest, response: ServerResponse): Promise<void> {
    const { key } = request;
    const { membership, logger } = this.#options;
    const home = membership.findIncarnation(key.homeIncarnation);
    const result = home
      ? await this.#homeClient.forward(home.identity, request)
      : { status: 'silent' as const, reason: 'no node with the incarnation of the home is known' };
    if (result.status === 'answered') {
      const headers = forwardNodeHeaders(result.headers);
      delete headers[HOME_HEADER];
      response.statusCode = result.statusCode;
      response.setHeaders(new Map(Object.entries(headers) as [string, string | string[]][]));
      response.end(result.body);
      return;
    }
    const outcome = outcomeAfterSeal(await this.#witnessClient.seal(key));
    this.#metrics.silentHomes.inc({ outcome });
    logger.warn('key-home-silent', { home: home?.identity.name, reason: result.reason, outcome });
    const problem = keyedProblem(outcome, 'home-silent');
    throw requestError(problem.detail, problem);
  }
}
