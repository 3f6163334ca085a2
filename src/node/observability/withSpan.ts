import { messageOf } from '../../shared/errors.ts';
import type { HopSpan, Tracing } from './tracing.ts';

/** The hop of a request that a span describes. */
export interface Hop {
  readonly name: string;
  readonly kind: 'server' | 'client';
  /** Header `traceparent` received from the previous hop. */
  readonly parent: string | string[] | undefined;
  readonly attributes?: Record<string, string>;
}

/** Runs one hop in a span, which is marked as failed when the hop throws. */
export const withSpan = async <T>(
  tracing: Tracing,
  { name, kind, parent, attributes }: Hop,
  run: (span: HopSpan) => Promise<T>,
): Promise<T> => {
  const span = tracing.startSpan(
    name,
    kind,
    Array.isArray(parent) ? parent[0] : parent,
    attributes,
  );
  try {
    const result = await run(span);
    span.end();
    return result;
  } catch (error) {
    span.end(messageOf(error));
    throw error;
  }
};

/** Adds the `traceparent` of a span, if it has one, to headers. */
export const withTraceparent = <H extends object>(
  headers: H,
  span: HopSpan,
): H & { traceparent?: string } =>
  span.traceparent === undefined ? headers : { ...headers, traceparent: span.traceparent };
