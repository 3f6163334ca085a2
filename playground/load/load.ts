import { pathToFileURL } from 'node:url';
import { Command } from 'commander';
import { Caller, type CallReport, type RequestKind } from './caller.ts';
import { sleepMs } from '../standIns/standInServer.ts';

/** Requests of the callers of each example deployment, in the proportions of a working day there. */
export const DEPLOYMENT_REQUESTS: Record<string, readonly RequestKind[]> = {
  czujka: [
    {
      name: 'report',
      caller: 'intake',
      kind: 'service',
      method: 'POST',
      path: '/reports',
      idempotent: false,
      ratePerSecond: 10,
    },
    {
      name: 'dispatch',
      caller: 'intake',
      kind: 'service',
      method: 'POST',
      path: '/dispatches',
      idempotent: false,
      ratePerSecond: 5,
    },
    {
      name: 'records',
      caller: 'shift',
      kind: 'service',
      method: 'GET',
      path: '/records',
      idempotent: true,
      ratePerSecond: 10,
    },
    {
      name: 'triage',
      caller: 'intake',
      kind: 'completion',
      method: 'POST',
      path: '/v1/completions',
      idempotent: true,
      ratePerSecond: 15,
    },
  ],
  'thornbury-vail': [
    {
      name: 'quote',
      caller: 'dealers',
      kind: 'service',
      method: 'POST',
      path: '/quotes',
      idempotent: false,
      ratePerSecond: 10,
    },
    {
      name: 'booking',
      caller: 'booking',
      kind: 'service',
      method: 'POST',
      path: '/bookings',
      idempotent: false,
      ratePerSecond: 5,
    },
    {
      name: 'stock',
      caller: 'booking',
      kind: 'service',
      method: 'GET',
      path: '/stock',
      idempotent: true,
      ratePerSecond: 10,
    },
    {
      name: 'draft',
      caller: 'quotes',
      kind: 'completion',
      method: 'POST',
      path: '/v1/completions',
      idempotent: true,
      ratePerSecond: 15,
    },
  ],
};

/** Maximum number of requests of one run. A run that reaches it sends no more, even before its duration is over. */
const MAX_REQUESTS = 100_000;

/** Sends each kind of request at a constant rate for `durationMs` and returns a report of every request. */
export const runLoad = async (
  entries: readonly string[],
  kinds: readonly RequestKind[],
  durationMs: number,
): Promise<CallReport[]> => {
  const calls: Promise<CallReport>[] = [];
  const endMs = performance.now() + durationMs;
  const sendRequests = async (kind: RequestKind) => {
    const caller = new Caller(entries);
    const intervalMs = 1000 / kind.ratePerSecond;
    for (let dueMs = performance.now(); dueMs < endMs; dueMs += intervalMs) {
      if (calls.length >= MAX_REQUESTS) return;
      await sleepMs(Math.max(0, dueMs - performance.now()));
      calls.push(caller.call(kind));
    }
  };
  await Promise.all(kinds.map(sendRequests));
  return Promise.all(calls);
};

/** Counts requests by kind and result. */
export const countResults = (reports: readonly CallReport[]) => {
  const summary: Record<string, Record<string, number>> = {};
  for (const { kind, result } of reports) {
    const counts = summary[kind] ?? {};
    summary[kind] = counts;
    counts[result] = (counts[result] ?? 0) + 1;
  }
  return summary;
};

if (import.meta.url === pathToFileURL(process.argv[1] ?? '').href) {
  const program = new Command('load')
    .description('sends the requests of one deployment to entry nodes on loopback')
    .argument('<deployment>', Object.keys(DEPLOYMENT_REQUESTS).join(' or '))
    .requiredOption('--entries <addresses>', 'caller addresses of entry nodes, separated by commas')
    .option('--seconds <number>', 'duration of the load', '20')
    .option('--rate <factor>', 'factor by which the request rates are multiplied', '1');
  program.parse();
  const { entries, seconds, rate } = program.opts<Record<'entries' | 'seconds' | 'rate', string>>();
  const kinds = DEPLOYMENT_REQUESTS[program.args[0] ?? ''] ?? [];
  const reports = await runLoad(
    entries.split(','),
    kinds.map((kind) => ({ ...kind, ratePerSecond: kind.ratePerSecond * Number(rate) })),
    Number(seconds) * 1000,
  );
  const latenciesMs = reports.map(({ latencyMs }) => latencyMs).sort((a, b) => a - b);
  const percentile = (share: number) =>
    Math.round(latenciesMs[Math.floor(latenciesMs.length * share)] ?? 0);
  console.log(
    JSON.stringify({
      results: countResults(reports),
      p50Ms: percentile(0.5),
      p99Ms: percentile(0.99),
    }),
  );
}
