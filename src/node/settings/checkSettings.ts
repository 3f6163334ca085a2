import type { DocumentFault } from './documentError.ts';
import type { ResolvedSettings } from './resolveSettings.ts';

const MAX_PORT = 65_535;

/** Timings that contradict each other, after defaults were filled in. */
const checkTiming = ({ timing }: ResolvedSettings): DocumentFault[] => {
  const rules: [keyof typeof timing, 'at least' | 'at most', number, string][] = [
    // One lost heartbeat must not raise a suspicion.
    ['suspectAfterMs', 'at least', 2 * timing.heartbeatIntervalMs, '2 × heartbeatIntervalMs'],
    // The right to serve must outlast the interval between two words from the platform or a peer.
    ['isolationMs', 'at least', 2 * timing.heartbeatIntervalMs, '2 × heartbeatIntervalMs'],
    ['isolationMs', 'at least', 2 * timing.headPollIntervalMs, '2 × headPollIntervalMs'],
    // A peer out of sight is suspected before this node's right ends: section 7 relies on it for prepared revisions.
    ['suspectAfterMs', 'at most', timing.isolationMs, 'isolationMs'],
    ['peerTimeoutMs', 'at most', timing.isolationMs, 'isolationMs'],
    ['leaseMarginMs', 'at most', timing.leaseTtlMs / 2, 'half of leaseTtlMs'],
    // One lost renewal must not end the lease.
    [
      'leaseRenewIntervalMs',
      'at most',
      (timing.leaseTtlMs - timing.leaseMarginMs) / 2,
      'half of leaseTtlMs less leaseMarginMs',
    ],
    ['keyTtlMs', 'at least', timing.entriesTtlMs, 'entriesTtlMs'],
  ];
  return rules.flatMap(([field, relation, limitMs, name]) => {
    const valueMs = timing[field];
    const holds = relation === 'at least' ? valueMs >= limitMs : valueMs <= limitMs;
    if (holds) return [];
    return [
      {
        path: `timing.${field}`,
        found: `${valueMs} ms`,
        allowed: `${relation} ${limitMs} ms (${name})`,
      },
    ];
  });
};

/** Checks what the schema's rules cannot express: values that contradict each other. */
export const checkSettings = (settings: ResolvedSettings): DocumentFault[] => {
  const { callerPort, peerPort, seedPeers } = settings;
  const faults = checkTiming(settings);
  if (callerPort !== 0 && callerPort === peerPort) {
    const found = `${peerPort}, which is also the callerPort`;
    faults.push({ path: 'peerPort', found, allowed: 'another port' });
  }
  seedPeers.forEach((address, index) => {
    const port = Number(address.slice(address.lastIndexOf(':') + 1));
    if (port >= 1 && port <= MAX_PORT) return;
    const allowed = `a port from 1 to ${MAX_PORT}`;
    faults.push({ path: `seedPeers[${index}]`, found: `"${address}"`, allowed });
  });
  return faults;
};
