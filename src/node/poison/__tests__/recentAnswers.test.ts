import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import {
  MAX_RECENT_ANSWERS,
  MAX_RECENT_BODIES_BYTES,
  MAX_RECENT_BODY_BYTES,
  MAX_RECENT_NAME_CHARS,
  RecentAnswers,
} from '../recentAnswers.ts';

const requestOf = (path: string, body: Uint8Array = Buffer.alloc(0)) => ({
  ...{ method: 'POST', host: 'h', path, body },
});

// Guards against a body that is overwritten by its owner or by a later one and then taken for that of another request.
test('the remembered requests are the last ones, with their own bodies', () => {
  const sizes = fc.array(fc.integer({ min: 0, max: MAX_RECENT_BODY_BYTES }), { maxLength: 1200 });
  fc.assert(
    fc.property(sizes, (bodySizes) => {
      const answers = new RecentAnswers();
      for (const [index, size] of bodySizes.entries()) {
        const body = Buffer.alloc(size, index);
        answers.record(requestOf(`/${index}`, body), index);
        body.fill(255);
      }
      const taken = [...answers.take()].sort((left, right) => left.answeredMs - right.answeredMs);
      const times = taken.map(({ answeredMs }) => answeredMs);
      if (bodySizes.length > 0) expect(times.at(-1)).toEqual(bodySizes.length - 1);
      for (const { request, answeredMs } of taken) {
        expect(request.path).toEqual(`/${answeredMs}`);
        const expected = Buffer.alloc(bodySizes[answeredMs] ?? 0, answeredMs);
        expect(expected.equals(request.body)).toEqual(true);
      }
    }),
    { seed: 20261206, numRuns: 40 },
  );
});

// Guards against memory that grows with the requests of callers.
test('requests are remembered up to a number and a size', () => {
  const answers = new RecentAnswers();
  for (let index = 0; index < 3 * MAX_RECENT_ANSWERS; index += 1) {
    answers.record(requestOf(`/${index}`), index);
  }
  const taken = answers.take();
  expect(taken.length).toEqual(MAX_RECENT_ANSWERS);
  expect(Math.min(...taken.map(({ answeredMs }) => answeredMs))).toEqual(2 * MAX_RECENT_ANSWERS);
  expect(answers.take()).toEqual([]);
  const body = Buffer.alloc(MAX_RECENT_BODY_BYTES);
  for (let index = 0; index < 200; index += 1) answers.record(requestOf('/x', body), index);
  const sizeBytes = answers.take().reduce((sum, { request }) => sum + request.body.length, 0);
  expect(sizeBytes).toEqual(MAX_RECENT_BODIES_BYTES);
});

// Guards against a large request that takes the place of many small ones.
test('a request that is too large is not remembered', () => {
  const answers = new RecentAnswers();
  answers.record(requestOf('/x', Buffer.alloc(MAX_RECENT_BODY_BYTES + 1)), 1);
  answers.record(requestOf(`/${'x'.repeat(MAX_RECENT_NAME_CHARS)}`), 2);
  expect(answers.take()).toEqual([]);
});
