import { create } from '@bufbuild/protobuf';
import type { DutyRecord } from '../../gen/hyssoppulley/v1/duty_pb.ts';
import {
  type DutyStatus,
  DutyStatusSchema,
} from '../../gen/hyssoppulley/v1/gateway_operator_pb.ts';
import type { ControlApi, DutyName } from './controlCalls.ts';
import { type Duty, DutyRunner, type DutyRunnerOptions } from './duty.ts';

export interface DutySubsystemOptions extends Omit<DutyRunnerOptions, 'duty' | 'control'> {
  /** Undefined where the settings name no control API. */
  readonly control: ControlApi | undefined;
}

/** Runs the duties that the platform asks for, each while this node holds it. */
export class DutySubsystem implements Disposable {
  readonly #options: DutySubsystemOptions;

  readonly #runners: DutyRunner[] = [];

  constructor(options: DutySubsystemOptions) {
    this.#options = options;
  }

  /** Takes part in the election for a duty, if the platform asks for it. Its peers should be known by then. */
  run(duty: Duty): void {
    const { control } = this.#options;
    if (!control?.duties.includes(duty.name)) return;
    this.#runners.push(new DutyRunner({ ...this.#options, control, duty }));
  }

  /** Lease names to announce in heartbeats. */
  heldLeases(): string[] {
    return this.#runners.flatMap((runner) => runner.heldLeases());
  }

  /** The holder of a duty, according to the latest information of this node. */
  holderOf(name: DutyName): DutyRecord | undefined {
    return this.#runners.find((runner) => runner.name === name)?.election.holder;
  }

  /** Hands the duties of this node over in a planned stop. */
  async release(): Promise<void> {
    await Promise.all(this.#runners.map((runner) => runner.release()));
  }

  /** State of the duties for operators. */
  statuses(): DutyStatus[] {
    return this.#runners.map(({ name, election: { holder }, lastCall }) =>
      create(DutyStatusSchema, {
        name,
        holder: holder?.released === true ? '' : holder?.node,
        term: holder?.term,
        lastResult: lastCall?.result,
        lastCallAgeMs: Math.round(lastCall?.ageMs ?? 0),
      }),
    );
  }

  [Symbol.dispose](): void {
    for (const runner of this.#runners) runner[Symbol.dispose]();
  }
}
