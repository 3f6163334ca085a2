import { type Command, InvalidArgumentError, Option } from 'commander';

const UNITS_MS: Readonly<Record<string, number>> = { ms: 1, s: 1000, m: 60_000 };

/** Parses a duration such as `16s`, `500ms` or `1.5m` into ms. */
export const parseDuration = (text: string): number => {
  const [, amount, unit] = /^(\d+(?:\.\d+)?)(ms|s|m)$/.exec(text) ?? [];
  if (amount === undefined || unit === undefined) {
    throw new InvalidArgumentError('write a number with a unit, such as 16s, 500ms or 1m');
  }
  return Math.round(Number(amount) * (UNITS_MS[unit] ?? 1));
};

/** Parses a revision number. */
export const parseRevision = (text: string): number => {
  if (!/^\d{1,9}$/.test(text)) throw new InvalidArgumentError('write a revision number, such as 7');
  return Number(text);
};

const DEFAULT_NODES: readonly string[] = ['127.0.0.1:7101'];

const collect = (address: string, before: readonly string[]): readonly string[] => {
  if (!/^.+:\d{1,5}$/.test(address)) {
    throw new InvalidArgumentError('write IP number and peer port, such as 10.0.0.7:7101');
  }
  return before === DEFAULT_NODES ? [address] : [...before, address];
};

/** Options of a command that calls a node. */
export interface NodeOptions {
  readonly node: readonly string[];
}

/** Ways to print a result. */
export type OutputFormat = 'yaml' | 'json' | 'table';

/** Adds `--node`. */
export const withNode = (command: Command): Command =>
  command.option(
    '--node <address>',
    'peer address of any node; given several times, the nodes are tried in turn',
    collect,
    DEFAULT_NODES,
  );

/** Adds `-o`. */
export const withOutput = (command: Command, fallback: OutputFormat): Command =>
  command.addOption(
    new Option('-o, --output <format>', 'form of the output')
      .choices(['yaml', 'json', 'table'])
      .default(fallback),
  );

/** Adds `-f`. */
export const withFile = (command: Command): Command =>
  command.requiredOption('-f, --file <file>', 'both tables, YAML');
