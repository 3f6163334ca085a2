import { type Command, InvalidArgumentError, Option } from 'commander';

const UNITS_MS: Readonly<Record<string, number>> = { ms: 1, s: 1000, m: 60_000 };

/** Parses a duration such as `16s`, `500ms` or `1.5m` into ms. */
export const parseDuration = (text: string): number => {
  const [, amount, unit] = /^(\d+(?:\.\d+)?)(ms|s|m)$/.exec(text) ?? [];
  if (amount === undefined || unit === undefined) {
    throw new InvalidArgumentError('expected a number with a unit, such as 16s, 500ms or 1m');
  }
  return Math.round(Number(amount) * (UNITS_MS[unit] ?? 1));
};

export const parseRevision = (text: string): number => {
  if (!/^\d{1,9}$/.test(text)) throw new InvalidArgumentError('expected a revision, such as 7');
  return Number(text);
};

const DEFAULT_NODES: readonly string[] = ['127.0.0.1:7101'];

const collectAddress = (address: string, previous: readonly string[]): readonly string[] => {
  if (!/^.+:\d{1,5}$/.test(address)) {
    throw new InvalidArgumentError('expected an IP address and peer port, such as 10.0.0.7:7101');
  }
  return previous === DEFAULT_NODES ? [address] : [...previous, address];
};

/** Options of a command that calls a node. */
export interface NodeOptions {
  /** Peer addresses of the nodes to try, in order. */
  readonly node: readonly string[];
}

export type OutputFormat = 'yaml' | 'json' | 'table';

/** Adds the option `--node` to a command. */
export const withNode = (command: Command): Command =>
  command.option(
    '--node <address>',
    'peer address of any node; can be repeated, the nodes are then tried in order',
    collectAddress,
    DEFAULT_NODES,
  );

/** Adds the option `-o` to a command. */
export const withOutput = (command: Command, defaultFormat: OutputFormat): Command =>
  command.addOption(
    new Option('-o, --output <format>', 'output format')
      .choices(['yaml', 'json', 'table'])
      .default(defaultFormat),
  );

/** Adds the required option `-f` to a command. */
export const withFile = (command: Command): Command =>
  command.requiredOption('-f, --file <file>', 'YAML file with both tables');
