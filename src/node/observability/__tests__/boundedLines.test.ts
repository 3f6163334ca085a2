import { test } from 'node:test';
import { expect } from 'earl';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import { BoundedLines } from '../boundedLines.ts';
import { createLogger } from '../logger.ts';

/** An output that takes nothing until it is told to. */
const slowOutput = () => {
  const written: string[] = [];
  let taken: (() => void) | undefined;
  return {
    written,
    write: (bytes: Buffer, done: (error: Error | null) => void) => {
      taken = () => {
        written.push(bytes.toString());
        done(null);
      };
    },
    take: () => taken?.(),
  };
};

const describeLoss = (lines: number) => `left out ${lines}\n`;

// Guards against a log that grows without bound while its reader stands still, and against lines lost without a word.
test('lines beyond the bound in bytes are left out and counted', () => {
  const output = slowOutput();
  const lines = new BoundedLines({
    ...{ clock: new VirtualClock(), write: output.write, describeLoss, maxWaitingBytes: 4 },
  });
  for (const line of ['a\n', 'b\n', 'c\n', 'd\n']) lines.add(line);
  output.take();
  lines.add('e\n');
  output.take();
  output.take();
  expect(output.written.join('')).toEqual('a\nb\nleft out 2\ne\n');
});

// Guards against a log whose volume follows an overload.
test('lines beyond the rate are left out until the next second', () => {
  const clock = new VirtualClock();
  const written: string[] = [];
  const write = (bytes: Buffer, done: (error: Error | null) => void) => {
    written.push(bytes.toString());
    done(null);
  };
  const lines = new BoundedLines({ clock, write, describeLoss, maxLinesPerSecond: 2 });
  for (const line of ['a\n', 'b\n', 'c\n']) lines.add(line);
  clock.advance(1000);
  lines.add('d\n');
  expect(written.join('')).toEqual('a\nb\nleft out 1\nd\n');
});

// Guards against events that on-call cannot search by their fields.
test('an event is one line of key=value pairs', async () => {
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
