import {
  type DescEnum,
  type DescField,
  type DescMessage,
  fromJson,
  type JsonValue,
  type MessageShape,
  ScalarType,
  type JsonObject,
} from '@bufbuild/protobuf';
import { isMap, isScalar, isSeq, LineCounter, type Node, parseDocument as parseYaml } from 'yaml';
import { documentError, type DocumentFault } from './documentError.ts';
import { describeValue, validateMessage, valueAt } from './validateMessage.ts';

/**
 * Maps the names of enum values in documents to their names in the schema, such as `model-engine` to
 * `PROTOCOL_MODEL_ENGINE`.
 */
export const enumNamesInDocuments = (desc: DescEnum): Map<string, string> =>
  new Map(
    desc.values
      .filter((value) => value.number !== 0)
      .map((value) => [value.localName.toLowerCase().replaceAll('_', '-'), value.name]),
  );

const describeNode = (node: Node | null): string => {
  if (node === null) return 'nothing';
  if (isMap(node)) return 'a mapping';
  if (isSeq(node)) return 'a list';
  if (isScalar(node)) return JSON.stringify(node.value) ?? String(node.value);
  return 'an alias';
};

/** Whether a field has no value, so that its default applies: templates render values that the platform does not set so. */
const isEmptyScalar = (node: Node): boolean => isScalar(node) && node.value === null;

/** Converts a YAML document to the JSON form of a message by its schema, and collects every fault with its location. */
class DocumentWalker {
  readonly faults: DocumentFault[] = [];

  readonly #lines: LineCounter;

  /** Line of each visited path. */
  readonly linesByPath = new Map<string, number>();

  constructor(lines: LineCounter) {
    this.#lines = lines;
  }

  message(desc: DescMessage, node: Node | null, path: string): JsonObject {
    this.#recordLine(path, node);
    if (!isMap(node)) {
      this.#addFault(path, node, describeNode(node), 'a mapping');
      return {};
    }
    const fields = new Map(desc.fields.map((field) => [field.jsonName, field]));
    const result: JsonObject = {};
    for (const pair of node.items) {
      const key = isScalar(pair.key) ? String(pair.key.value) : '?';
      const field = fields.get(key);
      const childPath = path ? `${path}.${key}` : key;
      if (field === undefined) {
        const allowed = [...fields.keys()].join(', ');
        this.#addFault(childPath, pair.key as Node, 'an unknown field', `one of ${allowed}`);
      } else if (pair.value !== null && !isEmptyScalar(pair.value as Node)) {
        const value = this.#field(field, pair.value as Node, childPath);
        if (value !== undefined) result[key] = value;
      }
    }
    return result;
  }

