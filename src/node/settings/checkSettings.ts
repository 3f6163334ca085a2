import type { DocumentFault } from './documentError.ts';
import type { ResolvedSettings } from './resolveSettings.ts';

const MAX_PORT = 65_535;

/** Finds timings that contradict each other, after the defaults have been applied. */
const checkTiming = ({ timing }: ResolvedSettings): DocumentFault[] => {
  const rules: [keyof typeof timing, 'at least' | 'at most', number, string][] = [
    // A single lost heartbeat must not cause a suspicion.
    ['suspectAfterMs', 'at least', 2 * timing.heartbeatIntervalMs, '2 × heartbeatIntervalMs'],
    // The right to serve must outlast the interval between two responses from the platform or a peer.
    ['isolationMs', 'at least', 2 * timing.heartbeatIntervalMs, '2 × heartbeatIntervalMs'],
    ['isolationMs', 'at least', 2 * timing.headPollIntervalMs, '2 × headPollIntervalMs'],
    // An unreachable peer must be suspected before this node's right to serve ends. The rules for prepared revisions in
    // section 7 of docs/design.md rely on it.
    ['suspectAfterMs', 'at most', timing.isolationMs, 'isolationMs'],
    ['peerTimeoutMs', 'at most', timing.isolationMs, 'isolationMs'],
    ['leaseMarginMs', 'at most', timing.leaseTtlMs / 2, 'half of leaseTtlMs'],
    // A single lost renewal must not end the lease.
    [
      'leaseRenewIntervalMs',
      'at most',
      (timing.leaseTtlMs - timing.leaseMarginMs) / 2,
      'half of (leaseTtlMs - leaseMarginMs)',
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

/** Checks what the rules in the schema cannot express: values that contradict each other. */
export const checkSettings = (settings: ResolvedSettings): DocumentFault[] => {
  const { callerPort, peerPort, seedPeers } = settings;
  const faults = checkTiming(settings);
  if (callerPort !== 0 && callerPort === peerPort) {
    const found = `${peerPort}, which is also callerPort`;
    faults.push({ path: 'peerPort', found, allowed: 'a port other than callerPort' });
  }
  seedPeers.forEach((address, index) => {
    const port = Number(address.slice(address.lastIndexOf(':') + 1));
    if (port >= 1 && port <= MAX_PORT) return;
    const allowed = `a port from 1 to ${MAX_PORT}`;
    faults.push({ path: `seedPeers[${index}]`, found: `"${address}"`, allowed });
  });
  return faults;
};
