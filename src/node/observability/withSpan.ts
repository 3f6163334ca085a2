import { messageOf } from '../../shared/errors.ts';
import type { HopSpan, Tracing } from './tracing.ts';

/** The hop of a request for which a span is made. */
export interface Hop {
  readonly name: string;
  readonly kind: 'server' | 'client';
  /** Header `traceparent` of the hop before. */
  readonly parent: string | string[] | undefined;
  readonly attributes?: Record<string, string>;
}

/** Runs one hop in a span, which is marked as failed when the hop throws. */
export const withSpan = async <T>(
  tracing: Tracing,
  { name, kind, parent, attributes }: Hop,
  run: (span: HopSpan) => Promise<T>,
): Promise<T> => {
  const span = tracing.start(name, kind, Array.isArray(parent) ? parent[0] : parent, attributes);
  try {
    const result = await run(span);
    span.end();
    return result;
  } catch (error) {
    span.end(messageOf(error));
    throw error;
  }
};

/** Headers with the `traceparent` of a span, when it has one. */
export const withTraceparent = <H extends object>(
  headers: H,
  span: HopSpan,
): H & { traceparent?: string } =>
  span.traceparent === undefined ? headers : { ...headers, traceparent: span.traceparent };
