import { execFile } from 'node:child_process';
import { chmod, copyFile, mkdir, readFile, rm, writeFile } from 'node:fs/promises';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';
import { inject } from 'postject';
import { bundleProgram } from './bundle.ts';

// Builds dist/hyssoppulley, a single executable with the bundled program and the pinned Node runtime.
const root = fileURLToPath(new URL('..', import.meta.url));
const dist = path.join(root, 'dist');
const bundle = path.join(dist, 'hyssoppulley.cjs');
const blob = path.join(dist, 'hyssoppulley.blob');
const binary = path.join(dist, 'hyssoppulley');

await mkdir(dist, { recursive: true });
await bundleProgram(root, bundle);
const config = path.join(dist, 'sea-config.json');
await writeFile(
  config,
  JSON.stringify({ main: bundle, output: blob, disableExperimentalSEAWarning: true }),
);
await promisify(execFile)(process.execPath, ['--experimental-sea-config', config]);
await rm(binary, { force: true });
await copyFile(process.execPath, binary);
await inject(binary, 'NODE_SEA_BLOB', await readFile(blob), {
  // Fixed marker in the Node binary that tells Node whether a program was injected.
  sentinelFuse: 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2',
});
await chmod(binary, 0o755);
await Promise.all([config, blob].map((file) => rm(file)));
