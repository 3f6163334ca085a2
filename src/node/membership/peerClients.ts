import http from 'node:http';
import { type Client, createClient } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import { type NodeIdentity, PeerService } from '../../gen/hyssoppulley/v1/peer_pb.ts';

export type PeerClient = Client<typeof PeerService>;

/** Largest number of peers for which a client is kept; the least recently made is dropped first. */
const MAX_CLIENTS = 1024;

/** Makes and keeps one client for each peer incarnation. */
export class PeerClients implements Disposable {
  readonly #agent = new http.Agent({ keepAlive: true });

  readonly #timeoutMs: number;

  readonly #clients = new Map<string, PeerClient>();

  /** @param timeoutMs - time for one call, in ms */
  constructor(timeoutMs: number) {
    this.#timeoutMs = timeoutMs;
  }

  get(identity: Pick<NodeIdentity, 'host' | 'peerPort'>): PeerClient {
    const baseUrl = `http://${identity.host}:${identity.peerPort}`;
    const known = this.#clients.get(baseUrl);
    if (known) return known;
    const transport = createConnectTransport({
      baseUrl,
      httpVersion: '1.1',
      useBinaryFormat: true,
      defaultTimeoutMs: this.#timeoutMs,
      nodeOptions: { agent: this.#agent },
    });
    const client = createClient(PeerService, transport);
    const [oldest] = this.#clients.keys();
    if (this.#clients.size >= MAX_CLIENTS && oldest !== undefined) this.#clients.delete(oldest);
    this.#clients.set(baseUrl, client);
    return client;
  }

  [Symbol.dispose](): void {
    this.#agent.destroy();
  }
}
