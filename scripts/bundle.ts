import path from 'node:path';
import { build } from 'esbuild';

/** Bundles the program and its dependencies into one file. */
export const bundleProgram = async (root: string, file: string): Promise<void> => {
  await build({
    entryPoints: [path.join(root, 'src/node/cli.ts')],
    bundle: true,
    platform: 'node',
    target: 'node24',
    format: 'cjs',
    outfile: file,
    logLevel: 'warning',
  });
};
