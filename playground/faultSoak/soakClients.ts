import { newId } from '../../src/shared/random.ts';
import {
  call,
  HOST,
  type CallResponse,
  type SoakDeployment,
  type SoakNode,
} from './soakDeployment.ts';
import { ACCOUNT_NAMES, type AccountName } from './soakAccounts.ts';
import { eventText } from './soakWorker.ts';
import { sleepMs } from '../standIns/standInServer.ts';

const REQUEST_DEADLINE_MS = 2000;

const ITEMS_PER_BATCH = 10;

/** A batch that a node has accepted. */
interface AcceptedBatch {
  readonly id: string;
  /** Number of events of each item, by item ID. */
  readonly eventCounts: ReadonlyMap<string, number>;
  readonly account: AccountName;
  /** ID and state of the results read so far, by position, as text. */
  readonly seenResults: string[];
}

interface ResultsBody {
  readonly total: number;
  readonly results: readonly {
    readonly id: string;
    readonly state: string;
    readonly text: string;
  }[];
}

const randomAccount = (): AccountName => ACCOUNT_NAMES[Math.random() < 0.5 ? 0 : 1];

/** Sends requests and batches to the nodes and checks the responses. */
export class SoakClients {
  readonly violations: string[] = [];

  answered = 0;

  /** Requests by revoked keys that were answered with 401. */
  refusedKeys = 0;

  /** Requests that were refused with a status that says that they did not run. */
  readonly #refusedRequests = new Set<string>();

  readonly #acceptedBatches: AcceptedBatch[] = [];

  /** Newest revision whose route each node process has served, by process ID. */
  readonly #servedRevisions = new Map<number, number>();

  readonly #deployment: SoakDeployment;

  /** Nodes in a planned stop during which no other fault has begun. */
  readonly #stoppingNodes: ReadonlySet<string>;

  #isStopped = false;

  constructor(deployment: SoakDeployment, stoppingNodes: ReadonlySet<string>) {
    this.#deployment = deployment;
    this.#stoppingNodes = stoppingNodes;
  }

