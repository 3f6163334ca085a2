import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { VirtualClock } from '../../../../shared/virtualClock.ts';
import {
  SMALL_UPLOAD_BYTES,
  STALL_MS,
  UploadMemory,
  type UploadMemoryLimits,
  type UploadShare,
} from '../uploadMemory.ts';

const MEBIBYTE = 1024 * 1024;

const LIMITS: UploadMemoryLimits = {
  ...{ largeBytes: 34 * MEBIBYTE, smallBytes: 4 * MEBIBYTE, minBytesPerSecond: 16_384 },
  ...{ maxWaitMs: 10_000, maxWaiting: 8 },
};

const setUp = (limits: Partial<UploadMemoryLimits> = {}) => {
  const clock = new VirtualClock();
  return { clock, memory: new UploadMemory({ ...LIMITS, ...limits }, clock) };
};

// Guards against a legal upload that is refused in calm because of its size or its slowness.
test('a single upload of the largest size gets its memory, however slow it is', () => {
  const { clock, memory } = setUp();
  const upload = memory.open(32 * MEBIBYTE);
  for (let bytes = 0; bytes <= 32 * MEBIBYTE; bytes += MEBIBYTE) {
    expect(memory.grow(upload, bytes)).toEqual('granted');
    memory.receive(upload, MEBIBYTE);
    clock.advance(14_000);
    expect(memory.overdue(15_000)).toEqual([]);
  }
});

// Guards against uploads that each hold a part of the memory and wait for the rest forever.
test('uploads that started together complete one after another', () => {
  const { memory } = setUp();
  const uploads = [1, 2, 3].map(() => memory.open(32 * MEBIBYTE));
  const results = uploads.map((upload) => memory.grow(upload, 20 * MEBIBYTE));
  expect(results).toEqual(['granted', 'waiting', 'waiting']);
  expect(memory.grow(uploads[0] as UploadShare, 32 * MEBIBYTE)).toEqual('granted');
  memory.close(uploads[0] as UploadShare);
  expect(memory.grantWaiting()).toEqual([uploads[1] as UploadShare]);
});

// Guards against small requests that are shut out by large ones.
test('small uploads get memory while large ones hold and want all of it', () => {
  const { memory } = setUp();
  for (let count = 0; count < 8; count += 1) memory.grow(memory.open(32 * MEBIBYTE), 32 * MEBIBYTE);
  expect(memory.grow(memory.open(SMALL_UPLOAD_BYTES), SMALL_UPLOAD_BYTES)).toEqual('granted');
});

// Guards against an upload that stops short of its end and keeps its memory while others wait.
test('a stalled upload ends while another waits, and not before', () => {
  const { clock, memory } = setUp();
  const stalled = memory.open(32 * MEBIBYTE);
  memory.grow(stalled, 32 * MEBIBYTE);
  memory.receive(stalled, 32 * MEBIBYTE - 1);
  clock.advance(STALL_MS);
  expect(memory.overdue(15_000)).toEqual([]);
  const next = memory.open(32 * MEBIBYTE);
  expect(memory.grow(next, 4 * MEBIBYTE)).toEqual('waiting');
  expect(memory.overdue(15_000)).toEqual([{ upload: stalled, reason: 'upload-slow' }]);
  memory.close(stalled);
  expect(memory.grantWaiting()).toEqual([next]);
});

// Guards against an upload that is ended although it makes good progress.
test('an upload at a good rate is not ended while others wait; the one that waits too long is refused', () => {
  const { clock, memory } = setUp();
  const good = memory.open(32 * MEBIBYTE);
  memory.grow(good, 32 * MEBIBYTE);
  const next = memory.open(32 * MEBIBYTE);
  memory.grow(next, 4 * MEBIBYTE);
  for (let waitedMs = 0; waitedMs < LIMITS.maxWaitMs; waitedMs += 1000) {
    memory.receive(good, MEBIBYTE);
    expect(memory.overdue(15_000)).toEqual([]);
    clock.advance(1000);
  }
  memory.receive(good, MEBIBYTE);
  expect(memory.overdue(15_000)).toEqual([{ upload: next, reason: 'memory-full' }]);
});

