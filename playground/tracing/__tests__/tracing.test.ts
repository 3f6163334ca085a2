import { readFile } from 'node:fs/promises';
import path from 'node:path';
import { test } from 'node:test';
import { expect } from 'earl';
import {
  applyServiceTables,
  entriesOf,
  startClusterNode,
  waitForEntries,
  waitUntil,
} from '../../membership/cluster.ts';
import { ProcessGroup } from '../../processes.ts';

interface Span {
  readonly traceId: string;
  readonly spanId: string;
  readonly parentSpanId?: string;
  readonly name: string;
}

const TRACE_ID = '0af7651916cd43dd8448eb211c80319c';

const NON_IDEMPOTENT_ROUTE = {
  name: 'dispatch',
  match: { pathPrefix: '/dispatch' },
  pool: 'intake',
  idempotent: false,
};

// Guards against a hop between nodes that is missing from a request's trace or has the wrong parent span.
test(
  'a keyed request forwarded to its home has a span for each hop under the right parent',
  { timeout: 60_000 },
  async () => {
    await using group = new ProcessGroup();
    const [platform, service] = await Promise.all([
      group.startStandIn('platform'),
      group.startStandIn('service'),
    ]);
    const folder = await group.temporaryFolder();
    const nodes = await Promise.all(
      ['entry-a', 'entry-b'].map((name) =>
        startClusterNode(group, platform.address, name, {
          trace: { file: path.join(folder, `${name}.jsonl`) },
        }),
      ),
    );
    const [home, entry] = nodes as [(typeof nodes)[number], (typeof nodes)[number]];
    const workers = [{ name: 'intake-1', address: service.address }];
    await applyServiceTables(group, home, workers, [NON_IDEMPOTENT_ROUTE]);
    await waitForEntries(nodes, nodes);
    const { idempotencyKeyPrefix = '' } = (await entriesOf(home)) ?? {};
    const response = await fetch(`http://${entry.address}/dispatch`, {
      method: 'POST',
      headers: {
        'idempotency-key': `${idempotencyKeyPrefix}trace-1`,
        traceparent: `00-${TRACE_ID}-b7ad6b7169203331-01`,
      },
      body: 'crew',
    });
    expect(response.status).toEqual(200);

    let spans: Span[] = [];
    await waitUntil('all spans are written', async () => {
      const texts = await Promise.all(
        nodes.map(({ name }) =>
          readFile(path.join(folder, `${name}.jsonl`), 'utf8').catch(() => ''),
        ),
      );
      spans = texts
        .flatMap((text) => text.split('\n').slice(0, -1))
        .map((line) => JSON.parse(line) as Span)
        .filter(({ traceId }) => traceId === TRACE_ID);
      return spans.length >= 5;
    });
    const parentName = (name: string) => {
      const span = spans.find((candidate) => candidate.name === name);
      return spans.find(({ spanId }) => spanId === span?.parentSpanId)?.name;
    };
    expect(spans.map(({ name }) => name).sort()).toEqual([
      'forward-to-home',
      'forwarded-request',
      'grant',
      'request',
      'worker',
    ]);
    expect(parentName('forward-to-home')).toEqual('request');
    expect(parentName('forwarded-request')).toEqual('forward-to-home');
    expect(parentName('grant')).toEqual('forwarded-request');
    expect(parentName('worker')).toEqual('forwarded-request');
  },
);
