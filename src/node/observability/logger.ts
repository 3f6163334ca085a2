import { Writable } from 'node:stream';
import winston from 'winston';
import { type Clock, systemClock } from '../../shared/clock.ts';
import { BoundedLineWriter, type WriteBytes, writeToDescriptor } from './boundedLineWriter.ts';

/** Standard output. */
const STDOUT = 1;

/** Fields of a log event. Names end with the unit of the value, such as `ageMs`. */
export type LogFields = Record<string, string | number | boolean | undefined>;

/** Writes one line of key=value pairs per event. `event` is a stable name such as `lease-acquired`. */
export interface Logger {
  error(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  debug(event: string, fields?: LogFields): void;
  /** Resolves when every line so far has been written or dropped. */
  drained(): Promise<void>;
}

const logfmtValue = (value: string | number | boolean): string => {
  const text = String(value);
  return /^[^\s"=]+$/.test(text) ? text : JSON.stringify(text);
};

/** Formats an event as a logfmt line. */
export const formatLogLine = (
  time: string,
  level: string,
  event: string,
  fields: LogFields,
): string => {
  const pairs: [string, LogFields[string]][] = Object.entries({ time, level, event, ...fields });
  return pairs
    .filter((pair): pair is [string, string | number | boolean] => pair[1] !== undefined)
    .map(([key, value]) => `${key}=${logfmtValue(value)}`)
    .join(' ');
};

export interface LoggerOptions {
  /** @default standard output */
  readonly write?: WriteBytes;
  /** @default the system clock */
  readonly clock?: Clock;
}

/** Creates the logger of a process. Lines go to standard output by default, and writing never blocks the process. */
export const createLogger = (
  level: string,
  common: LogFields,
  { clock = systemClock, write: writeBytes = writeToDescriptor(STDOUT, clock) }: LoggerOptions = {},
): Logger => {
  const timeOf = () => new Date(clock.nowMs()).toISOString();
  const lines = new BoundedLineWriter({
    clock,
    write: writeBytes,
    formatDroppedCount: (count) =>
      `${formatLogLine(timeOf(), 'warn', 'log-lines-left-out', { ...common, count })}\n`,
  });
  const logger = winston.createLogger({
    level,
    format: winston.format.printf(({ level: eventLevel, message, fields }) =>
      formatLogLine(timeOf(), eventLevel, String(message), fields as LogFields),
    ),
    transports: [
      new winston.transports.Stream({
        stream: new Writable({
          decodeStrings: false,
          write(line: string, _encoding, done) {
            lines.add(line);
            done();
          },
        }),
      }),
    ],
  });
  const write =
    (eventLevel: string) =>
    (event: string, fields: LogFields = {}) => {
      logger.log(eventLevel, event, { fields: { ...common, ...fields } });
    };
  return {
    error: write('error'),
    warn: write('warn'),
    info: write('info'),
    debug: write('debug'),
    drained: () => lines.drained(),
  };
};

/** Discards every event. */
export const silentLogger: Logger = {
  error() {},
  warn() {},
  info() {},
  debug() {},
  drained: () => Promise.resolve(),
};
