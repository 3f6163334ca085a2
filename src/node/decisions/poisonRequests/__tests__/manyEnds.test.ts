import { test } from 'node:test';
import { expect } from 'earl';
import { MAX_REMEMBERED_ANSWERS, PoisonRequests } from '../poisonRequests.ts';

const end = (worker: string, atMs: number, trial = false) => ({ worker, trial, atMs });

// Guards against losses that are never counted as three, because only three ends are kept and each loss has two.
test('a request is condemned after three losses of two workers each', () => {
  const requests = new PoisonRequests();
  for (const [index, worker] of ['a', 'b', 'c', 'd', 'e', 'f'].entries()) {
    requests.recordEnd('d', end(worker, 2000 * Math.floor(index / 2) + 50 * (index % 2)));
  }
  expect(requests.verdictOf('d', 4060)).toEqual('condemned');
});

// Guards against failed trials that are forgotten when other workers end under the request (bench of callers: 58 ends).
test('a request with two failed trials stays condemned when more workers end under it', () => {
  const requests = new PoisonRequests();
  requests.recordEnd('d', end('a', 0));
  requests.recordEnd('d', end('b', 500, true));
  requests.recordEnd('d', end('c', 7000, true));
  expect(requests.verdictOf('d', 18_000)).toEqual('condemned');
  for (const worker of ['x', 'y', 'z']) requests.recordEnd('d', end(worker, 18_000));
  expect(requests.verdictOf('d', 29_000)).toEqual('condemned');
});

// Guards against an end that is news each time another node sends it, and a line in the log for each message.
test('an end that is too old to be kept is no news', () => {
  const requests = new PoisonRequests();
  for (const [index, worker] of ['a', 'b', 'c', 'd'].entries()) {
    requests.recordEnd('d', end(worker, 10 * index));
  }
  const old = { digest: 'd', ends: [end('a', 0)], answeredMs: -Infinity };
  expect(requests.merge(old, 100)).toEqual(false);
});

// Guards against a request that is refused at nodes that have served it all the time, for ends that a node behind a firewall saw.
test('ends before an answer do not count, though the request was not suspected when it was answered', () => {
  const requests = new PoisonRequests();
  requests.recordAnswer('d', 5000);
  const ends = [end('a', 0), end('b', 1200), end('c', 2400)];
  requests.merge({ digest: 'd', ends, answeredMs: -Infinity }, 5000);
  expect(requests.verdictOf('d', 5000)).toEqual('unsuspected');
});

// Guards against an answer that clears a request although workers ended under it afterwards.
test('ends after an answer count, though the request was not suspected when it was answered', () => {
  const requests = new PoisonRequests();
  requests.recordAnswer('d', 1000);
  const ends = [end('a', 0), end('b', 1200), end('c', 2400), end('e', 3600)];
  requests.merge({ digest: 'd', ends, answeredMs: -Infinity }, 4000);
  expect(requests.verdictOf('d', 4000)).toEqual('condemned');
});

// Guards against memory that grows with the requests of callers.
test('answers are remembered up to a number, and the oldest gives way', () => {
  const requests = new PoisonRequests();
  for (let index = 0; index < MAX_REMEMBERED_ANSWERS; index += 1) {
    requests.recordAnswer(`x${index}`, index);
  }
  requests.recordAnswer('x0', 5000);
  requests.recordAnswer('d', 5000);
  expect(requests.rememberedAnswers).toEqual(MAX_REMEMBERED_ANSWERS);
  for (const digest of ['x0', 'x1']) {
    requests.merge({ digest, ends: [end('a', 0)], answeredMs: -Infinity }, 5000);
  }
  expect(requests.verdictOf('x0', 5000)).toEqual('unsuspected');
  expect(requests.verdictOf('x1', 5000)).toEqual('suspected');
});
