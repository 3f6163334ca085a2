import { createHash } from 'node:crypto';
import { pathToFileURL } from 'node:url';
import {
  runStandInProcess,
  sendJson,
  sleepMs,
  startStandIn,
  type StandInHandler,
} from './standInServer.ts';

interface CompletionRequest {
  model?: string;
  prompt: string;
  max_tokens?: number;
  seed?: number;
  stream?: boolean;
  resume?: { token_ids: number[] };
}

/** Token that the model generates at a position. It depends only on the prompt, the seed and the position. */
const tokenAt = (prompt: string, seed: number, position: number): number =>
  createHash('sha1').update(`${prompt}|${seed}|${position}`).digest().readUInt16BE(0);

const tokenText = (token: number): string => ` t${token}`;

/** Complete text that the engine generates for a prompt and seed. */
export const expectedText = (prompt: string, seed: number, maxTokens: number): string =>
  Array.from({ length: maxTokens }, (_, position) =>
    tokenText(tokenAt(prompt, seed, position)),
  ).join('');

/**
 * Stand-in for a model engine. The output is deterministic for a prompt and seed. Faults in addition to those of every
 * stand-in: `tokenIntervalMs`, `crashAfterTokens` (destroys the connection), `ignoreFencing`, `failLoads`, `loadMs`.
 */
export const startEngine = async (port = 0) => {
  const streams = new Map<string, { cancelled: boolean }>();
  const faults: Record<string, unknown> = {};
  let weightVersion = 1;
  let fencing = 0;
  let state: 'ready' | 'loading' | 'leaving' | 'failed' = 'ready';
  let requestCount = 0;

  const handleCompletion: StandInHandler = async (request, response) => {
    const body = JSON.parse(request.body.toString()) as CompletionRequest;
    const id = String(request.headers['x-request-id'] ?? `cmpl-${requestCount}`);
    requestCount += 1;
    const stream = { cancelled: false };
    streams.set(id, stream);
    response.on('close', () => streams.delete(id));
    const maxTokens = body.max_tokens ?? 16;
    const seed = body.seed ?? 0;
    const createChunk = (text: string, finishReason: string | null) => ({
      id,
      object: 'text_completion',
      created: 0,
      model: body.model ?? 'stand-in',
      choices: [{ index: 0, text, finish_reason: finishReason, logprobs: null }],
    });
    if (body.stream) response.writeHead(200, { 'content-type': 'text/event-stream' });
    const tokens: number[] = [];
    const versions: number[] = [];
    const firstPosition = body.resume?.token_ids.length ?? 0;
    for (let position = firstPosition; position < maxTokens && !stream.cancelled; position += 1) {
      await sleepMs(Number(faults.tokenIntervalMs ?? 1));
      const token = tokenAt(body.prompt, seed, position);
      tokens.push(token);
      versions.push(weightVersion);
      if (
        faults.crashAfterTokens !== undefined &&
        tokens.length > Number(faults.crashAfterTokens)
      ) {
        response.destroy();
        return;
      }
      if (body.stream) {
        const isLast = position === maxTokens - 1;
        const chunk = {
          ...createChunk(tokenText(token), isLast ? 'length' : null),
          token_ids: [token],
          weight_version: weightVersion,
          position,
        };
        if (!response.write(`data: ${JSON.stringify(chunk)}\n\n`) && !response.destroyed) {
          await Promise.race([
            new Promise((resolve) => {
              response.once('drain', resolve);
            }),
            new Promise((resolve) => {
              response.once('close', resolve);
            }),
          ]);
        }
      }
    }
    if (body.stream) {
      response.end('data: [DONE]\n\n');
      return;
    }
    sendJson(response, 200, {
      ...createChunk(tokens.map(tokenText).join(''), 'length'),
      usage: {
        prompt_tokens: 1,
        completion_tokens: tokens.length,
        total_tokens: tokens.length + 1,
      },
      token_ids: tokens,
      token_versions: versions,
    });
  };

  const handleOrder: StandInHandler = (request, response) => {
    const body = JSON.parse(request.body.toString()) as {
      kind: string;
      version?: number;
      fencing: number;
    };
    if (!faults.ignoreFencing && body.fencing < fencing) {
      sendJson(response, 409, { error: 'stale_fencing', fencing });
      return;
    }
    fencing = Math.max(fencing, body.fencing);
    if (body.kind === 'load_weights') {
      state = 'loading';
      setTimeout(
        () => {
          state = faults.failLoads ? 'failed' : 'ready';
          if (state === 'ready') weightVersion = body.version ?? weightVersion;
        },
        Number(faults.loadMs ?? 20),
      );
    }
    sendJson(response, 202, { state, weight_version: weightVersion });
  };

  const handler: StandInHandler = (request, response) => {
    const { pathname } = request.url;
    if (pathname === '/v1/completions') return handleCompletion(request, response);
    if (pathname === '/v1/orders') return handleOrder(request, response);
    if (pathname === '/v1/load') {
      sendJson(response, 200, {
        running: streams.size,
        waiting: 0,
        max_running: 64,
        weight_version: weightVersion,
        state,
      });
    } else if (pathname === '/v1/streams') {
      sendJson(response, 200, { streams: [...streams.keys()] });
    } else if (pathname.startsWith('/v1/streams/') && request.method === 'DELETE') {
      const stream = streams.get(pathname.slice('/v1/streams/'.length));
      if (stream) stream.cancelled = true;
      sendJson(response, stream ? 200 : 404, {});
    } else {
      sendJson(response, 404, { error: `no ${pathname}` });
    }
    return undefined;
  };
  return startStandIn(handler, faults, port);
};

if (import.meta.url === pathToFileURL(process.argv[1] ?? '').href) {
  await runStandInProcess(startEngine);
}
