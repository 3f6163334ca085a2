import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import net from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { test } from 'node:test';
import { expect } from 'earl';

// Guards against a node that cannot open a port but keeps running without serving, instead of exiting so that it is
// restarted (found by npm run fault-soak: the node printed EADDRINUSE and kept running).
test('a node whose front port is taken exits with code 1', { timeout: 30_000 }, async () => {
  const occupyingServer = net.createServer().listen(0, '127.0.0.1');
  await once(occupyingServer, 'listening');
  const takenAddress = `127.0.0.1:${(occupyingServer.address() as net.AddressInfo).port}`;
  const folder = await mkdtemp(path.join(tmpdir(), 'hyssoppulley-'));
  const file = path.join(folder, 'node.yaml');
  const freeAddress = '127.0.0.1:0';
  await writeFile(
    file,
    JSON.stringify({
      ...{ name: 'n', region: 'r', availabilityZone: 'z', host: '127.0.0.1' },
      platform: { url: 'http://127.0.0.1:9' },
      gateway: {
        ...{
          frontAddress: takenAddress,
          readyAddress: freeAddress,
          directoryAddress: freeAddress,
          peerAddress: freeAddress,
        },
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
    occupyingServer.close();
    await rm(folder, { recursive: true, force: true });
  }
});
