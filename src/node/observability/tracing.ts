import type { Attributes } from '@opentelemetry/api';
import { parseTraceparent } from './traceContext.ts';

/** One hop of a request. */
export interface HopSpan {
  /** `traceparent` to send to the next hop; undefined: none. */
  readonly traceparent: string | undefined;
  setAttributes(attributes: Attributes): void;
  /** Ends the span. With `error` it is marked as failed. */
  end(error?: string): void;
}

/** Makes spans. Named `Tracing` because OpenTelemetry's own interface is called `Tracer`. */
export interface Tracing extends AsyncDisposable {
  readonly enabled: boolean;
  /**
   * Starts a span.
   *
   * @param parent - `traceparent` of the hop before; undefined or invalid: a new trace
   */
  start(
    name: string,
    kind: 'server' | 'client',
    parent: string | undefined,
    attributes?: Attributes,
  ): HopSpan;
}

export interface TracingOptions {
  readonly serviceName: string;
  /** File to which spans are appended, one JSON object a line. */
  readonly file?: string;
  /** OTLP endpoint over HTTP. */
  readonly otlpUrl?: string;
}

const ignore = () => {};

const passOn = (traceparent: string | undefined): HopSpan => ({
  traceparent,
  setAttributes: ignore,
  end: ignore,
});

const WITHOUT_CONTEXT = passOn(undefined);

/** Makes no spans and passes a valid context on unchanged. */
export const noTracing: Tracing = {
  enabled: false,
  start: (_name, _kind, parent) =>
    parent !== undefined && parseTraceparent(parent) !== undefined
      ? passOn(parent)
      : WITHOUT_CONTEXT,
  async [Symbol.asyncDispose]() {
    // Nothing to flush.
  },
};

/** Loads OpenTelemetry only when spans are wanted, so that tracing costs neither memory nor time while it is off. */
export const createTracing = async (options: TracingOptions): Promise<Tracing> => {
  if (options.file === undefined && options.otlpUrl === undefined) return noTracing;
  const { createOtelTracing } = await import('./otelTracing.ts');
  return createOtelTracing(options);
};
