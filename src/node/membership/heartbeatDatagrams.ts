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
import type { Random } from '../../shared/random.ts';
import type { Logger } from '../observability/logger.ts';
import type { HeartbeatTarget, SendHeartbeat } from './heartbeats.ts';

/** Largest datagram, in bytes: with IP and UDP headers it fits an Ethernet frame, so that none is fragmented. */
const MAX_DATAGRAM_BYTES = 1400;

/** Time without an answer after which a datagram is sent again, in ms: over one round trip between distant regions. */
const RESEND_AFTER_MS = 150;

/** Time without an answer after which a call is made instead, in ms: a network may drop every datagram. */
const CALL_FALLBACK_AFTER_MS = 350;

/** One more than the largest sequence number. */
const SEQUENCE_LIMIT = 2 ** 32;

export interface HeartbeatDatagramsOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  /** Answers another node's heartbeat. */
  readonly answer: (request: HeartbeatRequest) => HeartbeatResponse;
  /** Makes a call, for what datagrams cannot carry. @param timeoutMs - time for the answer, in ms */
  readonly call: (
    target: HeartbeatTarget,
    request: HeartbeatRequest,
    timeoutMs: number,
  ) => Promise<HeartbeatResponse>;
  /** Time for one heartbeat, in ms. */
  readonly timeoutMs: number;
}

/** An exchange that waits for its answer. */
interface PendingExchange {
  readonly host: string;
  /** Undefined: a call is needed. */
  readonly settle: (response: HeartbeatResponse | undefined) => void;
}

const encode = (sequence: number, content: HeartbeatDatagram['content']): Uint8Array =>
  toBinary(HeartbeatDatagramSchema, create(HeartbeatDatagramSchema, { sequence, content }));

/**
 * Exchanges heartbeats as UDP datagrams. A heartbeat by HTTP costs both nodes five to seven times the processor time,
 * and a kept connection for each pair of nodes. What does not fit, and what gets no answer, goes as a call.
 */
export class HeartbeatDatagrams implements AsyncDisposable {
  readonly #options: HeartbeatDatagramsOptions;

  readonly #socket = dgram.createSocket('udp4');

  /** By sequence number. One for each peer at most, as a peer gets no second heartbeat before the first has ended. */
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

  /** @returns the port, which the kernel chooses for 0 */
  async listen({ host, port }: { readonly host: string; readonly port: number }): Promise<number> {
    this.#socket.bind(port, host);
    await once(this.#socket, 'listening');
    return this.#socket.address().port;
  }

  readonly send: SendHeartbeat = async (target, request) => {
    const { call, timeoutMs } = this.#options;
    const { datagramPort = 0 } = target;
    if (datagramPort === 0 || request.wantsAllPeers) return call(target, request, timeoutMs);
    this.#sequence = (this.#sequence + 1) % SEQUENCE_LIMIT;
    const sequence = this.#sequence;
    const bytes = encode(sequence, { case: 'request', value: request });
    if (bytes.length > MAX_DATAGRAM_BYTES) return call(target, request, timeoutMs);
    const response = await this.#exchange(sequence, bytes, target.host, datagramPort);
    return response ?? call(target, request, timeoutMs - CALL_FALLBACK_AFTER_MS);
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
      const response = this.#options.answer(content.value);
      const encoded = encode(sequence, { case: 'response', value: response });
      const answer =
        encoded.length > MAX_DATAGRAM_BYTES
          ? encode(sequence, { case: 'tooLarge', value: true })
          : encoded;
      this.#transmit(answer, from.port, from.address);
      return;
    }
    const pending = this.#pending.get(sequence);
    if (pending === undefined || pending.host !== from.address) return;
    pending.settle(content.case === 'response' ? content.value : undefined);
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

  /** A datagram that cannot be sent counts as lost. */
  #transmit(bytes: Uint8Array, port: number, host: string): void {
    this.#socket.send(bytes, port, host, (error) => {
      if (error === null) return;
      this.#options.logger.debug('datagram-not-sent', { to: host, message: error.message });
    });
  }
}
