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
import type { ViewOptions } from './operator/cliViews.ts';

const views = () => import('./operator/cliViews.ts');

const registerTables = (program: Command): void => {
  withFile(program.command('check'))
    .description('check tables without calling a node')
    .action(async ({ file }: { file: string }) => {
      const { parseTables } = await import('./tables/parseTables.ts');
      parseTables(await readFile(file, 'utf8'), file);
      console.log(`${file}: valid`);
    });
  withNode(withFile(program.command('apply')))
    .description('put tables in force on every node, or be told why not')
    .option('--if-revision <revision>', 'refuse unless this revision is accepted', parseRevision)
    .option(
      '--wait <duration>',
      'wait this long until every node serves them',
      parseDuration,
      16_000,
    )
    .option('--operation <id>', 'learn or repeat the result of an earlier apply')
    .action(async (options: ApplyOptions) => {
      const { apply } = await import('./operator/cliApply.ts');
      await apply(options);
    });
  withNode(withFile(program.command('diff')))
    .description('show how tables differ from the accepted ones')
    .action(async (options: NodeOptions & { file: string }) => (await views()).showDiff(options));
  withOutput(withNode(program.command('history')), 'table')
    .description('list the last 50 accepted revisions, the newest first')
    .action(async (options: ViewOptions) => (await views()).showHistory(options));
};

const registerViews = (program: Command): void => {
  const get = program.command('get').description('show tables, nodes, workers or jobs');
  withOutput(withNode(get.command('tables')), 'yaml')
    .description('the accepted tables')
    .action(async (options: ViewOptions) => (await views()).showTables(options));
  withOutput(withNode(get.command('nodes')), 'table')
    .description('the nodes that the answering node knows')
    .action(async (options: ViewOptions) => (await views()).showNodes(options));
  withOutput(withNode(get.command('workers')), 'table')
    .description('the workers and what the answering node knows of them')
    .option('--pool <name>', 'only this pool')
    .action(async (options: ViewOptions & { pool?: string }) =>
      (await views()).showWorkers(options),
    );
  withOutput(withNode(get.command('jobs')), 'table')
    .description('the jobs of trainers')
    .action(async (options: ViewOptions) => (await views()).showJobs(options));
};

const registerDrain = (program: Command, name: string, text: string, drained: boolean): void => {
  withNode(program.command(name))
    .description(text)
    .addArgument(new Argument('<kind>').choices(['worker', 'node']))
    .argument('<name>', 'name of the worker or node')
    .action(async (kind: string, target: string, options: NodeOptions) =>
      (await views()).setDrain(options, kind, target, drained),
    );
};

/** Adds the commands that operators use. */
export const registerOperatorCommands = (program: Command): void => {
  registerTables(program);
  registerViews(program);
  registerDrain(program, 'drain', 'give a worker or node no new work', true);
  registerDrain(program, 'undrain', 'give a drained worker or node work again', false);
};
