import { test } from 'node:test';
import { expect } from 'earl';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import { BoundedLineWriter } from '../boundedLineWriter.ts';
import { createLogger } from '../logger.ts';

/** An output that writes nothing until `accept` is called. */
const blockedOutput = () => {
  const written: string[] = [];
  let acceptPending: (() => void) | undefined;
  return {
    written,
    write: (bytes: Buffer, done: (error: Error | null) => void) => {
      acceptPending = () => {
        written.push(bytes.toString());
        done(null);
      };
    },
    accept: () => acceptPending?.(),
  };
};

const formatDroppedCount = (lines: number) => `dropped ${lines}\n`;

// Guards against pending lines that grow without bound while the reader is stalled, and against lines lost unnoticed.
test('lines beyond the byte limit are dropped and counted', () => {
  const output = blockedOutput();
  const lines = new BoundedLineWriter({
    ...{
      clock: new VirtualClock(),
      write: output.write,
      formatDroppedCount,
      maxPendingBytes: 4,
    },
  });
  for (const line of ['a\n', 'b\n', 'c\n', 'd\n']) lines.add(line);
  output.accept();
  lines.add('e\n');
  output.accept();
  output.accept();
  expect(output.written.join('')).toEqual('a\nb\ndropped 2\ne\n');
});

// Guards against a log volume that grows with an overload.
test('lines beyond the rate limit are dropped until the next second', () => {
  const clock = new VirtualClock();
  const written: string[] = [];
  const write = (bytes: Buffer, done: (error: Error | null) => void) => {
    written.push(bytes.toString());
    done(null);
  };
  const lines = new BoundedLineWriter({
    clock,
    write,
    formatDroppedCount,
    maxLinesPerSecond: 2,
  });
  for (const line of ['a\n', 'b\n', 'c\n']) lines.add(line);
  clock.advance(1000);
  lines.add('d\n');
  expect(written.join('')).toEqual('a\nb\ndropped 1\nd\n');
});

// Guards against events that operators cannot search by their fields.
test('an event is written as one line of key=value pairs', async () => {
  const written: string[] = [];
  const logger = createLogger(
    'info',
    { node: 'n1' },
    {
      clock: new VirtualClock(),
      write: (bytes, done) => {
        written.push(bytes.toString());
        done(null);
      },
    },
  );
  logger.info('request-answered', { request: 'r1', reason: 'no worker', status: undefined });
  logger.debug('hidden');
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  expect(written.length).toEqual(1);
  expect(written[0]?.replace(/^time=\S+ /, '')).toEqual(
    'level=info event=request-answered node=n1 request=r1 reason="no worker"\n',
  );
});
