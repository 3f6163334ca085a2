import { messageOf } from '../../shared/errors.ts';
import type { Logger } from '../observability/logger.ts';
import type { ProcessSignals } from '../processSignals.ts';
import { loadSettings, type ResolvedSettings } from './resolveSettings.ts';

/** Paths of the fields that differ between two settings objects, such as `timing.peerTimeoutMs`. */
export const changedFields = (before: unknown, after: unknown, path = ''): string[] => {
  if (JSON.stringify(before) === JSON.stringify(after)) return [];
  const isObject = (value: unknown): value is Record<string, unknown> =>
    typeof value === 'object' && value !== null && !Array.isArray(value);
  if (!isObject(before) || !isObject(after)) return [path];
  const names = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...names].flatMap((name) =>
    changedFields(before[name], after[name], path === '' ? name : `${path}.${name}`),
  );
};

export interface SettingsReloadOptions {
  readonly file: string;
  readonly settings: ResolvedSettings;
  readonly logger: Logger;
  /** Applies new settings. Returns the changed fields that need a restart. */
  readonly apply: (settings: ResolvedSettings, changed: readonly string[]) => readonly string[];
}

/**
 * Reloads the settings on SIGHUP, also on one that arrived during the start. An unusable file changes nothing. Requests in
 * progress continue in either case.
 */
export const reloadOnSighup = (
  signals: ProcessSignals,
  { file, settings, logger, apply }: SettingsReloadOptions,
): void => {
  let current = settings;
  const reload = async () => {
    try {
      const next = await loadSettings(file);
      const changed = changedFields(current, next);
      const needRestart = apply(next, changed);
      current = next;
      logger.info('settings-reloaded', {
        changed: changed.join(','),
        needRestart: needRestart.join(','),
      });
    } catch (error) {
      logger.error('settings-reload-failed', { file, message: messageOf(error) });
    }
  };
  signals.handle('SIGHUP', () => void reload());
};
