import { copyFile, mkdir } from 'node:fs/promises';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { bundleProgram } from './bundle.ts';

// Builds target/ for deployment on the users' platform: the bundled program and the pinned Node runtime.
const root = fileURLToPath(new URL('..', import.meta.url));
const target = path.join(root, 'target');

await mkdir(target, { recursive: true });
await bundleProgram(root, path.join(target, 'hyssoppulley.cjs'));
await copyFile(path.join(root, 'node_modules/node/bin/node'), path.join(target, 'node'));
