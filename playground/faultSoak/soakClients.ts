import { newId } from '../../src/shared/random.ts';
import {
  call,
  HOST,
  type CallResponse,
  type SoakDeployment,
  type SoakNode,
} from './soakDeployment.ts';
import { randomAccount } from './soakAccounts.ts';
import type { SoakBatches } from './soakBatches.ts';
import { sleepMs } from '../standIns/standInServer.ts';

const REQUEST_DEADLINE_MS = 2000;

/** Number of attempts at an idempotent request, which clients repeat after any failure. */
const MAX_ATTEMPTS = 3;

/** Repeats a request that was not answered with 200. A 404 is final: the node does not have the route. */
const retry = async (
  send: () => Promise<CallResponse | undefined>,
): Promise<CallResponse | undefined> => {
  let response: CallResponse | undefined;
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    response = await send();
    if (response?.statusCode === 200 || response?.statusCode === 404) break;
  }
  return response;
};

/** Sends requests to the nodes, and batches beside them, and checks the responses. */
export class SoakClients {
  readonly violations: string[] = [];

  answered = 0;

  /** Requests by revoked keys that were answered with 401. */
  refusedKeys = 0;

  /** Requests that were refused with a status that says that they did not run. */
  readonly #refusedRequests = new Set<string>();

  /** Newest revision whose route each node process has served, by process ID. */
  readonly #servedRevisions = new Map<number, number>();

  readonly #deployment: SoakDeployment;

  readonly #batches: SoakBatches;

  /** Nodes in a planned stop during which no other fault has begun. */
  readonly #stoppingNodes: ReadonlySet<string>;

  #isStopped = false;

  constructor(
    deployment: SoakDeployment,
    batches: SoakBatches,
    stoppingNodes: ReadonlySet<string>,
  ) {
    this.#deployment = deployment;
    this.#batches = batches;
    this.#stoppingNodes = stoppingNodes;
  }

  /** Sends requests and batches until `stop` is called. */
  async run(): Promise<void> {
    await Promise.all([
      this.#repeatUntilStopped(30, (node) => this.#sendRequest(node, '/twice/')),
      this.#repeatUntilStopped(30, (node) => this.#sendRequest(node, '/once/')),
      this.#repeatUntilStopped(100, (node) => this.#sendRevokedKey(node)),
      this.#repeatUntilStopped(100, (node) => this.#probeNewestRoute(node)),
      this.#repeatUntilStopped(700, () =>
        this.#batches.submit({ isStopped: () => this.#isStopped }),
      ),
      this.#repeatUntilStopped(150, (node) => this.#batches.readAny(node)),
      this.#repeatUntilStopped(500, (node) => this.#batches.endOne(node)),
    ]);
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Checks the state that must be reached after every fault has ended. */
  async checkRecovered(): Promise<void> {
    const { nodes, runCounts } = this.#deployment;
    for (const node of nodes) {
      const response = await retry(() => this.#sendRequest(node, '/twice/'));
      if (response?.statusCode !== 200) {
        this.#report(`${node.name} responded with status ${response?.statusCode} after the faults`);
      }
      const probe = await retry(() => this.#probeNewestRoute(node));
      if (probe?.statusCode !== 200) {
        this.#report(`${node.name} answered the newest route with ${probe?.statusCode}`);
      }
    }
    await this.#batches.checkRecovered();
    this.violations.push(...runCounts.violations);
    for (const id of this.#refusedRequests) {
      if (runCounts.get(id) > 0) this.#report(`request ${id} was refused as not run but ran`);
    }
  }

  async #repeatUntilStopped(
    pauseMs: number,
    action: (node: SoakNode) => Promise<unknown>,
  ): Promise<void> {
    while (!this.#isStopped) {
      const { nodes } = this.#deployment;
      const node = nodes[Math.floor(Math.random() * nodes.length)];
      if (node?.process !== undefined) await action(node);
      await sleepMs(pauseMs);
    }
  }

  async #sendRequest(
    node: SoakNode,
    prefix: '/once/' | '/twice/',
  ): Promise<CallResponse | undefined> {
    const id = newId();
    const account = randomAccount();
    this.#deployment.runCounts.expectAccount(id, account);
    const headers = {
      host: HOST,
      ...this.#deployment.accounts.keyHeaderOf(account),
      'x-tenant': 'chosen by the client',
      'x-request-id': id,
      'x-deadline-ms': String(REQUEST_DEADLINE_MS),
    };
    const wasStopping = this.#stoppingNodes.has(node.name);
    const response = await call(node.frontPort, { method: 'POST', url: `${prefix}${id}`, headers });
    const { runCounts } = this.#deployment;
    if (prefix === '/once/' && runCounts.get(id) > 1) this.#report(`request ${id} ran twice`);
    if (response === undefined) {
      // In a planned stop the closed listener may refuse a connection; such a request has not run.
      if (wasStopping && this.#stoppingNodes.has(node.name) && runCounts.get(id) > 0) {
        this.#report(`${node.name} aborted request ${id} in a planned stop`);
      }
      return undefined;
    }
    const { statusCode, body } = response;
    const stamp = String(response.headers['x-server-stamp'] ?? '');
    if (statusCode === 200) {
      this.answered += 1;
      if (body !== `answer of ${id}` || !stamp.endsWith(`.${id}`)) {
        this.#report(`request ${id} got the response "${body}" with stamp ${stamp}`);
      }
    } else if (statusCode === 503 || statusCode === 429 || statusCode === 401) {
      this.#refusedRequests.add(id);
    } else if (statusCode < 500) this.#report(`request ${id} got status ${statusCode}`);
    return response;
  }

  /** Sends a request by a key that was revoked long ago. Nobody may run it, whatever the node has missed. */
  async #sendRevokedKey(node: SoakNode): Promise<void> {
    const id = newId();
    const { accounts, runCounts } = this.#deployment;
    const key = accounts.revokedKey(randomAccount());
    const headers = { host: HOST, 'x-key': key, 'x-request-id': id, 'x-deadline-ms': '1000' };
    const response = await call(node.frontPort, { method: 'POST', url: `/once/${id}`, headers });
    if (response?.statusCode === 401) this.refusedKeys += 1;
    if (runCounts.get(id) > 0 || response?.statusCode === 200) {
      this.#report(`${node.name} ran request ${id} by ${key}, which was revoked long before`);
    }
  }

  /** Requests the newest route. A process that has served a revision must not return to an older one. */
  async #probeNewestRoute(node: SoakNode): Promise<CallResponse | undefined> {
    const pid = node.process?.child.pid ?? 0;
    const { revision, runCounts } = this.#deployment;
    const id = newId();
    runCounts.expectAccount(id, '');
    const response = await call(node.frontPort, {
      url: `/r${revision}/${newId()}`,
      headers: { host: HOST, 'x-request-id': id, 'x-deadline-ms': '1000' },
      timeoutMs: 1500,
    });
    const served = this.#servedRevisions.get(pid) ?? 0;
    if (response?.statusCode === 200) this.#servedRevisions.set(pid, Math.max(served, revision));
    if (response?.statusCode === 404 && served >= revision) {
      this.#report(`${node.name} served revision ${served} but no longer serves its routes`);
    }
    return response;
  }

  #report(violation: string): void {
    this.violations.push(violation);
  }
}
