import type { DutyName } from '../duties/controlCalls.ts';
import type { ResolvedControl } from '../settings/resolveSettings.ts';
import { UsageSubsystem, type UsageSubsystemOptions } from './usageSubsystem.ts';

export interface CreateUsageOptions extends Omit<UsageSubsystemOptions, 'windowMs' | 'dueMs'> {
  readonly control: Pick<ResolvedControl, 'usageWindowMs' | 'usageDueMs'> | undefined;
  /** Duties that the platform asks for. */
  readonly asked: readonly DutyName[];
}

/** Creates the counting and reporting of use; undefined where the platform does not ask for it. */
export const createUsage = ({
  control,
  asked,
  ...options
}: CreateUsageOptions): UsageSubsystem | undefined =>
  control !== undefined && asked.includes('usage-reports')
    ? new UsageSubsystem({
        ...options,
        windowMs: control.usageWindowMs,
        dueMs: control.usageDueMs,
      })
    : undefined;
