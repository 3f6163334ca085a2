import { execFile } from 'node:child_process';
import { mkdtemp, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { test } from 'node:test';
import { expect } from 'earl';
import { ProcessGroup } from '../../processes.ts';

interface CommandResult {
  readonly exitCode: number;
  readonly stdout: string;
  readonly stderr: string;
}

const runCommand = (...args: string[]): Promise<CommandResult> =>
  new Promise((resolve) => {
    const command = ['--import', 'tsx', 'src/node/cli.ts', ...args];
    execFile(process.execPath, command, (error, stdout, stderr) => {
      resolve({ exitCode: error ? Number(error.code) : 0, stdout, stderr });
    });
  });

const tablesWith = (...pools: string[]): string =>
  JSON.stringify({ pools: pools.map((name) => ({ name, protocol: 'plain-service' })) });

// Guards against two conflicting changes that are both accepted, a lost response that is reported as a failure, and an
// outage after which the operator cannot determine the result.
test('operators get the correct result of concurrent changes, after lost responses and an outage', async () => {
  await using group = new ProcessGroup();
  const platform = await group.startStandIn('platform');
  const setFaults = async (faults: Record<string, unknown>) => {
    const body = JSON.stringify(faults);
    await fetch(`http://${platform.address}/control/faults`, { method: 'PUT', body });
  };
  const nodes = await Promise.all(
    ['a', 'b', 'c'].map((name) =>
      group.startNode({
        name,
        region: 'pl-central',
        availabilityZone: `pl-central-${name}`,
        callerPort: 0,
        peerPort: 0,
        platform: { url: `http://${platform.address}` },
      }),
    ),
  );
  const folder = await mkdtemp(path.join(tmpdir(), 'hyssoppulley-'));
  const apply = async (node: number, name: string, text: string, ...options: string[]) => {
    const file = path.join(folder, `${name}.yaml`);
    await writeFile(file, text);
    const address = `127.0.0.1:${nodes[node]?.peerPort}`;
    return runCommand('apply', '-f', file, '--node', address, ...options);
  };

  const first = await apply(0, 'first', tablesWith('intake'));
  expect(first.stdout).toEqual('in force on 3 of 3 nodes at revision 1\n');

  const race = await Promise.all([
    apply(0, 'left', tablesWith('intake', 'left'), '--if-revision', '1'),
    apply(1, 'right', tablesWith('intake', 'right'), '--if-revision', '1'),
  ]);
  expect(race.map(({ exitCode }) => exitCode).sort()).toEqual([0, 4]);
  expect(race.some(({ stderr }) => stderr.startsWith('refused: '))).toEqual(true);

  await setFaults({ loseNextAnswers: 2 });
  const lost = await apply(1, 'lost', tablesWith('lost'));
  expect(lost.stdout).toEqual('in force on 3 of 3 nodes at revision 3\n');

  // The second write of the head accepts the change. It takes effect, but its response is lost in the outage.
  await setFaults({ outageAfterHeadWrites: 2 });
  const unknown = await apply(2, 'unknown', tablesWith('unknown'));
  expect(unknown.exitCode).toEqual(5);
  const operation = /--operation (\w+)/.exec(unknown.stderr)?.[1] ?? '';
  await setFaults({});
  const repeated = await apply(0, 'unknown', tablesWith('unknown'), '--operation', operation);
  expect(repeated.stdout).toEqual('in force on 3 of 3 nodes at revision 4\n');

  const address = `127.0.0.1:${nodes[0]?.peerPort}`;
  const history = await runCommand('history', '-o', 'json', '--node', address);
  const { entries } = JSON.parse(history.stdout) as { entries: { revision: number }[] };
  expect(entries.map(({ revision }) => revision)).toEqual([4, 3, 2, 1]);
  const tables = await runCommand('get', 'tables', '--node', address);
  expect(tables.stdout).toEqual(
    '# revision 4\npools:\n  - name: unknown\n    protocol: plain-service\n',
  );
});

// Guards against changed exit codes, which scripts rely on.
test('usage errors, invalid tables and unreachable nodes have distinct exit codes', async () => {
  const folder = await mkdtemp(path.join(tmpdir(), 'hyssoppulley-'));
  const file = path.join(folder, 'tables.yaml');
  await writeFile(file, tablesWith('a', 'a'));
  const [help, usage, wait, invalid, unreachable, missing] = await Promise.all([
    runCommand('--help'),
    runCommand('apply'),
    runCommand('apply', '-f', file, '--wait', '16'),
    runCommand('check', '-f', file),
    runCommand('get', 'nodes', '--node', '127.0.0.1:1', '--node', '127.0.0.1:2'),
    runCommand('check', '-f', `${file}.missing`),
  ]);
  const codes = [help, usage, wait, invalid, unreachable, missing].map(({ exitCode }) => exitCode);
  expect(codes).toEqual([0, 2, 2, 3, 6, 2]);
  expect(invalid.stderr).toEqual(
    `${file}:1: pools[1].name: found "a" a second time; allowed: a name used once\n`,
  );
  expect(unreachable.stderr.includes('127.0.0.1:2')).toEqual(true);
});
