import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import net from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { test } from 'node:test';
import { expect } from 'earl';

// Guards against a node that cannot open a port and stays, useless, instead of ending so that it is started again
// (found by npm run fault-soak: the node printed EADDRINUSE and ran on).
test('a node that cannot listen ends with an exit code', { timeout: 30_000 }, async () => {
  const taken = net.createServer().listen(0, '127.0.0.1');
  await once(taken, 'listening');
  const address = `127.0.0.1:${(taken.address() as net.AddressInfo).port}`;
  const folder = await mkdtemp(path.join(tmpdir(), 'hyssoppulley-'));
  const file = path.join(folder, 'node.yaml');
  const free = '127.0.0.1:0';
  await writeFile(
    file,
    JSON.stringify({
      ...{ name: 'n', region: 'r', availabilityZone: 'z', host: '127.0.0.1' },
      platform: { url: 'http://127.0.0.1:9' },
      gateway: {
        ...{ frontAddress: address, readyAddress: free, directoryAddress: free, peerAddress: free },
      },
    }),
  );
  const child = spawn(
    process.execPath,
    ['--import', 'tsx', 'src/node/cli.ts', 'node', '--config', file],
    { stdio: 'ignore' },
  );
  try {
    const [exitCode] = (await once(child, 'exit')) as [number | null];
    expect(exitCode).toEqual(1);
  } finally {
    child.kill('SIGKILL');
    taken.close();
    await rm(folder, { recursive: true, force: true });
  }
});
