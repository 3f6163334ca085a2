import { startSignals } from './startSignals.ts';
// eslint-disable-next-line import-x/order -- signals are received before anything else is loaded
import { Command } from 'commander';
import { systemClock } from '../shared/clock.ts';
import { registerOperatorCommands } from './cliOperator.ts';
import { PROGRAM_VERSION } from './constants.ts';
import { ProcessSignals } from './processSignals.ts';
import type { Logger } from './observability/logger.ts';
import { describeFailure } from './operator/cliErrors.ts';
import type { Shutdown } from './shutdown.ts';

const signalsOfServer = (): ProcessSignals => startSignals ?? new ProcessSignals();

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
    const signals = signalsOfServer();
    const { loadSettings } = await import('./settings/resolveSettings.ts');
    const { stopOnSignals } = await import('./shutdown.ts');
    const { reloadOnSighup } = await import('./settings/settingsReload.ts');
    const { connectPlatform, startPlatformGateway } = await import('../../platform/gateway.ts');
    const settings = await loadSettings(options.config);
    const { gateway } = settings;
    let stopping: Shutdown | undefined;
    const onStarting = (shutdown: Shutdown, logger: Logger) => {
      stopping = shutdown;
      stopOnSignals(signals, shutdown, logger, systemClock);
    };
    const start = async () => {
      if (gateway !== undefined) {
        return startPlatformGateway({ ...settings, gateway }, onStarting);
      }
      // Loaded on demand, because modules that a node does not use would slow down its start.
      const { startNode } = await import('./node.ts');
      const platform = (logger: Logger) => connectPlatform(settings, logger);
      return startNode(settings, { platform, onStarting });
    };
    const node = await start().catch(async (error: unknown) => {
      // A stop during the start takes away what the start waits for; the process exits when the stop is complete.
      if (stopping?.isStarted !== true) throw error;
      await stopping.finished;
      return undefined;
    });
    if (node === undefined) return;
    const { logger, applySettings } = node;
    reloadOnSighup(signals, { file: options.config, settings, logger, apply: applySettings });
  });

program
  .command('storage')
  .description('run the storage process on a VM with a disk')
  .requiredOption('--config <file>', 'YAML file with the settings of the node')
  .action(async (options: { config: string }) => {
    const signals = signalsOfServer();
    // A storage process holds nothing that a stop could lose.
    for (const name of ['SIGTERM', 'SIGINT'] as const) signals.handle(name, () => process.exit(0));
    const { loadSettings } = await import('./settings/resolveSettings.ts');
    const { startPlatformStorage } = await import('../../platform/gateway.ts');
    const settings = await loadSettings(options.config);
    const { logger } = await startPlatformStorage(settings);
    const { reloadOnSighup } = await import('./settings/settingsReload.ts');
    reloadOnSighup(signals, {
      ...{ file: options.config, settings, logger },
      apply: (_next, changed) => changed,
    });
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
