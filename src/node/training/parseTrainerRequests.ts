import { requestError } from '../dataPath/problem.ts';
import type { PullRequest, StepSubmission, WeightPublication } from './trainerMessages.ts';

/** Valid names; they become part of platform objects and stream names. */
const NAME = /^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$/;

/** Maximum number of samples of a step. The bitmap of a step then takes at most 87 KB of the ledger object. */
const MAX_SAMPLES_PER_STEP = 524_288;

/** Maximum number of samples in one response to a pull. */
const MAX_SAMPLES_PER_PULL = 2048;

/** Maximum wait of a pull, in ms, so that a stalled connection is detected. */
const MAX_WAIT_MS = 20_000;

const MAX_TOKENS = 1_000_000;

const MAX_INTEGER = Number.MAX_SAFE_INTEGER;

type Fields = Record<string, unknown>;

/** Reads the fields of a body and collects all problems, so that one response reports all of them. */
class BodyReader {
  readonly problems: string[] = [];

  constructor(
    readonly fields: Fields,
    readonly prefix = '',
    problems: string[] = [],
  ) {
    this.problems = problems;
  }

  integer(name: string, min: number, max: number, defaultValue?: number): number {
    const value = this.fields[name] ?? defaultValue;
    if (Number.isInteger(value) && Number(value) >= min && Number(value) <= max) {
      return Number(value);
    }
    this.#report(name, value, `an integer from ${min} to ${max}`);
    return min;
  }

  number(name: string, min: number, max: number): number | undefined {
    const value = this.fields[name];
    if (value === undefined || value === null) return undefined;
    if (typeof value === 'number' && value >= min && value <= max) return value;
    this.#report(name, value, `a number from ${min} to ${max}, or absent`);
    return undefined;
  }

  text(name: string, expected: string, accepts: (value: string) => boolean): string {
    const value = this.fields[name];
    if (typeof value === 'string' && accepts(value)) return value;
    this.#report(name, value, expected);
    return '';
  }

  name(name: string): string {
    return this.text(name, `a name that matches ${NAME.source}`, (value) => NAME.test(value));
  }

  object(name: string): BodyReader {
    const value = this.fields[name];
    const isObject = typeof value === 'object' && value !== null && !Array.isArray(value);
    if (!isObject) this.#report(name, value, 'an object');
    return new BodyReader(
      isObject ? (value as Fields) : {},
      `${this.prefix}${name}.`,
      isObject ? this.problems : [],
    );
  }

  list(name: string): BodyReader[] {
    const value = this.fields[name];
    if (!Array.isArray(value) || value.length === 0) {
      this.#report(name, value, 'a list with at least one entry');
      return [];
    }
    return value.map(
      (entry, index) =>
        new BodyReader(
          typeof entry === 'object' && entry !== null ? (entry as Fields) : {},
          `${this.prefix}${name}[${index}].`,
          this.problems,
        ),
    );
  }

  #report(name: string, value: unknown, expected: string): void {
    const found = value === undefined ? 'nothing' : JSON.stringify(value).slice(0, 80);
    this.problems.push(`${this.prefix}${name}: found ${found}, expected ${expected}`);
  }
}

/** Maximum number of problems listed in one response. */
const MAX_PROBLEMS_SHOWN = 10;

const badRequest = (message: string) =>
  requestError(message, { outcome: 'not-run', statusCode: 400, code: 'bad-request' });

const parse = <T>(body: Buffer, read: (reader: BodyReader) => T): T => {
  let fields: unknown;
  try {
    fields = JSON.parse(body.toString('utf8'));
  } catch (error) {
    throw badRequest(`the body is not valid JSON: ${(error as Error).message}`);
  }
  if (typeof fields !== 'object' || fields === null || Array.isArray(fields)) {
    throw badRequest('the body must be a JSON object');
  }
  const reader = new BodyReader(fields as Fields);
  const result = read(reader);
  const { problems } = reader;
  if (problems.length === 0) return result;
  const more = problems.length - MAX_PROBLEMS_SHOWN;
  throw badRequest(
    problems.slice(0, MAX_PROBLEMS_SHOWN).join('; ') + (more > 0 ? `; and ${more} more` : ''),
  );
};

/** @throws RequestError (400, `not-run`) that lists the problems */
export const parseStepSubmission = (body: Buffer): StepSubmission =>
  parse(body, (reader) => {
    const sampling = reader.object('sampling');
    const groups = reader.list('groups').map((group) => ({
      groupId: group.name('groupId'),
      prompt: group.text('prompt', 'a string', () => true),
    }));
    const samplesPerGroup = reader.integer('samplesPerGroup', 1, MAX_SAMPLES_PER_STEP);
    if (groups.length * samplesPerGroup > MAX_SAMPLES_PER_STEP) {
      reader.problems.push(`the step has more than ${MAX_SAMPLES_PER_STEP} samples`);
    }
    if (new Set(groups.map(({ groupId }) => groupId)).size < groups.length) {
      reader.problems.push('groups: each groupId must be unique');
    }
    return {
      stepId: reader.name('stepId'),
      groups,
      samplesPerGroup,
      sampling: {
        maxTokens: sampling.integer('maxTokens', 1, MAX_TOKENS),
        temperature: sampling.number('temperature', 0, 100),
        seed: sampling.number('seed', 0, MAX_INTEGER / 2),
      },
      deadlineMs: reader.integer('deadlineMs', 1, 86_400_000),
    };
  });

/** @throws RequestError (400, `not-run`) that lists the problems */
export const parsePullRequest = (body: Buffer): PullRequest =>
  parse(body, (reader) => ({
    cursor: reader.text(
      'cursor',
      'the cursor of the last response, or an empty string',
      (value) => value.length <= 64,
    ),
    pullSequence: reader.integer('pullSequence', 0, MAX_INTEGER),
    maxSamples: reader.integer('maxSamples', 1, MAX_SAMPLES_PER_PULL, 256),
    waitMs: reader.integer('waitMs', 0, MAX_WAIT_MS, MAX_WAIT_MS),
  }));

/** @throws RequestError (400, `not-run`) that lists the problems */
export const parseWeightPublication = (body: Buffer): WeightPublication =>
  parse(body, (reader) => ({
    version: reader.integer('version', 1, MAX_INTEGER),
    uri: reader.text(
      'uri',
      'an address of at most 2,048 characters',
      (value) => value.length > 0 && value.length <= 2048,
    ),
  }));
