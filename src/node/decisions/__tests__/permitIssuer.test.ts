import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { type IssueResult, PermitIssuer } from '../permitIssuer.ts';
import { permitIssuerOf, permitShareOf } from '../permitShare.ts';

const WINDOW_MS = 4000;

/** Largest number of sends in any window of 4 s. */
const busiestWindow = (sentMs: readonly number[]): number => {
  const sorted = [...sentMs].sort((left, right) => left - right);
  return sorted.reduce((most, fromMs, index) => {
    const end = sorted.findIndex((ms) => ms >= fromMs + WINDOW_MS);
    return Math.max(most, (end < 0 ? sorted.length : end) - index);
  }, 0);
};

const issueOne = (
  issuer: PermitIssuer,
  perSecond: number,
  { nowMs, maxDelayMs = 0, share = 1 }: { nowMs: number; maxDelayMs?: number; share?: number },
): IssueResult =>
  issuer.issue(
    { pool: 'p', workers: [{ id: 'w', perSecond }], count: 1, maxDelayMs, share },
    nowMs,
  );

test('no burst of requests, idle time or reservation takes a worker far over its limit', () => {
  fc.assert(
    fc.property(
      fc.double({ min: 0.2, max: 50, noNaN: true }),
      fc.array(fc.tuple(fc.integer({ min: 0, max: 3000 }), fc.integer({ min: 0, max: 1000 })), {
        minLength: 1,
        maxLength: 300,
      }),
      (perSecond, requests) => {
        const issuer = new PermitIssuer();
        const sentMs: number[] = [];
        let nowMs = 0;
        for (const [pauseMs, maxDelayMs] of requests) {
          // Most requests come in bursts.
          if (pauseMs > 2500) nowMs += pauseMs;
          else nowMs += pauseMs % 7;
          const { permits } = issueOne(issuer, perSecond, { nowMs, maxDelayMs });
          for (const { delayMs } of permits) sentMs.push(nowMs + delayMs);
        }
        expect(busiestWindow(sentMs)).toBeLessThanOrEqual(1.5 * perSecond * 4 + 5);
      },
    ),
    { seed: 23, numRuns: 300 },
  );
});

test('a worker whose limit is asked for all the time gets all of it', () => {
  const issuer = new PermitIssuer();
  let granted = 0;
  for (let nowMs = 0; nowMs < 10_000; nowMs += 5) {
    granted += issueOne(issuer, 8, { nowMs }).permits.length;
  }
  expect(granted).toBeGreaterThanOrEqual(80);
  expect(granted).toBeLessThanOrEqual(82);
});

test('requests that may wait get the next permits in turn', () => {
  const issuer = new PermitIssuer();
  const delays = [0, 0, 0].map(
    () => issueOne(issuer, 10, { nowMs: 0, maxDelayMs: 500 }).permits[0]?.delayMs,
  );
  expect(delays).toEqual([0, 100, 200]);
});

test('those who are refused are told to return one after the other', () => {
  const issuer = new PermitIssuer();
  const first = issueOne(issuer, 10, { nowMs: 0 });
  const refused = [0, 0, 0].map(() => issueOne(issuer, 10, { nowMs: 0 }).retryAfterMs);
  expect(first.permits.length).toEqual(1);
  expect(refused).toEqual([100, 200, 300]);
});

test('a worker whose limit is 0 is still tried now and then, so that the end of the limit is noticed', () => {
  const issuer = new PermitIssuer();
  let granted = 0;
  for (let nowMs = 0; nowMs < 60_000; nowMs += 100) {
    granted += issueOne(issuer, 0, { nowMs }).permits.length;
  }
  expect(granted).toBeGreaterThanOrEqual(5);
  expect(granted).toBeLessThanOrEqual(8);
});

test('a worker that got several times its limit before nodes knew of it is left alone for a short time', () => {
  const issuer = new PermitIssuer();
  issuer.charge({ id: 'w', perSecond: 4 }, 20, 0);
  expect(issueOne(issuer, 4, { nowMs: 0, maxDelayMs: 2000 }).permits[0]?.delayMs).toEqual(1000);
});

test('a worker that got twice its limit in the last second is not left alone', () => {
  const issuer = new PermitIssuer();
  issuer.charge({ id: 'w', perSecond: 10 }, 20, 0);
  expect(issueOne(issuer, 10, { nowMs: 0 }).permits.length).toEqual(1);
});

const nodesOf = (names: readonly string[], suspected: readonly string[] = []) =>
  names.map((name) => ({
    ...{ name, capacityMillicores: 675, leaving: false },
    suspected: suspected.includes(name),
  }));

test('the two halves of a partition issue no more than the whole limit together', () => {
  fc.assert(
    fc.property(fc.integer({ min: 2, max: 40 }), fc.nat(), (count, seed) => {
      const names = Array.from({ length: count }, (_each, index) => `n${index}`);
      const isLeft = (index: number) => index <= seed % (count - 1);
      const left = names.filter((_name, index) => isLeft(index));
      const right = names.filter((_name, index) => !isLeft(index));
      const issued = [left, right].map((half) => {
        const nodes = nodesOf(
          names,
          names.filter((name) => !half.includes(name)),
        );
        return permitShareOf(permitIssuerOf('p', nodes)?.name ?? '', 'p', nodes);
      });
      expect((issued[0] ?? 0) + (issued[1] ?? 0)).toBeLessThanOrEqual(1.000001);
    }),
    { seed: 23 },
  );
});

test('a node that is not the issuer issues a small part only', () => {
  const nodes = nodesOf(['a', 'b', 'c']);
  const issuer = permitIssuerOf('p', nodes)?.name;
  const shares = nodes.map(({ name }) => [name === issuer, permitShareOf(name, 'p', nodes)]);
  expect(shares.filter(([isIssuer]) => isIssuer)).toEqual([[true, 1]]);
  expect(shares.filter(([isIssuer]) => !isIssuer)).toEqual([
    [false, 0.25],
    [false, 0.25],
  ]);
});