  #field(field: DescField, node: Node, path: string): JsonValue | undefined {
    this.#recordLine(path, node);
    if (field.fieldKind === 'list') return this.#list(field, node, path);
    if (field.fieldKind === 'map') return this.#map(node, path);
    return this.#singular(field, node, path);
  }

  #list(field: DescField & { fieldKind: 'list' }, node: Node, path: string): JsonValue {
    if (!isSeq(node)) {
      this.#addFault(path, node, describeNode(node), 'a list');
      return [];
    }
    const items = node.items.map((item, index) => {
      const itemPath = `${path}[${index}]`;
      if (field.listKind === 'message') {
        return this.message(field.message, item as Node | null, itemPath);
      }
      return this.#scalar(ScalarType.STRING, item as Node, itemPath);
    });
    return items.filter((item) => item !== undefined);
  }

  #map(node: Node, path: string): JsonValue {
    if (!isMap(node)) {
      this.#addFault(path, node, describeNode(node), 'a mapping of text to text');
      return {};
    }
    const result: JsonObject = {};
    for (const pair of node.items) {
      const key = isScalar(pair.key) ? String(pair.key.value) : '?';
      const value = this.#scalar(ScalarType.STRING, pair.value as Node, `${path}.${key}`);
      if (value !== undefined) result[key] = value;
    }
    return result;
  }

  #singular(field: DescField, node: Node, path: string): JsonValue | undefined {
    if (field.fieldKind === 'message') return this.message(field.message, node, path);
    if (field.fieldKind === 'enum') return this.#enum(field.enum, node, path);
    if (field.fieldKind === 'scalar') return this.#scalar(field.scalar, node, path);
    return undefined;
  }

  #enum(desc: DescEnum, node: Node, path: string): JsonValue | undefined {
    const names = enumNamesInDocuments(desc);
    const name = isScalar(node) ? names.get(String(node.value)) : undefined;
    if (name === undefined) {
      this.#addFault(path, node, describeNode(node), `one of ${[...names.keys()].join(', ')}`);
    }
    return name;
  }

  #scalar(type: ScalarType, node: Node | null, path: string): JsonValue | undefined {
    const value: unknown = isScalar(node) ? node.value : undefined;
    const reject = (allowed: string): undefined => {
      this.#addFault(path, node, describeNode(node), allowed);
    };
    if (type === ScalarType.STRING) {
      if (typeof value === 'number' || typeof value === 'boolean') {
        return reject('text; put it in quotes');
      }
      return typeof value === 'string' ? value : reject('text');
    }
    if (type === ScalarType.BOOL) {
      return typeof value === 'boolean' ? value : reject('true or false');
    }
    if (type === ScalarType.UINT32) {
      const valid =
        typeof value === 'number' && Number.isInteger(value) && value >= 0 && value < 2 ** 32;
      return valid ? value : reject('a whole number from 0 to 4294967295');
    }
    const valid = typeof value === 'number' && Number.isFinite(value);
    return valid ? value : reject('a number');
  }

  /** Line of a path, or of its nearest ancestor that is present in the document. */
  lineOf(path: string): number | undefined {
    for (
      let ancestor = path;
      ancestor !== '';
      ancestor = ancestor.replace(/(\.[^.[]*|\[\d+\]|^[^.[]*)$/, '')
    ) {
      const line = this.linesByPath.get(ancestor);
      if (line !== undefined) return line;
    }
    return this.linesByPath.get('');
  }

  #addFault(path: string, node: Node | null, found: string, allowed: string): void {
    this.faults.push({ path, line: this.#lineOf(node), found, allowed });
  }

  #recordLine(path: string, node: Node | null): void {
    const line = this.#lineOf(node);
    if (line !== undefined) this.linesByPath.set(path, line);
  }

  #lineOf(node: Node | null): number | undefined {
    return node?.range ? this.#lines.linePos(node.range[0]).line : undefined;
  }
}

/** A parsed document and the line of each path in it. */
export interface ParsedDocument<Desc extends DescMessage> {
  readonly message: MessageShape<Desc>;
  /** Line of a path, or of its nearest ancestor that is present in the document. */
  readonly lineOf: (path: string) => number | undefined;
}

/**
 * Parses a YAML document into a message and checks it against the rules in the schema.
 *
 * @param text - the YAML text
 * @param file - file name shown in errors
 * @throws DocumentError with every fault that was found
 */
export const parseDocument = <Desc extends DescMessage>(
  desc: Desc,
  text: string,
  file: string,
): ParsedDocument<Desc> => {
  const lines = new LineCounter();
  const yaml = parseYaml(text, { lineCounter: lines });
  if (yaml.errors.length > 0) {
    throw documentError(
      file,
      yaml.errors.map((error) => ({
        path: '',
        line: error.linePos?.[0].line,
        found: error.message.split('\n')[0] ?? error.message,
        allowed: 'YAML 1.2',
      })),
    );
  }
  const walker = new DocumentWalker(lines);
  const json = walker.message(desc, yaml.contents, '');
  if (walker.faults.length > 0) throw documentError(file, walker.faults);
  const message = fromJson(desc, json);
  const faults = validateMessage(desc, message).map((fault) => ({
    ...fault,
    found: describeValue(valueAt(json, fault.path)),
    line: walker.lineOf(fault.path),
  }));
  if (faults.length > 0) throw documentError(file, faults);
  return { message, lineOf: (path) => walker.lineOf(path) };
};
