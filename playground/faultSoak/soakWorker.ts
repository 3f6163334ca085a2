import http from 'node:http';
import type { AddressInfo } from 'node:net';
import type { RunCounts } from './runCounts.ts';
import { sleepMs } from '../standIns/standInServer.ts';

/** Time of one plain request, in ms. */
const WORK_MS = 15;

/** Time between two events of a generation, in ms. */
const EVENT_MS = 12;

/** Text of an event; the whole text of an item follows from its id and length. */
export const eventText = (item: string, number: number): string => `${item}-${number}`;

/** Number of events of an item, by its body. */
export const eventsOf = (body: string): number => Number(JSON.parse(body).events);

const readAll = async (request: http.IncomingMessage): Promise<string> => {
  const chunks: Buffer[] = [];
  for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
};

/** Streams the events of an item, from the one after `last-event-id` on. */
const generate = async (
  request: http.IncomingMessage,
  response: http.ServerResponse,
  id: string,
  body: string,
): Promise<void> => {
  response.writeHead(200, { 'content-type': 'text/event-stream', 'x-weight-versions': '1' });
  const total = eventsOf(body);
  const after = Number(request.headers['last-event-id'] ?? 0);
  for (let number = after + 1; number <= total && !response.destroyed; number += 1) {
    await sleepMs(EVENT_MS);
    response.write(`id: ${number}\ndata: ${eventText(id, number)}\n\n`);
  }
  response.end();
};

/** A worker by the platform's protocol: a plain service and a model engine in one. */
export class SoakWorker implements AsyncDisposable {
  readonly id: string;

  readonly #counts: RunCounts;

  readonly #server: http.Server;

  constructor(id: string, counts: RunCounts) {
    this.id = id;
    this.#counts = counts;
    this.#server = http.createServer((request, response) => {
      this.#answer(request, response).catch(() => response.destroy());
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

  async #answer(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const body = await readAll(request);
    if (request.url === '/report') {
      const models = [{ name: 'model', version: 1 }];
      response.end(JSON.stringify({ busy: false, sequence: 0, born: 1, models }));
      return;
    }
    const id = String(request.headers['x-request-id']);
    response.setHeader('x-request-id', id);
    if (request.headers['x-expect-instance'] !== this.id) {
      response.writeHead(421, { 'x-not-executed': '1' }).end();
      return;
    }
    this.#counts.add(id);
    response.setHeader('x-server-stamp', `${this.id}.${id}`);
    if (request.url?.startsWith('/items/')) await generate(request, response, id, body);
    else {
      await sleepMs(WORK_MS);
      response.end(`answer of ${id}`);
    }
  }
}
