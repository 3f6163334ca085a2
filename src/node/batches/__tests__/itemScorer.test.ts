import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { expect } from 'earl';
import { ScoringCallSchema } from '../../../gen/hyssoppulley/v1/batch_pb.ts';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import type { ForwardedRequest, ForwardOutcome } from '../../gateway/forwardedRequest.ts';
import type { GatewayRoute } from '../../gateway/gatewayTables.ts';
import { silentLogger } from '../../observability/logger.ts';
import { ItemScorer } from '../itemScorer.ts';

const CALL = create(ScoringCallSchema, { id: 's', host: 'h', path: '/score/s' });

const answer = (statusCode: number, failures = 0): ForwardOutcome => ({
  ...{ kind: 'answer', statusCode, headers: [], body: Buffer.alloc(0), failures },
  stamp: 'stamp',
});

/** Scores an item whose calls have these outcomes, on a route with two attempts. */
const score = async (outcomes: readonly ForwardOutcome[]) => {
  const clock = new VirtualClock();
  let calls = 0;
  const scorer = new ItemScorer({
    ...{ clock, logger: silentLogger },
    findRoute: () => ({ name: 'r', maxAttempts: 2 }) as GatewayRoute,
    forwarder: {
      forward: () => {
        calls += 1;
        return Promise.resolve(outcomes[calls - 1] ?? answer(200));
      },
    },
  });
  const result = scorer.score(CALL, new AbortController().signal);
  await clock.advanceAsync(10_000);
  return { score: await result, calls };
};

// Guards against finished items that are given up because their scorers were slow for a while (review/3: 3 to 13 of 60
// items).
test('scoring calls that workers answer with 504 are repeated until there is a score', async () => {
  const slow = Array.from({ length: 5 }, () => answer(504));
  expect(await score(slow)).toEqual({ score: 'stamp', calls: 6 });
});

// Guards against calls that are repeated for good although the scorers report that they fail.
test('a scoring call is given up when as many workers as the route allows report a failure', async () => {
  expect(await score([answer(500, 1), answer(504), answer(500, 1)])).toEqual({
    score: undefined,
    calls: 3,
  });
});

// Guards against a scorer that is called without a pause while it cannot answer.
test('the delay between repeated scoring calls grows', async () => {
  const clock = new VirtualClock();
  const sentMs: number[] = [];
  const abort = new AbortController();
  const scorer = new ItemScorer({
    ...{ clock, logger: silentLogger },
    findRoute: () => ({ name: 'r', maxAttempts: 2 }) as GatewayRoute,
    forwarder: {
      forward: () => {
        sentMs.push(clock.monotonicMs());
        return Promise.resolve(answer(504));
      },
    },
  });
  const result = scorer.score(CALL, abort.signal);
  await clock.advanceAsync(3000);
  abort.abort();
  expect(await result).toEqual(undefined);
  expect(sentMs.length < 15).toEqual(true);
});

// Guards against a scorer that is told for which account a text was generated.
test('a scoring call names no account and carries no key', async () => {
  const sent: ForwardedRequest[] = [];
  const scorer = new ItemScorer({
    ...{ clock: new VirtualClock(), logger: silentLogger },
    findRoute: () => ({ name: 'r', maxAttempts: 2 }) as GatewayRoute,
    forwarder: {
      forward: (request) => {
        sent.push(request);
        return Promise.resolve(answer(200));
      },
    },
  });
  await scorer.score(CALL, new AbortController().signal);
  expect(sent.map(({ account, headers }) => [account, headers.map(([name]) => name)])).toEqual([
    [undefined, ['content-type']],
  ]);
});
