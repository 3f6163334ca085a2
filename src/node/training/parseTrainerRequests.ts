import { requestError } from '../dataPath/problem.ts';
import type { PullRequest, StepSubmission, WeightPublication } from './trainerMessages.ts';

/** Names that become part of platform objects and stream names. */
const NAME = /^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$/;

/** Samples of one step: the bitmap of a step then takes at most 87 KB of the ledger object. */
const MAX_SAMPLES_PER_STEP = 524_288;

/** Samples in one answer to a pull. */
const MAX_SAMPLES_PER_PULL = 2048;

/** Longest wait of a pull, in ms, so that a silent connection is noticed. */
const MAX_WAIT_MS = 20_000;

const MAX_TOKENS = 1_000_000;

const LARGEST = Number.MAX_SAFE_INTEGER;

type Fields = Record<string, unknown>;

/** Collects everything that is wrong with a body, so that the trainer's author sees it at once. */
class Checker {
  readonly problems: string[] = [];

  constructor(
    readonly fields: Fields,
    readonly prefix = '',
    problems: string[] = [],
  ) {
    this.problems = problems;
  }

  integer(name: string, least: number, most: number, byDefault?: number): number {
    const value = this.fields[name] ?? byDefault;
    if (Number.isInteger(value) && Number(value) >= least && Number(value) <= most) {
      return Number(value);
    }
    this.#report(name, value, `an integer from ${least} to ${most}`);
    return least;
  }

  number(name: string, least: number, most: number): number | undefined {
    const value = this.fields[name];
    if (value === undefined || value === null) return undefined;
    if (typeof value === 'number' && value >= least && value <= most) return value;
    this.#report(name, value, `a number from ${least} to ${most}, or absent`);
    return undefined;
  }

  text(name: string, allowed: string, accepts: (value: string) => boolean): string {
    const value = this.fields[name];
    if (typeof value === 'string' && accepts(value)) return value;
    this.#report(name, value, allowed);
    return '';
  }

  name(name: string): string {
    return this.text(name, `a name that matches ${NAME.source}`, (value) => NAME.test(value));
  }

  object(name: string): Checker {
    const value = this.fields[name];
    const isObject = typeof value === 'object' && value !== null && !Array.isArray(value);
    if (!isObject) this.#report(name, value, 'an object');
    return new Checker(
      isObject ? (value as Fields) : {},
      `${this.prefix}${name}.`,
      isObject ? this.problems : [],
    );
  }

  list(name: string): Checker[] {
    const value = this.fields[name];
    if (!Array.isArray(value) || value.length === 0) {
      this.#report(name, value, 'a list with at least one entry');
      return [];
    }
    return value.map(
      (entry, index) =>
        new Checker(
          typeof entry === 'object' && entry !== null ? (entry as Fields) : {},
          `${this.prefix}${name}[${index}].`,
          this.problems,
        ),
    );
  }

  #report(name: string, value: unknown, allowed: string): void {
    const found = value === undefined ? 'nothing' : JSON.stringify(value).slice(0, 80);
    this.problems.push(`${this.prefix}${name}: found ${found}, allowed is ${allowed}`);
  }
}

/** Problems shown in one answer. */
const MAX_PROBLEMS_SHOWN = 10;

const refuse = (message: string) =>
  requestError(message, { outcome: 'not-run', statusCode: 400, code: 'bad-request' });

const parse = <T>(body: Buffer, read: (checker: Checker) => T): T => {
  let fields: unknown;
  try {
    fields = JSON.parse(body.toString('utf8'));
  } catch (error) {
    throw refuse(`the body is not JSON: ${(error as Error).message}`);
  }
  if (typeof fields !== 'object' || fields === null || Array.isArray(fields)) {
    throw refuse('the body must be a JSON object');
  }
  const checker = new Checker(fields as Fields);
  const result = read(checker);
  const { problems } = checker;
  if (problems.length === 0) return result;
  const more = problems.length - MAX_PROBLEMS_SHOWN;
  throw refuse(
    problems.slice(0, MAX_PROBLEMS_SHOWN).join('; ') + (more > 0 ? `; and ${more} more` : ''),
  );
};

/** @throws RequestError (400, `not-run`) that lists what is wrong */
export const parseStepSubmission = (body: Buffer): StepSubmission =>
  parse(body, (checker) => {
    const sampling = checker.object('sampling');
    const groups = checker.list('groups').map((group) => ({
      groupId: group.name('groupId'),
      prompt: group.text('prompt', 'a text', () => true),
    }));
    const samplesPerGroup = checker.integer('samplesPerGroup', 1, MAX_SAMPLES_PER_STEP);
    if (groups.length * samplesPerGroup > MAX_SAMPLES_PER_STEP) {
      checker.problems.push(`the step has more than ${MAX_SAMPLES_PER_STEP} samples`);
    }
    if (new Set(groups.map(({ groupId }) => groupId)).size < groups.length) {
      checker.problems.push('groups: each groupId must differ from the others');
    }
    return {
      stepId: checker.name('stepId'),
      groups,
      samplesPerGroup,
      sampling: {
        maxTokens: sampling.integer('maxTokens', 1, MAX_TOKENS),
        temperature: sampling.number('temperature', 0, 100),
        seed: sampling.number('seed', 0, LARGEST / 2),
      },
      deadlineMs: checker.integer('deadlineMs', 1, 86_400_000),
    };
  });

/** @throws RequestError (400, `not-run`) that lists what is wrong */
export const parsePullRequest = (body: Buffer): PullRequest =>
  parse(body, (checker) => ({
    cursor: checker.text(
      'cursor',
      'the cursor of the last answer, or an empty text',
      (value) => value.length <= 64,
    ),
    pullSequence: checker.integer('pullSequence', 0, LARGEST),
    maxSamples: checker.integer('maxSamples', 1, MAX_SAMPLES_PER_PULL, 256),
    waitMs: checker.integer('waitMs', 0, MAX_WAIT_MS, MAX_WAIT_MS),
  }));

/** @throws RequestError (400, `not-run`) that lists what is wrong */
export const parseWeightPublication = (body: Buffer): WeightPublication =>
  parse(body, (checker) => ({
    version: checker.integer('version', 1, LARGEST),
    uri: checker.text(
      'uri',
      'an address of at most 2,048 characters',
      (value) => value.length > 0 && value.length <= 2048,
    ),
  }));
