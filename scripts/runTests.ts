import { readFile, glob } from 'node:fs/promises';
import path from 'node:path';
import { run } from 'node:test';
import { spec } from 'node:test/reporters';
import { fileURLToPath } from 'node:url';

// Runs the test files that match the given patterns, or all tests. Failures of the tests that KNOWN-RED.txt lists by name
// in lines `test: NAME` are printed but do not fail the run.
const root = fileURLToPath(new URL('..', import.meta.url));
const PATTERNS = ['src', 'platform', 'playground'].map(
  (folder) => `${folder}/**/__tests__/*.test.ts`,
);
// Some test files start up to ten processes. With more files at once, tests would fail on an overloaded machine rather than
// on faults of the product.
const MAX_CONCURRENT_FILES = 4;

const knownFailures = async (): Promise<Set<string>> => {
  const text = await readFile(path.join(root, 'KNOWN-RED.txt'), 'utf8').catch(() => '');
  return new Set([...text.matchAll(/^test: (.+)$/gm)].map((match) => match[1] ?? ''));
};

const selectedPatterns = process.argv.slice(2);
const files: string[] = [];
for await (const file of glob(selectedPatterns.length > 0 ? selectedPatterns : PATTERNS, {
  cwd: root,
})) {
  files.push(path.join(root, file));
}
const known = await knownFailures();
const failed = new Set<string>();
const passed = new Set<string>();
const stream = run({
  files: files.sort(),
  concurrency: MAX_CONCURRENT_FILES,
  execArgv: ['--import', 'tsx'],
});
stream.on('test:fail', (event) => {
  // A file or suite also fails when one of its tests fails; only the tests and files that cannot be loaded are counted.
  const { failureType } = event.details.error as { failureType?: string };
  if (failureType !== 'subtestsFailed') failed.add(event.name);
});
stream.on('test:pass', (event) => passed.add(event.name));
stream.compose(spec).pipe(process.stdout);
stream.on('end', () => {
  const unexpected = [...failed].filter((name) => !known.has(name));
  for (const name of failed) if (known.has(name)) console.log(`known failure passed over: ${name}`);
  for (const name of known) {
    if (passed.has(name)) console.log(`listed in KNOWN-RED.txt but passed: ${name}`);
  }
  for (const name of unexpected) console.log(`failed: ${name}`);
  if (files.length === 0) console.log('no test files found');
  process.exitCode = unexpected.length > 0 || files.length === 0 ? 1 : 0;
});
