import http from 'node:http';
import type { AddressInfo } from 'node:net';
import type { ItemRuns } from './itemRuns.ts';
import type { RunCounts } from './runCounts.ts';
import { sleepMs } from '../standIns/standInServer.ts';

/** Duration of one request to the plain service, in ms. */
const REQUEST_DURATION_MS = 15;

/** Time between two events of a generation, in ms. */
const EVENT_INTERVAL_MS = 12;

/**
 * Fault in the responses to requests that a worker ran: no response, a truncated one, one followed by a second response
 * that nobody requested, or status 500.
 */
export type ResponseFault = 'none' | 'lost' | 'half' | 'extra' | 'failed';

/** Probability that a fault affects a response, or an event of a generation. */
const RESPONSE_FAULT_PROBABILITY = 0.3;
const EVENT_FAULT_PROBABILITY = 0.05;

/** Text of an event. The complete text of an item follows from its ID and its number of events. */
export const eventText = (itemId: string, eventNumber: number): string =>
  `${itemId}-${eventNumber}`;

/** Number of events that an item's request body asks for. */
export const countEvents = (body: string): number => Number(JSON.parse(body).events);

const readBody = async (request: http.IncomingMessage): Promise<string> => {
  const chunks: Buffer[] = [];
  for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
};

/** Streams the events of an item, starting after `last-event-id`. Returns whether the stream reached its end. */
const streamEvents = async (
  request: http.IncomingMessage,
  response: http.ServerResponse,
  id: string,
  body: string,
  isFaulty: () => boolean,
): Promise<boolean> => {
  response.writeHead(200, { 'content-type': 'text/event-stream', 'x-weight-versions': '1' });
  const total = countEvents(body);
  const after = Number(request.headers['last-event-id'] ?? 0);
  for (let number = after + 1; number <= total && !response.destroyed; number += 1) {
    await sleepMs(EVENT_INTERVAL_MS);
    if (isFaulty()) {
      response.write(`id: ${number}\ndata: ha`);
      response.destroy();
      return false;
    }
    response.write(`id: ${number}\ndata: ${eventText(id, number)}\n\n`);
  }
  const isComplete = !response.destroyed;
  response.end();
  return isComplete;
};

/** Sends a response as modified by a fault. */
const sendResponse = (response: http.ServerResponse, body: string, fault: ResponseFault): void => {
  const { socket } = response;
  if (fault === 'lost') response.destroy();
  else if (fault === 'failed') response.writeHead(500).end();
  else if (fault === 'half') {
    response.writeHead(200, { 'content-length': body.length });
    response.write(body.slice(0, 8), () => response.destroy());
  } else {
    response.end(body);
    if (fault === 'extra') {
      response.once('finish', () => socket?.write('HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx'));
    }
  }
};

/** A worker that speaks the platform's protocol, as both a plain service and a model engine. */
export class SoakWorker implements AsyncDisposable {
  id: string;

  /** Start of the worker's process, as it reports it. */
  startedAtMs = 1;

  responseFault: ResponseFault = 'none';

  /** Requests per second that the worker says it takes. */
  limitPerSecond: number | undefined;

  /** When requests arrived that this worker did not refuse. */
  readonly arrivalsMs: number[] = [];

  readonly #runCounts: RunCounts;

  readonly #itemRuns: ItemRuns;

  readonly #server: http.Server;

  constructor(id: string, counts: RunCounts, itemRuns: ItemRuns) {
    this.id = id;
    this.#runCounts = counts;
    this.#itemRuns = itemRuns;
    this.#server = http.createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 30_000;
  }

  async listen(): Promise<number> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    return (this.#server.address() as AddressInfo).port;
  }

  [Symbol.asyncDispose](): Promise<void> {
    this.#server.closeAllConnections();
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
    });
  }

  async #handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const body = await readBody(request);
    if (request.url === '/report') {
      const models = [{ name: 'model', version: 1 }];
      response.end(JSON.stringify({ busy: false, sequence: 0, born: this.startedAtMs, models }));
      return;
    }
    const id = String(request.headers['x-request-id']);
    response.setHeader('x-request-id', id);
    if (request.headers['x-expect-instance'] !== this.id) {
      response.writeHead(421, { 'x-not-executed': '1' }).end();
      return;
    }
    const isItem = request.url?.startsWith('/items/') ?? false;
    this.#runCounts.increment(id, request.headers, { isItem });
    this.arrivalsMs.push(performance.now());
    if (this.limitPerSecond !== undefined) response.setHeader('server-limit', this.limitPerSecond);
    response.setHeader('x-server-stamp', `${this.id}.${id}`);
    if (isItem) {
      const isFaulty = () =>
        this.responseFault !== 'none' && Math.random() < EVENT_FAULT_PROBABILITY;
      this.#itemRuns.begin(id);
      this.#itemRuns.end(id, await streamEvents(request, response, id, body, isFaulty));
      return;
    }
    await sleepMs(REQUEST_DURATION_MS);
    const isFaulty = Math.random() < RESPONSE_FAULT_PROBABILITY;
    sendResponse(response, `answer of ${id}`, isFaulty ? this.responseFault : 'none');
  }
}
