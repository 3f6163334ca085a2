import {
  type Attributes,
  ROOT_CONTEXT,
  SpanKind,
  SpanStatusCode,
  trace,
  TraceFlags,
} from '@opentelemetry/api';
import { OTLPTraceExporter } from '@opentelemetry/exporter-trace-otlp-http';
import {
  BasicTracerProvider,
  BatchSpanProcessor,
  type SpanExporter,
} from '@opentelemetry/sdk-trace-base';
import { FileSpanExporter } from './fileSpanExporter.ts';
import { formatTraceparent, parseTraceparent } from './traceContext.ts';
import type { HopSpan, Tracing, TracingOptions } from './tracing.ts';

const KINDS = { server: SpanKind.SERVER, client: SpanKind.CLIENT };

/** Maximum number of spans queued for export; further spans are dropped, so that a slow collector costs no memory. */
const MAX_QUEUED_SPANS = 2048;

const exportersOf = ({ file, otlpUrl }: TracingOptions): SpanExporter[] => [
  ...(file === undefined ? [] : [new FileSpanExporter(file)]),
  ...(otlpUrl === undefined ? [] : [new OTLPTraceExporter({ url: otlpUrl })]),
];

const contextOf = (parent: string | undefined) => {
  const parsed = parseTraceparent(parent);
  if (parsed === undefined) return ROOT_CONTEXT;
  return trace.setSpanContext(ROOT_CONTEXT, {
    traceId: parsed.traceId,
    spanId: parsed.spanId,
    traceFlags: parsed.flags,
    isRemote: true,
  });
};

/** Creates tracing based on OpenTelemetry. */
export const createOtelTracing = (options: TracingOptions): Tracing => {
  const provider = new BasicTracerProvider({
    spanProcessors: exportersOf(options).map(
      (exporter) => new BatchSpanProcessor(exporter, { maxQueueSize: MAX_QUEUED_SPANS }),
    ),
  });
  const tracer = provider.getTracer(options.serviceName);
  const startSpan = (
    name: string,
    kind: 'server' | 'client',
    parent: string | undefined,
    attributes: Attributes = {},
  ): HopSpan => {
    const span = tracer.startSpan(name, { kind: KINDS[kind], attributes }, contextOf(parent));
    const { traceId, spanId, traceFlags } = span.spanContext();
    return {
      // eslint-disable-next-line no-bitwise
      traceparent: formatTraceparent({ traceId, spanId, flags: traceFlags & TraceFlags.SAMPLED }),
      setAttributes: (added) => span.setAttributes(added),
      end: (error) => {
        if (error !== undefined) span.setStatus({ code: SpanStatusCode.ERROR, message: error });
        span.end();
      },
    };
  };
  return {
    enabled: true,
    startSpan,
    [Symbol.asyncDispose]: () => provider.shutdown(),
  };
};
