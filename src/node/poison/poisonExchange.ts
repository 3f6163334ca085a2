import type { MessageInitShape } from '@bufbuild/protobuf';
import {
  type ExchangeRequest,
  ExchangeRequestSchema,
  type ExchangeResponse,
  ExchangeResponseSchema,
  type SuspectedRequest as SuspectedRequestMessage,
  SuspectedRequestSchema,
} from '../../gen/hyssoppulley/v1/poison_pb.ts';
import type { NodeIdentity } from '../../gen/hyssoppulley/v1/peer_pb.ts';
import type { Clock } from '../../shared/clock.ts';
import { DisposableStore } from '../../shared/disposableStore.ts';
import { messageOf } from '../../shared/errors.ts';
import type { Random } from '../../shared/random.ts';
import { repeatEvery } from '../../shared/repeat.ts';
import type { SuspectedRequest } from '../decisions/poisonRequests/poisonRequests.ts';
import { preferredEntries } from '../decisions/preferredEntries.ts';
import type { MembershipView } from '../membership/membershipView.ts';
import type { Logger } from '../observability/logger.ts';
import type { PoisonGuard } from './poisonGuard.ts';

/** Delay before news are sent, in ms: the requests of an ended worker break at the same time. */
const SEND_DELAY_MS = 10;

/** Interval in which what is known is sent to one more node, in ms, for nodes that did not get the news. */
const REPEAT_INTERVAL_MS = 1000;

/** Number of nodes that a starting node asks for what they know. */
const NODES_ASKED_AT_START = 2;

/** Timeout of one call, in ms. */
const CALL_TIMEOUT_MS = 500;

/** Maximum number of nodes that news are sent to: as many as callers are sent to. */
const MAX_NODES_TOLD = 64;

/** Maximum number of requests in one message. */
const MAX_REQUESTS_SENT = 512;

/** Calls the node at an address. */
export type ExchangePoison = (
  node: NodeIdentity,
  request: MessageInitShape<typeof ExchangeRequestSchema>,
  timeoutMs: number,
) => Promise<ExchangeResponse>;

export interface PoisonExchangeOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly guard: PoisonGuard;
  readonly view: Pick<MembershipView, 'self' | 'peers'>;
  readonly call: ExchangePoison;
}

/** Tells other nodes at once under which requests workers have ended, and learns it from them. */
export class PoisonExchange implements AsyncDisposable {
  readonly #options: PoisonExchangeOptions;

  readonly #store = new DisposableStore();

  /** Digests of requests on which there are news to send. */
  readonly #changed = new Set<string>();

  /** Nodes that have told this one what they know. */
  #answers = 0;

  constructor(options: PoisonExchangeOptions) {
    this.#options = options;
    const { clock, guard } = options;
    guard.listen((digest) => this.#scheduleSend(digest));
    this.#store.add(repeatEvery(clock, REPEAT_INTERVAL_MS, () => this.#repeat()));
  }

  /** Handles the message of another node. */
  receive({
    requests,
    wantsAll,
  }: ExchangeRequest): MessageInitShape<typeof ExchangeResponseSchema> {
    this.#merge(requests);
    return { requests: wantsAll ? this.#known() : [] };
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#store[Symbol.asyncDispose]();
  }

  #scheduleSend(digest: string): void {
    const { clock, guard } = this.#options;
    this.#changed.add(digest);
    if (this.#changed.size > 1) return;
    clock.schedule(SEND_DELAY_MS, () => {
      const changed = [...this.#changed].flatMap((each) => guard.requests.find(each) ?? []);
      this.#changed.clear();
      const message = { requests: this.#toMessages(changed) };
      for (const node of this.#nodesTold()) void this.#send(node, message);
    });
  }

  /** Sends what is known to one node, and asks for what it knows until enough nodes have answered. */
  async #repeat(): Promise<void> {
    const { guard, random } = this.#options;
    const wantsAll = this.#answers < NODES_ASKED_AT_START;
    if (!wantsAll && guard.requests.size === 0) return;
    const nodes = this.#nodesTold();
    const node = nodes[Math.floor(random() * nodes.length)];
    if (node === undefined) return;
    const response = await this.#send(node, { requests: this.#known(), wantsAll });
    if (response === undefined) return;
    if (wantsAll) this.#answers += 1;
    this.#merge(response.requests);
  }

  async #send(
    node: NodeIdentity,
    message: MessageInitShape<typeof ExchangeRequestSchema>,
  ): Promise<ExchangeResponse | undefined> {
    const { call, logger } = this.#options;
    try {
      return await call(node, message, CALL_TIMEOUT_MS);
    } catch (error) {
      logger.info('poison-exchange-failed', { node: node.name, message: messageOf(error) });
      return undefined;
    }
  }

  /** Nodes that callers may be sent to. */
  #nodesTold(): NodeIdentity[] {
    const nodes = this.#options.view
      .peers()
      .filter(({ suspected, leaving }) => !suspected && !leaving)
      .map(({ identity }) => identity);
    return nodes.length <= MAX_NODES_TOLD
      ? nodes
      : preferredEntries(nodes).slice(0, MAX_NODES_TOLD);
  }

  #known() {
    const { clock, guard } = this.#options;
    return this.#toMessages(guard.requests.all(clock.monotonicMs()).slice(-MAX_REQUESTS_SENT));
  }

  #toMessages(
    requests: readonly SuspectedRequest[],
  ): MessageInitShape<typeof SuspectedRequestSchema>[] {
    const nowMs = this.#options.clock.monotonicMs();
    return requests.map(({ digest, ends, answeredMs }) => ({
      digest,
      ends: ends.map(({ worker, trial, atMs }) => ({
        ...{ worker, trial },
        ageMs: Math.round(nowMs - atMs),
      })),
      ...(answeredMs === -Infinity ? {} : { answeredAgeMs: Math.round(nowMs - answeredMs) }),
    }));
  }

  #merge(messages: readonly SuspectedRequestMessage[]): void {
    const { clock, guard, logger } = this.#options;
    const nowMs = clock.monotonicMs();
    for (const { digest, ends, answeredAgeMs } of messages.slice(0, MAX_REQUESTS_SENT)) {
      const request: SuspectedRequest = {
        digest,
        ends: ends.map(({ worker, trial, ageMs }) => ({ worker, trial, atMs: nowMs - ageMs })),
        answeredMs: answeredAgeMs === undefined ? -Infinity : nowMs - answeredAgeMs,
      };
      if (!guard.learn(request)) continue;
      logger.info('suspected-request-learned', {
        digest,
        ends: guard.requests.endsOf(digest, nowMs),
        verdict: guard.requests.verdictOf(digest, nowMs),
      });
    }
  }
}
