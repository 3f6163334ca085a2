/** Path of the completions API, the only one whose streams can be resumed. */
export const COMPLETIONS_PATH = '/v1/completions';

/**
 * Engine paths that callers may use. The URL of a request must match one of them exactly, without decoding or
 * normalization. Other paths, such as orders, are refused, because not all engines verify the sender of an order.
 */
export const ENGINE_PATHS: ReadonlySet<string> = new Set([
  COMPLETIONS_PATH,
  '/v1/chat/completions',
  '/v1/embeddings',
  '/v1/models',
]);
