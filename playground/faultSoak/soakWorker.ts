import http from 'node:http';
import type { AddressInfo } from 'node:net';
import type { RunCounts } from './runCounts.ts';
import { sleepMs } from '../standIns/standInServer.ts';

/** Time of one plain request, in ms. */
const WORK_MS = 15;

/** Time between two events of a generation, in ms. */
const EVENT_MS = 12;

/** What a worker does with the answers of requests that it ran. */
export type AnswerFault = 'none' | 'lost' | 'half' | 'extra' | 'failed';

/** Share of the answers, and of the events of generations, that a fault meets. */
const FAULT_SHARE = 0.3;
const EVENT_FAULT_SHARE = 0.05;

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
  isFaulty: () => boolean,
): Promise<void> => {
  response.writeHead(200, { 'content-type': 'text/event-stream', 'x-weight-versions': '1' });
  const total = eventsOf(body);
  const after = Number(request.headers['last-event-id'] ?? 0);
  for (let number = after + 1; number <= total && !response.destroyed; number += 1) {
    await sleepMs(EVENT_MS);
    if (isFaulty()) {
      response.write(`id: ${number}\ndata: ha`);
      response.destroy();
      return;
    }
    response.write(`id: ${number}\ndata: ${eventText(id, number)}\n\n`);
  }
  response.end();
};

/** Ends an answer as a fault has it. */
const endAnswer = (response: http.ServerResponse, answer: string, fault: AnswerFault): void => {
  const { socket } = response;
  if (fault === 'lost') response.destroy();
  else if (fault === 'failed') response.writeHead(500).end();
  else if (fault === 'half') {
    response.writeHead(200, { 'content-length': answer.length });
    response.write(answer.slice(0, 8), () => response.destroy());
  } else {
    response.end(answer);
    if (fault === 'extra') {
      response.once('finish', () => socket?.write('HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx'));
    }
  }
};

/** A worker by the platform's protocol: a plain service and a model engine in one. */
export class SoakWorker implements AsyncDisposable {
  readonly id: string;

  answerFault: AnswerFault = 'none';

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
    if (request.url?.startsWith('/items/')) {
      const isFaulty = () => this.answerFault !== 'none' && Math.random() < EVENT_FAULT_SHARE;
      await generate(request, response, id, body, isFaulty);
      return;
    }
    await sleepMs(WORK_MS);
    const isFaulty = Math.random() < FAULT_SHARE;
    endAnswer(response, `answer of ${id}`, isFaulty ? this.answerFault : 'none');
  }
}
