import dgram, { type RemoteInfo } from 'node:dgram';
import { once } from 'node:events';
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import {
  type HeartbeatDatagram,
  HeartbeatDatagramSchema,
  type HeartbeatRequest,
  type HeartbeatResponse,
} from '../../gen/hyssoppulley/v1/peer_pb.ts';
import type { Clock } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import { reportViolation } from '../../shared/invariants.ts';
import type { Random } from '../../shared/random.ts';
import type { Logger } from '../observability/logger.ts';
import type { HeartbeatTarget, SendHeartbeat } from './heartbeats.ts';

/** Maximum datagram size, in bytes. With IP and UDP headers it fits an Ethernet frame, which avoids fragmentation. */
const MAX_DATAGRAM_BYTES = 1400;

/** Delay before an unanswered datagram is resent, in ms: more than one round trip between distant regions. */
const RESEND_AFTER_MS = 150;

/** Delay before an unanswered heartbeat falls back to HTTP, in ms; some networks drop every datagram. */
const CALL_FALLBACK_AFTER_MS = 350;

/** Exclusive upper bound of the sequence numbers, at which they wrap around to 0. */
const SEQUENCE_LIMIT = 2 ** 32;

export interface HeartbeatDatagramsOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  /** Handles another node's heartbeat. */
  readonly handleRequest: (request: HeartbeatRequest) => HeartbeatResponse;
  /** Sends a heartbeat by HTTP where a datagram cannot be used. @param timeoutMs - time for the response, in ms */
  readonly sendByHttp: (
    target: HeartbeatTarget,
    request: HeartbeatRequest,
    timeoutMs: number,
  ) => Promise<HeartbeatResponse>;
  /** Timeout for one heartbeat, including the fallback to HTTP, in ms. */
  readonly timeoutMs: number;
}

/** An exchange that waits for its response. */
interface PendingExchange {
  readonly host: string;
  /** Ends the exchange; with undefined, the heartbeat falls back to HTTP. */
  readonly settle: (response: HeartbeatResponse | undefined) => void;
}

const encode = (sequence: number, content: HeartbeatDatagram['content']): Uint8Array =>
  toBinary(HeartbeatDatagramSchema, create(HeartbeatDatagramSchema, { sequence, content }));

/**
 * Exchanges heartbeats as UDP datagrams. A heartbeat by HTTP costs both nodes five to seven times the CPU time, and a
 * kept-alive connection per pair of nodes. Messages that do not fit into a datagram, and heartbeats that get no
 * response, fall back to HTTP.
 */
export class HeartbeatDatagrams implements AsyncDisposable {
  readonly #options: HeartbeatDatagramsOptions;

  readonly #socket = dgram.createSocket('udp4');

  /**
   * Exchanges by sequence number. At most one per peer, as no second heartbeat is sent to a peer before the first has
   * ended.
   */
  readonly #pending = new Map<number, PendingExchange>();

  #sequence: number;

  constructor(options: HeartbeatDatagramsOptions) {
    this.#options = options;
    this.#sequence = Math.floor(options.random() * SEQUENCE_LIMIT);
    this.#socket.on('message', (bytes, from) => this.#receive(bytes, from));
    this.#socket.on('error', (error) =>
      options.logger.warn('datagram-socket-failed', { message: messageOf(error) }),
    );
  }

  /** @returns the bound port; for port 0 the kernel chooses one */
  async listen({ host, port }: { readonly host: string; readonly port: number }): Promise<number> {
    this.#socket.bind(port, host);
    await once(this.#socket, 'listening');
    return this.#socket.address().port;
  }

  readonly send: SendHeartbeat = async (target, request) => {
    const { sendByHttp, timeoutMs } = this.#options;
    const { datagramPort = 0 } = target;
    if (datagramPort === 0 || request.wantsAllPeers) return sendByHttp(target, request, timeoutMs);
    this.#sequence = (this.#sequence + 1) % SEQUENCE_LIMIT;
    const sequence = this.#sequence;
    const bytes = encode(sequence, { case: 'request', value: request });
    if (bytes.length > MAX_DATAGRAM_BYTES) return sendByHttp(target, request, timeoutMs);
    const response = await this.#exchange(sequence, bytes, target.host, datagramPort);
    return response ?? sendByHttp(target, request, timeoutMs - CALL_FALLBACK_AFTER_MS);
  };

  async [Symbol.asyncDispose](): Promise<void> {
    for (const { settle } of this.#pending.values()) settle(undefined);
    await new Promise<void>((resolve) => {
      this.#socket.close(() => resolve());
    });
  }

  #exchange(
    sequence: number,
    bytes: Uint8Array,
    host: string,
    port: number,
  ): Promise<HeartbeatResponse | undefined> {
    const { clock } = this.#options;
    return new Promise((resolve) => {
      const transmit = () => this.#transmit(bytes, port, host);
      const timers = [
        clock.schedule(RESEND_AFTER_MS, transmit),
        clock.schedule(CALL_FALLBACK_AFTER_MS, () =>
          this.#pending.get(sequence)?.settle(undefined),
        ),
      ];
      const settle = (response: HeartbeatResponse | undefined) => {
        for (const timer of timers) timer[Symbol.dispose]();
        this.#pending.delete(sequence);
        resolve(response);
      };
      this.#pending.set(sequence, { host, settle });
      transmit();
    });
  }

  #receive(bytes: Buffer, from: RemoteInfo): void {
    const datagram = this.#decode(bytes, from);
    if (datagram === undefined) return;
    const { sequence, content } = datagram;
    if (content.case === 'request') {
      const response = this.#options.handleRequest(content.value);
      const encoded = HeartbeatDatagrams.#encodeResponse(sequence, response);
      if (encoded !== undefined) this.#transmit(encoded, from.port, from.address);
      return;
    }
    const pending = this.#pending.get(sequence);
    if (pending === undefined || pending.host !== from.address) return;
    pending.settle(content.case === 'response' ? content.value : undefined);
  }

  /** Encodes a response; undefined for one that cannot be encoded, which is a fault of this program. */
  static #encodeResponse(sequence: number, response: HeartbeatResponse): Uint8Array | undefined {
    try {
      const encoded = encode(sequence, { case: 'response', value: response });
      return encoded.length > MAX_DATAGRAM_BYTES
        ? encode(sequence, { case: 'tooLarge', value: true })
        : encoded;
    } catch (error) {
      reportViolation('heartbeat-encodable', { message: messageOf(error) });
      return undefined;
    }
  }

  #decode(bytes: Buffer, { address }: RemoteInfo): HeartbeatDatagram | undefined {
    try {
      return fromBinary(HeartbeatDatagramSchema, bytes);
    } catch (error) {
      const { logger } = this.#options;
      logger.info('datagram-unreadable', { from: address, message: messageOf(error) });
      return undefined;
    }
  }

  /** Treats a datagram that cannot be sent as lost. */
  #transmit(bytes: Uint8Array, port: number, host: string): void {
    this.#socket.send(bytes, port, host, (error) => {
      if (error === null) return;
      this.#options.logger.debug('datagram-send-failed', { to: host, message: error.message });
    });
  }
}
