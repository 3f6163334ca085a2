import { mkdtemp, readFile, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { test } from 'node:test';
import { expect } from 'earl';
import { createTracing, noTracing } from '../tracing.ts';

const PARENT = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01';

// Guards against hops that are missing from a trace or have the wrong parent.
test('spans of each hop are written to a file', async () => {
  const folder = await mkdtemp(path.join(tmpdir(), 'hyssoppulley-'));
  const file = path.join(folder, 'spans.jsonl');
  const tracing = await createTracing({ serviceName: 'entry-1', file });
  const request = tracing.startSpan('request', 'server', PARENT, { route: 'r' });
  const worker = tracing.startSpan('worker', 'client', request.traceparent);
  worker.end('broken');
  request.end();
  await tracing[Symbol.asyncDispose]();
  const lines = (await readFile(file, 'utf8')).trim().split('\n');
  const [inner, outer] = lines.map((line) => JSON.parse(line) as Record<string, unknown>);
  expect(outer?.traceId).toEqual('0af7651916cd43dd8448eb211c80319c');
  expect(outer?.parentSpanId).toEqual('b7ad6b7169203331');
  expect(inner?.traceId).toEqual('0af7651916cd43dd8448eb211c80319c');
  expect(inner?.parentSpanId).toEqual(outer?.spanId);
  expect(inner?.status).toEqual({ code: 2, message: 'broken' });
  await rm(folder, { recursive: true });
});

// Guards against a node without tracing that breaks the caller's trace or passes an invalid context through.
test('without tracing a valid context is passed through unchanged and an invalid one is dropped', async () => {
  expect(await createTracing({ serviceName: 'entry-1' })).toEqual(noTracing);
  expect(noTracing.startSpan('request', 'server', PARENT).traceparent).toEqual(PARENT);
  for (const invalid of [
    '',
    'x',
    PARENT.replace('0af7', '0AF7'),
    `00-${'0'.repeat(32)}-b7ad6b7169203331-01`,
  ]) {
    expect(noTracing.startSpan('request', 'server', invalid).traceparent).toEqual(undefined);
  }
});
