/** Signals that this program handles. By default each of them ends a process of Node. */
const NAMES = ['SIGTERM', 'SIGINT', 'SIGHUP'] as const;

type SignalName = (typeof NAMES)[number];

/**
 * Receives the signals of a process from its construction on. A signal that arrives while the process starts waits for its
 * handler: a change of the settings must not end a node that is still waiting for the platform.
 */
export class ProcessSignals {
  readonly #handlers = new Map<SignalName, () => void>();

  readonly #pending = new Set<SignalName>();

  constructor() {
    for (const name of NAMES) process.on(name, () => this.#receive(name));
  }

  /** Sets the handler of a signal, and calls it if the signal has arrived already. */
  handle(name: SignalName, handler: () => void): void {
    this.#handlers.set(name, handler);
    if (this.#pending.delete(name)) handler();
  }

  #receive(name: SignalName): void {
    const handler = this.#handlers.get(name);
    if (handler === undefined) this.#pending.add(name);
    else handler();
  }
}
