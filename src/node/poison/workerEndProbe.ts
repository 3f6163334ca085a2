import net from 'node:net';
import type { Clock } from '../../shared/clock.ts';
import { parseWorkerAddress } from '../dataPath/workerAddress.ts';

/** Time limit of a probe, in ms. An ended process refuses within a round trip. */
const PROBE_TIMEOUT_MS = 150;

/** Time for which the result of a probe holds, in ms: the requests of an ended worker break within a few ms. */
const RESULT_TTL_MS = 200;

/** Finds out whether a worker that broke off a request has ended, by whether its address refuses connections. */
export class WorkerEndProbe {
  readonly #clock: Clock;

  readonly #results = new Map<string, Promise<boolean>>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Whether nothing listens at the address. False also when nothing answers there. */
  hasEnded(address: string): Promise<boolean> {
    const known = this.#results.get(address);
    if (known) return known;
    const result = this.#probe(address);
    this.#results.set(address, result);
    this.#clock.schedule(RESULT_TTL_MS, () => this.#results.delete(address));
    return result;
  }

  #probe(address: string): Promise<boolean> {
    return new Promise((resolve) => {
      const socket = net.connect(parseWorkerAddress(address));
      const timer = this.#clock.schedule(PROBE_TIMEOUT_MS, () => socket.destroy());
      socket.once('connect', () => socket.destroy());
      socket.once('error', (error: NodeJS.ErrnoException) =>
        resolve(error.code === 'ECONNREFUSED'),
      );
      socket.once('close', () => {
        timer[Symbol.dispose]();
        resolve(false);
      });
    });
  }
}
