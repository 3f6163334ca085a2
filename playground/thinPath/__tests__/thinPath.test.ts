import { execFile } from 'node:child_process';
import { mkdtemp, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { test } from 'node:test';
import { promisify } from 'node:util';
import { expect } from 'earl';
import { ProcessGroup } from '../../processes.ts';

const execFileAsync = promisify(execFile);

// Guards against a failure anywhere on the path from a caller through a node to an engine and to a service.
test(
  'requests to a node in a separate process get the responses of a service and an engine',
  { timeout: 60_000 },
  async () => {
    await using group = new ProcessGroup();
    const [platform, engine, service] = await Promise.all([
      group.startStandIn('platform'),
      group.startStandIn('engine'),
      group.startStandIn('service'),
    ]);
    const node = await group.startNode({
      name: 'entry-1',
      region: 'pl-central',
      availabilityZone: 'pl-central-a',
      callerPort: 0,
      peerPort: 0,
      platform: { url: `http://${platform.address}` },
    });
    const file = path.join(await mkdtemp(path.join(tmpdir(), 'hyssoppulley-')), 'tables.yaml');
    await writeFile(
      file,
      `
routes:
  - name: triage
    match: { pathPrefix: /v1/completions }
    pool: triage-lm
  - name: reports
    match: { pathPrefix: /reports }
    pool: intake
pools:
  - name: triage-lm
    protocol: model-engine
    workers: [{ name: engine-1, address: "${engine.address}" }]
  - name: intake
    protocol: plain-service
    workers: [{ name: intake-1, address: "${service.address}" }]
`,
    );
    const applied = await execFileAsync(process.execPath, [
      '--import',
      'tsx',
      'src/node/cli.ts',
      'apply',
      '-f',
      file,
      '--node',
      `127.0.0.1:${node.peerPort}`,
    ]);
    expect(applied.stdout).toEqual('in force on 1 of 1 nodes at revision 1\n');

    const base = `http://127.0.0.1:${node.callerPort}`;
    const report = await fetch(`${base}/reports/7`, { method: 'POST', body: 'gas odour' });
    expect(await report.json()).toEqual({ runId: '', path: '/reports/7', bytes: 9 });

    const completion = await fetch(`${base}/v1/completions`, {
      method: 'POST',
      body: JSON.stringify({ prompt: 'smell of gas', max_tokens: 4, stream: true }),
    });
    const text = await completion.text();
    expect(text.split('\n\n').filter(Boolean).length).toEqual(5);
    expect(text.endsWith('data: [DONE]\n\n')).toEqual(true);
  },
);
