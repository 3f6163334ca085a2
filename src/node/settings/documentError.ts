import { BaseError } from '../../shared/errors.ts';

/** One fault in an operator's document. */
export interface DocumentFault {
  /** Path in the document, such as `pools[2].workers[0].address`; empty for the document itself. */
  readonly path: string;
  /** Line number in the file, starting at 1, if known. */
  readonly line?: number;
  /** What was found. */
  readonly found: string;
  /** What is allowed instead. */
  readonly allowed: string;
}

/** Formats a fault as `file:line: path: found …; allowed: …`. */
export const formatFault = (file: string, fault: DocumentFault): string => {
  const location = fault.line === undefined ? file : `${file}:${fault.line}`;
  return `${location}: ${fault.path || 'document'}: found ${fault.found}; allowed: ${fault.allowed}`;
};

/** A settings or tables document that cannot be used. Contains every fault that was found. */
export const DocumentError = BaseError.subclass('DocumentError', {
  props: { faults: [] as readonly DocumentFault[] },
});

/** Creates the error for a document with at least one fault. */
export const documentError = (file: string, faults: readonly DocumentFault[]) =>
  new DocumentError(faults.map((fault) => formatFault(file, fault)).join('\n'), {
    props: { faults },
  });
