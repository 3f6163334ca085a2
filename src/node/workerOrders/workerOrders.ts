import type { ServiceImpl } from '@connectrpc/connect';
import type { DemandService } from '../../gen/hyssoppulley/v1/demand_pb.ts';
import type { WorkerOrderStatus } from '../../gen/hyssoppulley/v1/gateway_operator_pb.ts';
import type { DispatcherDemand } from '../batches/batchDemand.ts';
import type { DutyContext, Duty } from '../duties/duty.ts';
import type { DutySubsystem } from '../duties/dutySubsystem.ts';
import type { PeerClients } from '../membership/peerClients.ts';
import { WORKER_ORDERS_DUTY } from './constants.ts';
import { DemandReporter } from './demandReporter.ts';
import { DemandReports } from './demandReports.ts';
import { WorkerOrdersDuty, type WorkerOrdersDutyOptions } from './workerOrdersDuty.ts';

export interface WorkerOrdersOptions extends Omit<WorkerOrdersDutyOptions, 'demands'> {
  readonly duties: Pick<DutySubsystem, 'holderOf'>;
  readonly peerClients: Pick<PeerClients, 'demand'>;
  /** Demand of the pools that this node dispatches. */
  readonly demands: () => readonly DispatcherDemand[];
}

/** Orders for workers at one node: reports the demand of its pools, and sends the orders while it holds the duty. */
export class WorkerOrders implements Disposable, Duty {
  /** Name of the duty. */
  readonly name = WORKER_ORDERS_DUTY;

  readonly handlers: ServiceImpl<typeof DemandService>;

  readonly #options: WorkerOrdersOptions;

  readonly #reports: DemandReports;

  readonly #reporter: DemandReporter;

  #duty: WorkerOrdersDuty | undefined;

  constructor(options: WorkerOrdersOptions) {
    this.#options = options;
    const { clock, logger, duties, peerClients } = options;
    this.#reports = new DemandReports(clock);
    this.handlers = {
      reportDemand: (request) => {
        this.#reports.receive(request);
        return {};
      },
    };
    this.#reporter = new DemandReporter({
      ...{ clock, logger },
      holder: () => duties.holderOf(WORKER_ORDERS_DUTY),
      isHolder: () => this.#duty !== undefined,
      demands: () => this.#orderable(),
      receive: (demand) => this.#reports.receive(demand),
      call: (node, demand, timeoutMs) =>
        peerClients.demand(node).reportDemand(demand, { timeoutMs }),
    });
  }

  /** Runs the duty until the result is disposed. */
  start(context: DutyContext): Disposable {
    this.#duty?.[Symbol.dispose]();
    const duty = new WorkerOrdersDuty({ ...this.#options, demands: this.#reports }, context);
    this.#duty = duty;
    return {
      [Symbol.dispose]: () => {
        duty[Symbol.dispose]();
        if (this.#duty === duty) this.#duty = undefined;
      },
    };
  }

  /** Orders in effect as far as known; none at a node that does not hold the duty. */
  statuses(): WorkerOrderStatus[] {
    return this.#duty?.statuses() ?? [];
  }

  [Symbol.dispose](): void {
    this.#reporter[Symbol.dispose]();
    this.#duty?.[Symbol.dispose]();
  }

  #orderable(): DispatcherDemand[] {
    const pools = this.#options.tables()?.pools;
    return this.#options
      .demands()
      .filter(({ pool = '' }) => pools?.get(pool)?.scaling !== undefined);
  }
}
