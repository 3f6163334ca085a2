import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { Deployment } from './deployment.ts';

/**
 * Plays a case and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not be played.
 *
 * @param play - returns how the rule was broken; undefined if it held
 */
export const playCase = async (
  caseUrl: string,
  play: (deployment: Deployment) => Promise<string | undefined>,
): Promise<void> => {
  const folder = path.dirname(fileURLToPath(caseUrl));
  const deployment = await Deployment.create(path.join(folder, 'record.txt'));
  try {
    const broken = await play(deployment);
    deployment.log(broken === undefined ? 'verdict: the rule held' : `verdict: BROKEN: ${broken}`);
    process.stdout.write(broken === undefined ? 'rule held\n' : `rule broken: ${broken}\n`);
    process.exitCode = broken === undefined ? 0 : 1;
  } catch (error) {
    deployment.log(`verdict: could not run: ${String(error)}`);
    process.stdout.write(`could not run: ${String(error)}\n`);
    process.exitCode = 2;
  } finally {
    await deployment.stop();
  }
};
