/** The parts of a W3C `traceparent` header. */
export interface TraceContext {
  readonly traceId: string;
  readonly spanId: string;
  readonly flags: number;
}

const TRACEPARENT = /^([0-9a-f]{2})-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})(-.*)?$/;

/** Parses a `traceparent` header; returns undefined when it is absent or invalid. */
export const parseTraceparent = (header: string | undefined): TraceContext | undefined => {
  const [, version, traceId, spanId, flags, rest] = TRACEPARENT.exec(header ?? '') ?? [];
  if (traceId === undefined || spanId === undefined || flags === undefined) return undefined;
  // Later versions may append fields; version ff is forbidden.
  const isValid =
    version !== 'ff' &&
    (version !== '00' || rest === undefined) &&
    !/^0+$/.test(traceId) &&
    !/^0+$/.test(spanId);
  return isValid ? { traceId, spanId, flags: Number.parseInt(flags, 16) } : undefined;
};

export const formatTraceparent = ({ traceId, spanId, flags }: TraceContext): string =>
  `00-${traceId}-${spanId}-${flags.toString(16).padStart(2, '0')}`;
