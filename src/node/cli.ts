import { readFile } from 'node:fs/promises';
import { createClient } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import { Command } from 'commander';
import { ApplyResult, OperatorService } from '../gen/hyssoppulley/v1/operator_pb.ts';
import { messageOf } from '../shared/errors.ts';
import { newId } from '../shared/random.ts';
import { PROGRAM_VERSION } from './constants.ts';
import { DocumentError } from './settings/documentError.ts';
import { parseTables } from './tables/parseTables.ts';

/** Exit codes of the command line. */
export const ExitCode = {
  DONE: 0,
  INTERNAL_ERROR: 1,
  USAGE: 2,
  INVALID_DOCUMENT: 3,
  REFUSED: 4,
  UNKNOWN_RESULT: 5,
  NOT_REACHABLE: 6,
} as const;

const program = new Command('hyssoppulley')
  .description('Rollout service for reinforcement learning')
  .version(PROGRAM_VERSION);

program
  .command('node')
  .description('run one node')
  .requiredOption('--config <file>', 'settings of the node, YAML')
  .action(async (options: { config: string }) => {
    const { loadSettings } = await import('./settings/resolveSettings.ts');
    const { startNode } = await import('./node.ts');
    const { stopOnSignals } = await import('./shutdown.ts');
    const node = await startNode(await loadSettings(options.config));
    stopOnSignals(node.shutdown);
  });

program
  .command('check')
  .description('check tables without applying them')
  .requiredOption('-f, --file <file>', 'tables, YAML')
  .action(async (options: { file: string }) => {
    parseTables(await readFile(options.file, 'utf8'), options.file);
    console.log(`${options.file}: valid`);
  });

program
  .command('apply')
  .description('put tables in force on every node, or be told why not')
  .requiredOption('-f, --file <file>', 'tables, YAML')
  .option('--node <address>', 'peer address of any node', '127.0.0.1:7101')
  .action(async (options: { file: string; node: string }) => {
    const tables = parseTables(await readFile(options.file, 'utf8'), options.file);
    const client = createClient(
      OperatorService,
      createConnectTransport({ baseUrl: `http://${options.node}`, httpVersion: '1.1' }),
    );
    const answer = await client.applyTables({ tables, operationId: newId(), waitMs: 16_000 });
    if (answer.result !== ApplyResult.IN_FORCE) {
      console.error(`refused: ${answer.reason}`);
      process.exitCode = ExitCode.REFUSED;
      return;
    }
    console.log(
      `in force on ${answer.nodesInForce} of ${answer.nodesTotal} nodes at revision ${answer.revision}`,
    );
  });

program
  .command('version')
  .description('show the version')
  .action(() => console.log(PROGRAM_VERSION));

program.parseAsync().catch((error: unknown) => {
  console.error(messageOf(error));
  process.exitCode =
    error instanceof DocumentError ? ExitCode.INVALID_DOCUMENT : ExitCode.INTERNAL_ERROR;
});
