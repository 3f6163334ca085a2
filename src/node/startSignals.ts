import { ProcessSignals } from './processSignals.ts';

/** Commands that run until they are stopped. All others end at a signal, as Node's default is. */
const SERVER_COMMANDS: ReadonlySet<string> = new Set(['node', 'storage']);

/**
 * Signals of a server process; undefined for other commands. Created when this module is loaded, so that the program
 * imports it first: loading the rest takes some hundred ms on a small VM.
 */
export const startSignals = SERVER_COMMANDS.has(process.argv[2] ?? '')
  ? new ProcessSignals()
  : undefined;
