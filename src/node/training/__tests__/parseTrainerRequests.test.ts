import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { RequestError } from '../../dataPath/problem.ts';
import {
  parsePullRequest,
  parseStepSubmission,
  parseWeightPublication,
} from '../parseTrainerRequests.ts';

const bodyOf = (value: unknown) => Buffer.from(JSON.stringify(value));

const refusalOf = (parse: () => unknown) => {
  try {
    parse();
  } catch (error) {
    if (error instanceof RequestError) return error;
    throw error;
  }
  return undefined;
};

// Guards against a refusal that names only one fault, or says nothing of what is allowed.
test('a refusal lists every wrong field with what was found and what is allowed', () => {
  const error = refusalOf(() =>
    parseStepSubmission(
      bodyOf({ stepId: 'a/b', groups: [{ groupId: 'g' }], samplesPerGroup: 0, sampling: {} }),
    ),
  );
  expect([error?.statusCode, error?.outcome]).toEqual([400, 'not-run']);
  for (const field of [
    'stepId',
    'groups[0].prompt',
    'samplesPerGroup',
    'maxTokens',
    'deadlineMs',
  ]) {
    expect(error?.message.includes(`${field}: found`)).toEqual(true);
  }
});

// Guards against malformed input that ends in an internal error instead of a refusal.
test('any body is parsed or refused with 400', () => {
  const parsers = [parseStepSubmission, parsePullRequest, parseWeightPublication];
  fc.assert(
    fc.property(fc.constantFrom(...parsers), fc.oneof(fc.json(), fc.string()), (parse, text) => {
      const error = refusalOf(() => parse(Buffer.from(text)));
      expect(error === undefined || error.statusCode === 400).toEqual(true);
    }),
    { seed: 3, numRuns: 2000 },
  );
});
