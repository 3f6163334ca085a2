import { pathToFileURL } from 'node:url';
import { Command } from 'commander';
import { Caller, type CallReport, type RequestKind } from './caller.ts';
import { sleepMs } from '../standIns/standInServer.ts';

/** The callers of both deployments, at the shares of their days. */
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

/** Largest number of requests of one run; a run stops there whatever its duration. */
const MAX_REQUESTS = 100_000;

/** Sends requests at an even rate for a bounded time and gathers what became of each. */
export const runLoad = async (
  entries: readonly string[],
  kinds: readonly RequestKind[],
  durationMs: number,
): Promise<CallReport[]> => {
  const calls: Promise<CallReport>[] = [];
  const endMs = performance.now() + durationMs;
  const drive = async (kind: RequestKind) => {
    const caller = new Caller(entries);
    const intervalMs = 1000 / kind.ratePerSecond;
    for (let dueMs = performance.now(); dueMs < endMs; dueMs += intervalMs) {
      if (calls.length >= MAX_REQUESTS) return;
      await sleepMs(Math.max(0, dueMs - performance.now()));
      calls.push(caller.call(kind));
    }
  };
  await Promise.all(kinds.map(drive));
  return Promise.all(calls);
};

/** Counts the results of a run, by kind. */
export const summarise = (reports: readonly CallReport[]) => {
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
    .requiredOption('--entries <addresses>', 'caller addresses, separated by commas')
    .option('--seconds <number>', 'duration', '20')
    .option('--rate <factor>', 'factor on the rates', '1');
  program.parse();
  const { entries, seconds, rate } = program.opts<Record<'entries' | 'seconds' | 'rate', string>>();
  const kinds = DEPLOYMENT_REQUESTS[program.args[0] ?? ''] ?? [];
  const reports = await runLoad(
    entries.split(','),
    kinds.map((kind) => ({ ...kind, ratePerSecond: kind.ratePerSecond * Number(rate) })),
    Number(seconds) * 1000,
  );
  const latenciesMs = reports.map(({ latencyMs }) => latencyMs).sort((a, b) => a - b);
  const at = (share: number) =>
    Math.round(latenciesMs[Math.floor(latenciesMs.length * share)] ?? 0);
  console.log(JSON.stringify({ results: summarise(reports), p50Ms: at(0.5), p99Ms: at(0.99) }));
}
