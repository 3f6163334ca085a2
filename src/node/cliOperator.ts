import { readFile } from 'node:fs/promises';
import { Argument, type Command } from 'commander';
import type { ApplyOptions } from './operator/cliApply.ts';
import {
  type NodeOptions,
  parseDuration,
  parseRevision,
  withFile,
  withNode,
  withOutput,
} from './operator/cliOptions.ts';
import { GATEWAY_VIEWS, type GatewayViewName } from './operator/gatewayViewNames.ts';
import type { ViewOptions } from './operator/cliViews.ts';

const loadGatewayViews = () => import('./operator/cliGatewayViews.ts');

const loadViews = () => import('./operator/cliViews.ts');

const registerTables = (program: Command): void => {
  withFile(program.command('check'))
    .description('check tables without calling a node')
    .action(async ({ file }: { file: string }) => {
      const { parseTables } = await import('./tables/parseTables.ts');
      parseTables(await readFile(file, 'utf8'), file);
      console.log(`${file}: valid`);
    });
  withNode(withFile(program.command('apply')))
    .description('put tables in force on every node, or print the reason for a refusal')
    .option(
      '--if-revision <revision>',
      'refuse unless this is the accepted revision',
      parseRevision,
    )
    .option(
      '--wait <duration>',
      'longest wait for every node to serve the tables',
      parseDuration,
      16_000,
    )
    .option('--operation <id>', 'repeat an earlier apply and print its result')
    .action(async (options: ApplyOptions) => {
      const { apply } = await import('./operator/cliApply.ts');
      await apply(options);
    });
  withNode(withFile(program.command('diff')))
    .description('show the differences between the accepted tables and a file')
    .action(async (options: NodeOptions & { file: string }) =>
      (await loadViews()).showDiff(options),
    );
  withOutput(withNode(program.command('history')), 'table')
    .description('list the last 50 accepted revisions, newest first')
    .action(async (options: ViewOptions) => (await loadViews()).showHistory(options));
};

const registerViews = (program: Command): void => {
  const get = program.command('get').description('show what nodes know');
  withOutput(withNode(get.command('tables')), 'yaml')
    .description('the accepted tables')
    .action(async (options: ViewOptions) => (await loadViews()).showTables(options));
  withOutput(withNode(get.command('nodes')), 'table')
    .description('the nodes known to the answering node')
    .action(async (options: ViewOptions) => (await loadViews()).showNodes(options));
  withOutput(withNode(get.command('workers')), 'table')
    .description('the workers and their states, as known to the answering node')
    .option('--pool <name>', 'show only the workers of this pool')
    .action(async (options: ViewOptions & { pool?: string }) =>
      (await loadViews()).showWorkers(options),
    );
  withOutput(withNode(get.command('jobs')), 'table')
    .description('the jobs of trainers, as known to the answering node')
    .action(async (options: ViewOptions) => (await loadViews()).showJobs(options));
  for (const [name, description] of Object.entries(GATEWAY_VIEWS)) {
    const view = name as GatewayViewName;
    withOutput(withNode(get.command(name)), 'table')
      .description(description)
      .action(async (options: ViewOptions) =>
        console.log(await (await loadGatewayViews()).showGatewayView(view, options)),
      );
  }
};

const registerClear = (program: Command): void => {
  const clear = program.command('clear').description('withdraw a judgement of the nodes');
  withNode(clear.command('suspect'))
    .description('send a request again under which workers ended; all nodes learn of it')
    .argument('<digest>', 'digest of the request, as shown by get suspects')
    .action(async (digest: string, options: NodeOptions) =>
      console.log(await (await loadGatewayViews()).clearSuspect(options, digest)),
    );
};

const registerDrain = (
  program: Command,
  name: string,
  description: string,
  drained: boolean,
): void => {
  withNode(program.command(name))
    .description(description)
    .addArgument(new Argument('<kind>').choices(['worker', 'node']))
    .argument('<name>', 'name of the worker or node')
    .action(async (kind: string, target: string, options: NodeOptions) =>
      (await loadViews()).setDrain(options, kind, target, drained),
    );
};

/** Adds the commands for operators to the program. */
export const registerOperatorCommands = (program: Command): void => {
  registerTables(program);
  registerViews(program);
  registerClear(program);
  registerDrain(program, 'drain', 'stop sending new work to a worker or node', true);
  registerDrain(program, 'undrain', 'send new work to a drained worker or node again', false);
};
