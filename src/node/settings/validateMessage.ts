import type { DescMessage, MessageShape } from '@bufbuild/protobuf';
import { createValidator } from '@bufbuild/protovalidate';
import type { DocumentFault } from './documentError.ts';

const validator = createValidator();

interface PathElement {
  readonly jsonName?: string;
  readonly name?: string;
  readonly index?: number;
}

/** Formats a field path of the validation library as it appears in the document. */
const formatPath = (elements: readonly unknown[]): string =>
  elements.reduce<string>((path, element) => {
    const { jsonName, name, index } = element as PathElement;
    if (index !== undefined) return `${path}[${index}]`;
    const step = jsonName ?? name ?? '';
    return path ? `${path}.${step}` : step;
  }, '');

/** Value in a message or JSON document at a path such as `pools[2].name`. */
export const valueAt = (root: unknown, path: string): unknown =>
  path
    .split(/[.[\]]+/)
    .filter(Boolean)
    .reduce<unknown>((value, step) => {
      if (value === null || typeof value !== 'object') return undefined;
      return (value as Record<string, unknown>)[step];
    }, root);

/** Describes a found value for an error message. */
export const describeValue = (value: unknown): string => {
  if (value === undefined || value === '') return 'nothing';
  return typeof value === 'object' ? 'a mapping' : (JSON.stringify(value) ?? String(value));
};

/**
 * Checks a message against the rules in its schema.
 *
 * @throws when the schema itself is invalid
 */
export const validateMessage = <Desc extends DescMessage>(
  desc: Desc,
  message: MessageShape<Desc>,
): DocumentFault[] => {
  const result = validator.validate(desc, message);
  if (result.kind === 'error') throw result.error;
  if (result.kind === 'valid') return [];
  return result.violations.map((violation) => {
    const path = formatPath(violation.field);
    return { path, found: describeValue(valueAt(message, path)), allowed: violation.message };
  });
};
