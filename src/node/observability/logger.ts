import winston from 'winston';

/** Fields of a log event. Names carry their unit as a suffix. */
export type LogFields = Record<string, string | number | boolean | undefined>;

/** Writes one line of key=value pairs for each event. `event` is a stable name such as `lease-acquired`. */
export interface Logger {
  error(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  debug(event: string, fields?: LogFields): void;
}

const logfmtValue = (value: string | number | boolean): string => {
  const text = String(value);
  return /^[^\s"=]+$/.test(text) ? text : JSON.stringify(text);
};

/** One event as a line in logfmt. */
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

/** Makes the logger of a process; lines go to standard error. */
export const createLogger = (level: string, common: LogFields): Logger => {
  const logger = winston.createLogger({
    level,
    format: winston.format.combine(
      winston.format.timestamp(),
      winston.format.printf(({ timestamp, level: eventLevel, message, fields }) =>
        formatLogLine(String(timestamp), eventLevel, String(message), fields as LogFields),
      ),
    ),
    transports: [
      new winston.transports.Console({ stderrLevels: ['error', 'warn', 'info', 'debug'] }),
    ],
  });
  const write =
    (eventLevel: string) =>
    (event: string, fields: LogFields = {}) => {
      logger.log(eventLevel, event, { fields: { ...common, ...fields } });
    };
  return { error: write('error'), warn: write('warn'), info: write('info'), debug: write('debug') };
};

/** Discards every event. */
export const silentLogger: Logger = { error() {}, warn() {}, info() {}, debug() {} };
