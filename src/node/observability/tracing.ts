import type { Attributes } from '@opentelemetry/api';
import { parseTraceparent } from './traceContext.ts';

/** Span of one hop of a request. */
export interface HopSpan {
  /** `traceparent` to send to the next hop, if any. */
  readonly traceparent: string | undefined;
  setAttributes(attributes: Attributes): void;
  /** Ends the span. With `error` it is marked as failed. */
  end(error?: string): void;
}

/** Creates spans. Not called `Tracer`, which is the name of OpenTelemetry's own interface. */
export interface Tracing extends AsyncDisposable {
  readonly enabled: boolean;
  /**
   * Starts a span.
   *
   * @param parent - `traceparent` of the previous hop; a new trace starts when it is undefined or invalid
   */
  startSpan(
    name: string,
    kind: 'server' | 'client',
    parent: string | undefined,
    attributes?: Attributes,
  ): HopSpan;
}

export interface TracingOptions {
  readonly serviceName: string;
  /** File to which spans are appended, one JSON object per line. */
  readonly file?: string;
  /** OTLP endpoint over HTTP. */
  readonly otlpUrl?: string;
}

const noop = () => {};

const createPassThroughSpan = (traceparent: string | undefined): HopSpan => ({
  traceparent,
  setAttributes: noop,
  end: noop,
});

const SPAN_WITHOUT_CONTEXT = createPassThroughSpan(undefined);

/** Creates no spans and passes a valid trace context through unchanged. */
export const noTracing: Tracing = {
  enabled: false,
  startSpan: (_name, _kind, parent) =>
    parent !== undefined && parseTraceparent(parent) !== undefined
      ? createPassThroughSpan(parent)
      : SPAN_WITHOUT_CONTEXT,
  async [Symbol.asyncDispose]() {
    // Nothing to flush.
  },
};

/** Loads OpenTelemetry only when tracing is enabled, so that disabled tracing costs neither memory nor time. */
export const createTracing = async (options: TracingOptions): Promise<Tracing> => {
  if (options.file === undefined && options.otlpUrl === undefined) return noTracing;
  const { createOtelTracing } = await import('./otelTracing.ts');
  return createOtelTracing(options);
};
