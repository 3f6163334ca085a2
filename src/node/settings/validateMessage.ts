import type { DescMessage, MessageShape } from '@bufbuild/protobuf';
import { createValidator } from '@bufbuild/protovalidate';
import type { DocumentFault } from './documentError.ts';

const validator = createValidator();

interface PathElement {
  readonly jsonName?: string;
  readonly name?: string;
  readonly index?: number;
}

/** Writes a path of the validation library the way it stands in the document. */
const documentPath = (elements: readonly unknown[]): string =>
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

/** Shows a found value in an error. */
export const describeValue = (value: unknown): string => {
  if (value === undefined || value === '') return 'nothing';
  return typeof value === 'object' ? 'a mapping' : (JSON.stringify(value) ?? String(value));
};

/**
 * Checks the rules that a message's schema states.
 *
 * @throws when the schema itself has a fault
 */
export const validateMessage = <Desc extends DescMessage>(
  desc: Desc,
  message: MessageShape<Desc>,
): DocumentFault[] => {
  const result = validator.validate(desc, message);
  if (result.kind === 'error') throw result.error;
  if (result.kind === 'valid') return [];
  return result.violations.map((violation) => {
    const path = documentPath(violation.field);
    return { path, found: describeValue(valueAt(message, path)), allowed: violation.message };
  });
};
