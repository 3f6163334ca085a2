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

// Guards against a refusal that lists only the first problem, or does not say which values are allowed.
test('a refusal lists every invalid field with the found and the expected value', () => {
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

// Guards against malformed input that causes an internal error instead of a refusal.
test('any body is either parsed or refused with 400', () => {
  const parsers = [parseStepSubmission, parsePullRequest, parseWeightPublication];
  fc.assert(
    fc.property(fc.constantFrom(...parsers), fc.oneof(fc.json(), fc.string()), (parse, text) => {
      const error = refusalOf(() => parse(Buffer.from(text)));
      expect(error === undefined || error.statusCode === 400).toEqual(true);
    }),
    { seed: 3, numRuns: 2000 },
  );
});
