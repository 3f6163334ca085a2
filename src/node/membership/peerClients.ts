import http from 'node:http';
import { type Client, createClient } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import { DemandService } from '../../gen/hyssoppulley/v1/demand_pb.ts';
import { UsageService } from '../../gen/hyssoppulley/v1/usage_pb.ts';
import { BatchService } from '../../gen/hyssoppulley/v1/batch_pb.ts';
import { PermitService } from '../../gen/hyssoppulley/v1/permit_pb.ts';
import { PoisonService } from '../../gen/hyssoppulley/v1/poison_pb.ts';
import { RelayService } from '../../gen/hyssoppulley/v1/relay_pb.ts';
import { type NodeIdentity, PeerService } from '../../gen/hyssoppulley/v1/peer_pb.ts';

export type PeerClient = Client<typeof PeerService>;
export type BatchClient = Client<typeof BatchService>;

/** Address at which other nodes call a node. */
export type PeerAddress = Pick<NodeIdentity, 'host' | 'peerPort'>;

interface ServiceClients {
  readonly peer: PeerClient;
  readonly batch: BatchClient;
  readonly relay: Client<typeof RelayService>;
  readonly permits: Client<typeof PermitService>;
  readonly poison: Client<typeof PoisonService>;
  readonly usage: Client<typeof UsageService>;
  readonly demand: Client<typeof DemandService>;
}

/** Maximum number of addresses for which clients are cached; the oldest entry is dropped first. */
const MAX_CLIENTS = 1024;

/** Creates and caches RPC clients by peer address. */
export class PeerClients implements Disposable {
  readonly #agent = new http.Agent({ keepAlive: true });

  readonly #timeoutMs: number;

  readonly #clients = new Map<string, ServiceClients>();

  /** @param timeoutMs - default timeout per call, in ms */
  constructor(timeoutMs: number) {
    this.#timeoutMs = timeoutMs;
  }

  peer(address: PeerAddress): PeerClient {
    return this.#clientsFor(address).peer;
  }

  /** Client for calls about batches. */
  batch(address: PeerAddress): BatchClient {
    return this.#clientsFor(address).batch;
  }

  /** Client for following platform objects through a relay. */
  relay(address: PeerAddress): Client<typeof RelayService> {
    return this.#clientsFor(address).relay;
  }

  /** Client for permits for requests to workers with a request limit. */
  permits(address: PeerAddress): Client<typeof PermitService> {
    return this.#clientsFor(address).permits;
  }

  /** Client for exchanging under which requests workers have ended. */
  poison(address: PeerAddress): Client<typeof PoisonService> {
    return this.#clientsFor(address).poison;
  }

  /** Client for exchanging the numbers of requests that client accounts ran. */
  usage(address: PeerAddress): Client<typeof UsageService> {
    return this.#clientsFor(address).usage;
  }

  /** Client for reporting the work that waits for workers. */
  demand(address: PeerAddress): Client<typeof DemandService> {
    return this.#clientsFor(address).demand;
  }

  [Symbol.dispose](): void {
    this.#agent.destroy();
  }

  #clientsFor(address: PeerAddress): ServiceClients {
    const baseUrl = `http://${address.host}:${address.peerPort}`;
    const cached = this.#clients.get(baseUrl);
    if (cached) return cached;
    const transport = createConnectTransport({
      baseUrl,
      httpVersion: '1.1',
      useBinaryFormat: true,
      defaultTimeoutMs: this.#timeoutMs,
      nodeOptions: { agent: this.#agent },
    });
    const clients = {
      peer: createClient(PeerService, transport),
      batch: createClient(BatchService, transport),
      relay: createClient(RelayService, transport),
      permits: createClient(PermitService, transport),
      poison: createClient(PoisonService, transport),
      usage: createClient(UsageService, transport),
      demand: createClient(DemandService, transport),
    };
    const [oldest] = this.#clients.keys();
    if (this.#clients.size >= MAX_CLIENTS && oldest !== undefined) this.#clients.delete(oldest);
    this.#clients.set(baseUrl, clients);
    return clients;
  }
}
