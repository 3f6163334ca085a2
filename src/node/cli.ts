import { Command } from 'commander';
import { systemClock } from '../shared/clock.ts';
import { registerOperatorCommands } from './cliOperator.ts';
import { PROGRAM_VERSION } from './constants.ts';
import { describeFailure } from './operator/cliErrors.ts';

const program = new Command('hyssoppulley')
  .description('Rollout service for reinforcement learning')
  .version(PROGRAM_VERSION)
  .exitOverride()
  .addHelpText(
    'after',
    `
Exit codes: 0 done, 1 internal error, 2 usage, 3 invalid tables or settings, 4 refused, 5 unknown result,
6 not reachable. docs/operator-guide.md explains every refusal.`,
  );

program
  .command('node')
  .description('run one node')
  .requiredOption('--config <file>', 'YAML file with the settings of the node')
  .action(async (options: { config: string }) => {
    const { loadSettings } = await import('./settings/resolveSettings.ts');
    const { stopOnSignals } = await import('./shutdown.ts');
    const { reloadOnSighup } = await import('./settings/settingsReload.ts');
    const { connectPlatform, startPlatformGateway } = await import('../../platform/gateway.ts');
    const settings = await loadSettings(options.config);
    const { gateway } = settings;
    // Loaded on demand, because modules that a node does not use would slow down its start.
    const startStandardNode = async () => {
      const { startNode } = await import('./node.ts');
      return startNode(settings, { platform: (logger) => connectPlatform(settings, logger) });
    };
    const node =
      gateway === undefined
        ? await startStandardNode()
        : await startPlatformGateway({ ...settings, gateway });
    const { shutdown, logger, applySettings } = node;
    stopOnSignals(shutdown, logger, systemClock);
    reloadOnSighup({ file: options.config, settings, logger, apply: applySettings });
  });

program
  .command('storage')
  .description('run the storage process on a VM with a disk')
  .requiredOption('--config <file>', 'YAML file with the settings of the node')
  .action(async (options: { config: string }) => {
    const { loadSettings } = await import('./settings/resolveSettings.ts');
    const { startPlatformStorage } = await import('../../platform/gateway.ts');
    const settings = await loadSettings(options.config);
    const { logger } = await startPlatformStorage(settings);
    const { reloadOnSighup } = await import('./settings/settingsReload.ts');
    reloadOnSighup({
      ...{ file: options.config, settings, logger },
      apply: (_next, changed) => changed,
    });
    process.once('SIGTERM', () => process.exit(0));
  });

registerOperatorCommands(program);

program
  .command('version')
  .description('show the version')
  .action(() => console.log(PROGRAM_VERSION));

program.parseAsync().catch((error: unknown) => {
  const { exitCode, text } = describeFailure(error);
  if (text !== undefined) console.error(text);
  // A node that failed to start may still have open servers and timers, which would keep the process alive.
  process.exit(exitCode);
});
