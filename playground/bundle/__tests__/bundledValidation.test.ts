import { execFile } from 'node:child_process';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { test } from 'node:test';
import { promisify } from 'node:util';
import { expect } from 'earl';
import { fileURLToPath } from 'node:url';
import { bundle } from '../../../scripts/bundle.ts';
import { violationsOf } from './violations.ts';

const VIOLATIONS_FILE = fileURLToPath(new URL('violations.ts', import.meta.url));

// Guards against a bundle in which the changed compilation of validation rules loses or changes a violation.
test('bundled validation rules find the same violations as those of the library', async () => {
  const folder = await mkdtemp(path.join(tmpdir(), 'hyssoppulley-'));
  try {
    const file = path.join(folder, 'violations.cjs');
    await bundle(VIOLATIONS_FILE, file);
    const { stdout } = await promisify(execFile)(process.execPath, [file, 'print']);
    const violations = violationsOf();
    expect(violations.length).toEqual(5);
    expect(JSON.parse(stdout)).toEqual(violations);
  } finally {
    await rm(folder, { recursive: true, force: true });
  }
});
