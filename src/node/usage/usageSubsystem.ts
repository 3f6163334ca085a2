import { create } from '@bufbuild/protobuf';
import {
  type UsageStatus,
  UsageStatusSchema,
} from '../../gen/hyssoppulley/v1/gateway_operator_pb.ts';
import type { NodeIdentity } from '../../gen/hyssoppulley/v1/peer_pb.ts';
import type { Clock } from '../../shared/clock.ts';
import type { Random } from '../../shared/random.ts';
import { nextCandidate } from '../decisions/holderClaim.ts';
import { AgreedClock } from '../decisions/usage/agreedClock.ts';
import { UsageLedger } from '../decisions/usage/usageLedger.ts';
import type { Duty } from '../duties/duty.ts';
import type { DutySubsystem } from '../duties/dutySubsystem.ts';
import type { ElectionView } from '../election/holderElection.ts';
import type { Logger } from '../observability/logger.ts';
import type { Metrics } from '../observability/metrics.ts';
import type { PlatformClient } from '../platform/platformClient.ts';
import { UsageCounter } from './usageCounter.ts';
import { type ReportCounts, UsageExchange, type UsageReceiver } from './usageExchange.ts';
import { UsageReporter } from './usageReporter.ts';
import { UsageStore } from './usageStore.ts';

const DUTY_NAME = 'usage-reports';

export interface UsageSubsystemOptions {
  readonly platform: PlatformClient;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Pick<Metrics, 'usageWindows' | 'usageDropped'>;
  readonly view: ElectionView;
  readonly duties: Pick<DutySubsystem, 'holderOf'>;
  readonly call: ReportCounts;
  /** Length of a window, in ms. */
  readonly windowMs: number;
  /** Time after the end of a window at which its report is due, in ms. */
  readonly dueMs: number;
}

/** Counts the requests of client accounts, exchanges the counts between nodes and reports them. */
export class UsageSubsystem implements Disposable {
  readonly counter: UsageCounter;

  readonly exchange: UsageExchange;

  readonly #options: UsageSubsystemOptions;

  readonly #ledger = new UsageLedger();

  readonly #agreedClock: AgreedClock;

  #reporter: UsageReporter | undefined;

  constructor(options: UsageSubsystemOptions) {
    this.#options = options;
    const { clock, logger, metrics, windowMs } = options;
    const agreedClock = new AgreedClock(clock);
    this.#agreedClock = agreedClock;
    this.counter = new UsageCounter({
      ...{ clock, agreedClock, windowMs },
      onDropped: () => metrics.usageDropped.inc(),
    });
    this.exchange = new UsageExchange({
      ...{ ...options, agreedClock, counter: this.counter, ledger: this.#ledger, logger },
      receivers: () => this.#receivers(),
    });
  }

  /** The duty of reporting what all nodes counted. */
  get duty(): Duty {
    return {
      name: DUTY_NAME,
      formerSettled: async ({ term }) => {
        const [stored] = await Promise.all([
          new UsageStore(this.#options).list(),
          this.exchange.recall(),
        ]);
        const { confirmed } = this.exchange;
        if (confirmed?.term !== term) return false;
        return [...stored.keys()].every((window) => window <= confirmed.window);
      },
      start: (context) => {
        const agreedClock = this.#agreedClock;
        const reporter = new UsageReporter(
          {
            ...{ ...this.#options, agreedClock, ledger: this.#ledger, exchange: this.exchange },
            store: new UsageStore(this.#options),
          },
          context,
        );
        this.#reporter = reporter;
        return {
          [Symbol.dispose]: () => {
            reporter[Symbol.dispose]();
            this.#reporter = undefined;
          },
        };
      },
    };
  }

  /** Counts by window for operators: those of all nodes at the holder, else what this node has kept. */
  statuses(): UsageStatus[] {
    this.exchange.refreshOwn();
    return this.#ledger.windows().map((window) =>
      create(UsageStatusSchema, {
        window: BigInt(window),
        requests: Object.fromEntries(this.#ledger.totalOf(window).counts),
        state: this.#reporter?.stateOf(window) ?? 'open',
      }),
    );
  }

  [Symbol.dispose](): void {
    this.exchange[Symbol.dispose]();
  }

  /** The holder of the duty and the node that follows it, without this one. */
  #receivers(): UsageReceiver[] {
    const { view, duties } = this.#options;
    const holder = duties.holderOf(DUTY_NAME);
    const candidateOf = (identity: NodeIdentity, eligible: boolean) => ({ ...identity, eligible });
    const candidates = [
      candidateOf(view.self, !view.leaving),
      ...view
        .peers()
        .map(({ identity, suspected, leaving, platformLost }) =>
          candidateOf(identity, !suspected && !leaving && !platformLost),
        ),
    ].filter(({ incarnation }) => incarnation !== holder?.incarnation);
    const next = nextCandidate(DUTY_NAME, candidates);
    const receivers: UsageReceiver[] = [];
    if (holder !== undefined && holder.released !== true) {
      const { node: name, incarnation, host, peerPort } = holder;
      receivers.push({ name, incarnation, host, peerPort });
    }
    const nextNode = candidates.find(({ name }) => name === next?.name);
    if (nextNode !== undefined) receivers.push(nextNode);
    return receivers.filter(({ incarnation }) => incarnation !== view.self.incarnation);
  }
}
