import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { CaseRecord } from './record.ts';

/** Ends a case that hangs, in ms; a script runs for 120 s at most. */
const CASE_LIMIT_MS = 110_000;

export interface CaseContext {
  readonly record: CaseRecord;
  /** Whether the disruption is played. */
  readonly isTrouble: boolean;
  /** Registers what is to be ended with the case. */
  readonly onEnd: (end: () => void | Promise<void>) => void;
}

/**
 * Plays a case and ends its process: exit code 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
 *
 * @param play - returns what broke the rule; nothing if it held
 */
export const playCase = async (
  caseUrl: string,
  play: (context: CaseContext) => Promise<readonly string[]>,
): Promise<void> => {
  const folder = path.dirname(fileURLToPath(caseUrl));
  const record = new CaseRecord(path.join(folder, 'record.txt'));
  const ends: (() => void | Promise<void>)[] = [];
  const isTrouble = process.env.TROUBLE !== '0';
  record.add(isTrouble ? 'with the disruption' : 'without the disruption (TROUBLE=0)');
  let exitCode = 2;
  const limit = new Promise<never>((_resolve, reject) => {
    setTimeout(() => reject(new Error('the case took too long')), CASE_LIMIT_MS).unref();
  });
  try {
    const context = {
      record,
      isTrouble,
      onEnd: (end: () => void | Promise<void>) => ends.push(end),
    };
    const broken = await Promise.race([play(context), limit]);
    for (const line of broken) record.add(`BROKEN ${line}`);
    if (broken.length === 0) record.add('the rule held');
    exitCode = broken.length === 0 ? 0 : 1;
  } catch (error) {
    record.add(`the case could not run: ${error instanceof Error ? error.message : String(error)}`);
  }
  for (const end of ends.reverse()) await end();
  await record.save();
  // What the case left open must not keep it alive.
  // eslint-disable-next-line n/no-process-exit
  process.exit(exitCode);
};
