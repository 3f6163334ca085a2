import { BaseError } from '../../shared/errors.ts';

/** One fault of an operator's document. */
export interface DocumentFault {
  /** Path in the document, such as `pools[2].workers[0].address`; empty for the document itself. */
  readonly path: string;
  /** Line of the file, from 1; undefined when it is not known. */
  readonly line?: number;
  /** What was found. */
  readonly found: string;
  /** What is allowed instead. */
  readonly allowed: string;
}

/** `file:line: path: found …; allowed: …` */
export const formatFault = (file: string, fault: DocumentFault): string => {
  const place = fault.line === undefined ? file : `${file}:${fault.line}`;
  return `${place}: ${fault.path || 'document'}: found ${fault.found}; allowed: ${fault.allowed}`;
};

/** A settings or tables document that cannot be used. Carries every fault that was found. */
export const DocumentError = BaseError.subclass('DocumentError', {
  props: { faults: [] as readonly DocumentFault[] },
});

/** Builds the error of a document with at least one fault. */
export const documentError = (file: string, faults: readonly DocumentFault[]) =>
  new DocumentError(faults.map((fault) => formatFault(file, fault)).join('\n'), {
    props: { faults },
  });