// Guards against an upload that sends a byte now and then to keep its memory.
test('an upload below the minimum rate ends while another waits', () => {
  const { clock, memory } = setUp();
  const trickle = memory.open(32 * MEBIBYTE);
  memory.grow(trickle, 32 * MEBIBYTE);
  memory.grow(memory.open(32 * MEBIBYTE), 4 * MEBIBYTE);
  for (let count = 0; count < 6; count += 1) {
    memory.receive(trickle, 1);
    clock.advance(500);
  }
  expect(memory.overdue(15_000)).toEqual([{ upload: trickle, reason: 'upload-slow' }]);
});

// Guards against connections without progress that stay open in calm.
test('an upload without a byte for the idle limit ends', () => {
  const { clock, memory } = setUp();
  const upload = memory.open(100);
  clock.advance(15_000);
  expect(memory.overdue(15_000)).toEqual([{ upload, reason: 'upload-idle' }]);
});

// Guards against more waiting uploads than the bytes outside the budget allow.
test('the number of waiting uploads is bounded', () => {
  const { memory } = setUp();
  memory.grow(memory.open(32 * MEBIBYTE), 32 * MEBIBYTE);
  const results = Array.from({ length: 9 }, () =>
    memory.grow(memory.open(32 * MEBIBYTE), 4 * MEBIBYTE),
  );
  expect(results.at(-2)).toEqual('waiting');
  expect(results.at(-1)).toEqual('too-many-waiting');
});

// Guards against a budget that is exceeded, a memory that is never returned, and a state in which nobody can go on.
test('the budget holds and some upload can always go on, in random orders of arrivals and ends', () => {
  const step = fc.record({
    kind: fc.constantFrom('open', 'grow', 'complete', 'close', 'advance'),
    index: fc.nat({ max: 9 }),
    bytes: fc.integer({ min: 1, max: 32 * MEBIBYTE }),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 120 }), (steps) => {
      const { clock, memory } = setUp({ maxWaiting: 100 });
      const uploads: { share: UploadShare; maxBytes: number; complete: boolean }[] = [];
      for (const { kind, index, bytes } of steps) {
        const upload = uploads[index % Math.max(1, uploads.length)];
        if (kind === 'open' || upload === undefined) {
          uploads.push({ share: memory.open(bytes), maxBytes: bytes, complete: false });
        } else if (kind === 'grow' && !upload.share.waiting && !upload.complete) {
          const wanted = Math.min(upload.maxBytes, upload.share.grantedBytes + bytes);
          memory.grow(upload.share, wanted);
        } else if (kind === 'complete' && !upload.share.waiting && !upload.complete) {
          upload.complete = true;
          memory.complete(upload.share, upload.share.grantedBytes);
        } else if (kind === 'close') {
          memory.close(upload.share);
          uploads.splice(uploads.indexOf(upload), 1);
        } else if (kind === 'advance') {
          clock.advance(bytes % 5000);
          for (const { upload: ended } of memory.overdue(15_000)) {
            memory.close(ended);
            const at = uploads.findIndex(({ share }) => share === ended);
            uploads.splice(at, 1);
          }
        }
        memory.grantWaiting();
        expect(memory.heldBytes <= memory.limitBytes).toEqual(true);
        expect(memory.heldBytes).toEqual(
          uploads.reduce((sum, { share }) => sum + share.grantedBytes, 0),
        );
        const isStuck = uploads.length > 0 && uploads.every(({ share }) => share.waiting);
        expect(isStuck).toEqual(false);
      }
      for (const { share } of uploads) memory.close(share);
      expect(memory.heldBytes).toEqual(0);
    }),
    { seed: 20261206, numRuns: 300 },
  );
});
