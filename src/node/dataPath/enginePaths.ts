/** Path of the completions interface, whose streams can be resumed. */
export const COMPLETIONS_PATH = '/v1/completions';

/**
 * Paths of model engines that callers may use, compared with the exact text of the request. Others, such as orders, are
 * refused, because not all engines check who gives them an order.
 */
export const ENGINE_PATHS: ReadonlySet<string> = new Set([
  COMPLETIONS_PATH,
  '/v1/chat/completions',
  '/v1/embeddings',
  '/v1/models',
]);
