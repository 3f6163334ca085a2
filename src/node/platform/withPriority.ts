import type { CallPriority, PlatformClient } from './platformClient.ts';

/** A client whose reads, writes and removals all have a priority. */
export const withPriority = (
  platform: PlatformClient,
  priority: CallPriority,
): Pick<PlatformClient, 'read' | 'list' | 'write' | 'remove'> => ({
  read: (key, options) => platform.read(key, { ...options, priority }),
  list: (prefix, options) => platform.list(prefix, { ...options, priority }),
  write: (key, value, options) => platform.write(key, value, { ...options, priority }),
  remove: (key, options) => platform.remove(key, { ...options, priority }),
});
