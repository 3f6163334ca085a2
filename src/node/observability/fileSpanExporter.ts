import { createWriteStream, type WriteStream } from 'node:fs';
import { type ExportResult, ExportResultCode, hrTimeToMicroseconds } from '@opentelemetry/core';
import type { ReadableSpan, SpanExporter } from '@opentelemetry/sdk-trace-base';

const lineOf = (span: ReadableSpan): string =>
  `${JSON.stringify({
    name: span.name,
    kind: span.kind,
    traceId: span.spanContext().traceId,
    spanId: span.spanContext().spanId,
    parentSpanId: span.parentSpanContext?.spanId,
    startUs: hrTimeToMicroseconds(span.startTime),
    durationUs: hrTimeToMicroseconds(span.duration),
    status: span.status,
    attributes: span.attributes,
  })}\n`;

/** Appends spans to a file, one JSON object per line. */
export class FileSpanExporter implements SpanExporter {
  readonly #file: WriteStream;

  constructor(path: string) {
    this.#file = createWriteStream(path, { flags: 'a' });
    // A full or missing disk must not terminate the node; the result of each export reports the error.
    this.#file.on('error', () => {});
  }

  export(spans: ReadableSpan[], done: (result: ExportResult) => void): void {
    this.#file.write(spans.map(lineOf).join(''), (error) =>
      done(error ? { code: ExportResultCode.FAILED, error } : { code: ExportResultCode.SUCCESS }),
    );
  }

  async forceFlush(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#file.write('', () => resolve());
    });
  }

  async shutdown(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#file.end(() => resolve());
    });
  }
}
