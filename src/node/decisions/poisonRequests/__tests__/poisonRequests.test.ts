import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import {
  MAX_SUSPECTED_REQUESTS,
  MAX_WORKER_ENDS,
  PoisonRequests,
  SUSPICION_TTL_MS,
} from '../poisonRequests.ts';
import { requestRetrialPauseMs } from '../retrialPause.ts';

const end = (worker: string, atMs = 0, trial = false) => ({ worker, trial, atMs });

// Guards against a request that ends one worker after the other: what is known of it must lead to a stop.
test('a request is condemned when a worker ends during its trial, or when three have ended one after the other', () => {
  const requests = new PoisonRequests();
  requests.recordEnd('d', end('a'));
  expect(requests.verdictOf('d', 1)).toEqual('suspected');
  requests.recordEnd('d', end('b', 1000));
  expect(requests.verdictOf('d', 1001)).toEqual('suspected');
  requests.recordEnd('d', end('c', 2000));
  expect(requests.verdictOf('d', 2001)).toEqual('condemned');
  const trial = new PoisonRequests();
  trial.recordEnd('d', end('a'));
  trial.recordEnd('d', end('b', 0, true));
  expect(trial.verdictOf('d', 1)).toEqual('condemned');
});

// Guards against refusing a request of many callers, which ran on several workers when all of them were lost.
test('workers that are lost at the same time do not condemn a request', () => {
  const requests = new PoisonRequests();
  for (const [index, worker] of ['a', 'b', 'c', 'd'].entries()) {
    requests.recordEnd('d', end(worker, 300 * index));
  }
  expect(requests.verdictOf('d', 1000)).toEqual('suspected');
});

// Guards against refusing a request of many callers for a minute because workers were lost several times in a short time.
test('a condemned request is tried again after a pause, which doubles with each trial that fails', () => {
  const requests = new PoisonRequests();
  requests.recordEnd('d', end('a'));
  let failedMs = 100;
  for (let failedTrials = 1; failedTrials <= 3; failedTrials += 1) {
    requests.recordEnd('d', end(`w${failedTrials}`, failedMs, true));
    const pauseMs = requestRetrialPauseMs(failedTrials);
    expect(requests.verdictOf('d', failedMs + pauseMs - 1)).toEqual('condemned');
    expect(requests.verdictOf('d', failedMs + pauseMs)).toEqual('suspected');
    failedMs += pauseMs + 10;
  }
});

// Guards against refusing requests for good that ran on a worker by chance when it ended.
test('a request that a worker answers is cleared, and suspicion expires', () => {
  const requests = new PoisonRequests();
  requests.recordEnd('d', end('a'));
  expect(requests.recordAnswer('d', 10)).toEqual(true);
  expect(requests.verdictOf('d', 11)).toEqual('unsuspected');
  requests.recordEnd('d', end('b', 20));
  expect(requests.verdictOf('d', 21)).toEqual('suspected');
  expect(requests.verdictOf('d', 20 + SUSPICION_TTL_MS)).toEqual('unsuspected');
});

// Guards against a request that ends workers after three earlier ends were cleared by an answer.
test('ends after an answer count, however many came before it', () => {
  const requests = new PoisonRequests();
  for (const [index, worker] of ['a', 'b', 'c'].entries()) {
    requests.recordEnd('d', end(worker, index));
  }
  requests.recordAnswer('d', 10);
  for (const [index, worker] of ['e', 'f', 'g'].entries()) {
    requests.recordEnd('d', end(worker, 20 + 1000 * index));
  }
  expect(requests.verdictOf('d', 2030)).toEqual('condemned');
});

// Guards against the end of one worker that counts several times because several nodes or attempts saw it.
test('the end of one start of a worker counts once, whoever reports it', () => {
  const requests = new PoisonRequests();
  requests.recordEnd('d', end('a@1'));
  requests.recordEnd('d', end('a@1', 5));
  expect(requests.merge({ digest: 'd', ends: [end('a@1')], answeredMs: -Infinity }, 6)).toEqual(
    false,
  );
  expect(requests.endsOf('d', 7)).toEqual(1);
  requests.recordEnd('d', end('a@2', 8));
  expect(requests.endsOf('d', 9)).toEqual(2);
});

// Guards against memory without bound, and against a flood of suspected requests that makes a condemned one forgotten.
test('at the limit the oldest request that is not condemned is forgotten', () => {
  const requests = new PoisonRequests();
  for (let index = 0; index < MAX_WORKER_ENDS; index += 1) {
    requests.recordEnd('condemned', end(`w${index}`, 1000 * index));
  }
  for (let index = 0; index < MAX_SUSPECTED_REQUESTS + 50; index += 1) {
    requests.recordEnd(`d${index}`, end('w', 2000));
  }
  expect(requests.size).toEqual(MAX_SUSPECTED_REQUESTS);
  expect(requests.verdictOf('condemned', 2001)).toEqual('condemned');
  expect(requests.verdictOf('d0', 2001)).toEqual('unsuspected');
});

// Guards against nodes that disagree on a request although they know the same: messages arrive in any order, some twice.
test('nodes that have merged the same reports come to the same verdict', () => {
  const report = fc.record({
    digest: fc.constantFrom('d', 'e'),
    worker: fc.constantFrom('a', 'b'),
    trial: fc.constant(false),
    atMs: fc.integer({ min: 1, max: 50 }),
    answered: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(report, { maxLength: 12 }), fc.infiniteStream(fc.nat()), (all, order) => {
      // One start of a worker ends once, at one time.
      const endedMs: Record<string, number> = { a: 10, b: 30 };
      const reports = all.map(({ digest, worker, trial, atMs, answered }) =>
        answered
          ? { digest, ends: [], answeredMs: atMs }
          : { digest, ends: [end(worker, endedMs[worker], trial)], answeredMs: -Infinity },
      );
      const nodes = [new PoisonRequests(), new PoisonRequests()];
      for (const each of reports) nodes[0]?.merge(each, 60);
      const shuffled = reports
        .map((each) => ({ each, rank: Number(order.next().value) }))
        .sort((left, right) => left.rank - right.rank);
      for (const { each } of [...shuffled, ...shuffled]) nodes[1]?.merge(each, 60);
      const answered = (digest: string) =>
        reports.some((each) => each.digest === digest && each.ends.length > 0);
      for (const digest of ['d', 'e'].filter(answered)) {
        for (const node of nodes) {
          for (const known of (node === nodes[0] ? nodes[1] : nodes[0])?.all(60) ?? []) {
            node.merge(known, 60);
          }
        }
        expect(nodes[0]?.verdictOf(digest, 60)).toEqual(nodes[1]?.verdictOf(digest, 60));
      }
    }),
    { seed: 20261205, numRuns: 300 },
  );
});