  /** Sends requests and batches until `stop` is called. */
  async run(): Promise<void> {
    await Promise.all([
      this.#repeatUntilStopped(30, (node) => this.#sendRequest(node, '/twice/')),
      this.#repeatUntilStopped(30, (node) => this.#sendRequest(node, '/once/')),
      this.#repeatUntilStopped(100, (node) => this.#sendRevokedKey(node)),
      this.#repeatUntilStopped(100, (node) => this.#probeNewestRoute(node)),
      this.#repeatUntilStopped(700, () => this.#submitBatch()),
      this.#repeatUntilStopped(150, (node) => this.#readRandomBatch(node)),
    ]);
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Checks the state that must be reached after every fault has ended. */
  async checkRecovered(): Promise<void> {
    const { nodes, runCounts } = this.#deployment;
    for (const node of nodes) {
      const response = await this.#sendRequest(node, '/twice/');
      if (response?.statusCode !== 200) {
        this.#report(`${node.name} responded with status ${response?.statusCode} after the faults`);
      }
      const probe = await this.#probeNewestRoute(node);
      if (probe?.statusCode !== 200) this.#report(`${node.name} does not serve the newest route`);
    }
    for (const batch of this.#acceptedBatches) await this.#readToEnd(batch);
    this.violations.push(...runCounts.violations);
    for (const id of this.#refusedRequests) {
      if (runCounts.get(id) > 0) this.#report(`request ${id} was refused as not run but ran`);
    }
  }

  get batches(): number {
    return this.#acceptedBatches.length;
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
      ...this.#keyOf(account),
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

  #keyOf(account: AccountName) {
    return { 'x-key': this.#deployment.accounts.currentKey(account) };
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

  async #submitBatch(): Promise<void> {
    const id = newId();
    const account = randomAccount();
    const eventCounts = new Map(
      Array.from({ length: ITEMS_PER_BATCH }, () => [newId(), 5 + Math.floor(Math.random() * 40)]),
    );
    const body = JSON.stringify({
      ...{ step: 0, model: 'model', 'min-version': 0, desired: 1 },
      items: [...eventCounts].map(([item, events]) => ({
        ...{ id: item, path: `/items/${item}`, group: 'g', tokens: events },
        headers: { 'x-model': 'model', 'x-token-counts': `1,${events}` },
        body: Buffer.from(JSON.stringify({ events })).toString('base64'),
      })),
    });
    for (const item of eventCounts.keys()) this.#deployment.runCounts.expectAccount(item, account);
    while (!this.#isStopped) {
      const { nodes } = this.#deployment;
      const node = nodes[Math.floor(Math.random() * nodes.length)];
      const headers = { host: HOST, 'x-request-id': id, ...this.#keyOf(account) };
      const response =
        node?.process &&
        (await call(node.frontPort, { method: 'POST', url: '/batches/b', headers, body }));
      if (response?.statusCode === 202) {
        this.#acceptedBatches.push({ id, eventCounts, account, seenResults: [] });
        return;
      }
      // A node that has missed two revisions does not know the key.
      const isFinal = response !== undefined && response.statusCode < 429;
      if (isFinal && response.statusCode !== 401) {
        this.#report(`batch ${id} got status ${response.statusCode}`);
        return;
      }
      await sleepMs(200);
    }
  }

  async #readRandomBatch(node: SoakNode): Promise<void> {
    const batch = this.#acceptedBatches[Math.floor(Math.random() * this.#acceptedBatches.length)];
    if (batch === undefined) return;
    await this.#readResults(node, batch, Math.random() < 0.3 ? 0 : batch.seenResults.length);
    const other = ACCOUNT_NAMES.find((name) => name !== batch.account) ?? batch.account;
    const headers = { host: HOST, ...this.#keyOf(other) };
    const response = await call(node.frontPort, { url: `/lots/${batch.id}`, headers });
    if (response?.statusCode === 200) this.#report(`${other} read batch ${batch.id}`);
  }

  /** Reads results of a batch and compares them with the expected text and with earlier reads. */
  async #readResults(node: SoakNode, batch: AcceptedBatch, after: number): Promise<void> {
    const response = await call(node.frontPort, {
      url: `/lots/${batch.id}?after=${after}`,
      headers: { host: HOST, ...this.#keyOf(batch.account) },
    });
    if (response?.statusCode === 404) this.#report(`${node.name} does not know batch ${batch.id}`);
    if (response?.statusCode !== 200) return;
    const { total, results } = JSON.parse(response.body) as ResultsBody;
    const { seenResults } = batch;
    if (total !== batch.eventCounts.size) this.#report(`batch ${batch.id} has total ${total}`);
    results.forEach(({ id, state, text }, index) => {
      const position = after + index;
      const events = batch.eventCounts.get(id) ?? 0;
      const expectedText = Array.from({ length: events }, (_, at) => eventText(id, at + 1)).join(
        '\n',
      );
      if (state === 'completed' && text !== expectedText) {
        this.#report(
          `item ${id} has a text of length ${text.length} instead of ${expectedText.length}`,
        );
      }
      const previous = seenResults[position];
      const current = `${id} ${state}`;
      if (previous !== undefined && previous !== current) {
        this.#report(
          `position ${position} of ${batch.id} was "${previous}" and is now "${current}"`,
        );
      }
      if (position === seenResults.length) seenResults.push(current);
    });
  }

  /** Reads a batch to its end, from the nodes in rotation. */
  async #readToEnd(batch: AcceptedBatch): Promise<void> {
    const { nodes } = this.#deployment;
    for (
      let attempt = 0;
      attempt < 200 && batch.seenResults.length < batch.eventCounts.size;
      attempt += 1
    ) {
      const node = nodes[attempt % nodes.length];
      if (node) await this.#readResults(node, batch, batch.seenResults.length);
      await sleepMs(50);
    }
    const ids = new Set(batch.seenResults.map((entry) => entry.split(' ')[0]));
    if (ids.size !== batch.eventCounts.size) {
      this.#report(
        `batch ${batch.id} has ${ids.size} of ${batch.eventCounts.size} results after recovery`,
      );
    }
  }

  #report(violation: string): void {
    this.violations.push(violation);
  }
}
