import { newId } from '../../src/shared/random.ts';
import {
  call,
  HOST,
  type CallAnswer,
  type SoakDeployment,
  type SoakNode,
} from './soakDeployment.ts';
import { eventText } from './soakWorker.ts';
import { sleepMs } from '../standIns/standInServer.ts';

const REQUEST_BUDGET_MS = 2000;

const ITEMS_PER_BATCH = 10;

/** A batch that a node has accepted. */
interface AcceptedBatch {
  readonly id: string;
  /** Events of each item. */
  readonly items: ReadonlyMap<string, number>;
  /** Results that were read, by position, as text. */
  readonly read: string[];
}

interface WireResults {
  readonly total: number;
  readonly results: readonly {
    readonly id: string;
    readonly state: string;
    readonly text: string;
  }[];
}

/** Callers and trainers that check what they see. */
export class SoakClients {
  readonly violations: string[] = [];

  answered = 0;

  /** Requests that were refused as not run. */
  readonly #refused = new Set<string>();

  readonly #accepted: AcceptedBatch[] = [];

  /** Newest revision that each process of a node has shown, by process id. */
  readonly #shown = new Map<number, number>();

  readonly #deployment: SoakDeployment;

  /** Nodes that are stopping in a planned way and under no other fault. */
  readonly #stopping: ReadonlySet<string>;

  #ended = false;

  constructor(deployment: SoakDeployment, stopping: ReadonlySet<string>) {
    this.#deployment = deployment;
    this.#stopping = stopping;
  }

  /** Sends requests and batches until `end`. */
  async run(): Promise<void> {
    await Promise.all([
      this.#repeat(30, (node) => this.#request(node, '/twice/')),
      this.#repeat(30, (node) => this.#request(node, '/once/')),
      this.#repeat(100, (node) => this.#probe(node)),
      this.#repeat(700, () => this.#batch()),
      this.#repeat(150, (node) => this.#readSome(node)),
    ]);
  }

  end(): void {
    this.#ended = true;
  }

  /** Checks what must hold once every fault has ended. */
  async checkRecovered(): Promise<void> {
    const { nodes, counts } = this.#deployment;
    for (const node of nodes) {
      const answer = await this.#request(node, '/twice/');
      if (answer?.statusCode !== 200) {
        this.#violate(`${node.name} answers ${answer?.statusCode} after the faults`);
      }
      const probe = await this.#probe(node);
      if (probe?.statusCode !== 200) this.#violate(`${node.name} lacks the newest route`);
    }
    for (const batch of this.#accepted) await this.#finish(batch);
    for (const id of this.#refused) {
      if (counts.of(id) > 0) this.#violate(`request ${id} was refused as not run and has run`);
    }
  }

  get batches(): number {
    return this.#accepted.length;
  }

  async #repeat(pauseMs: number, act: (node: SoakNode) => Promise<unknown>): Promise<void> {
    while (!this.#ended) {
      const { nodes } = this.#deployment;
      const node = nodes[Math.floor(Math.random() * nodes.length)];
      if (node?.process !== undefined) await act(node);
      await sleepMs(pauseMs);
    }
  }

  async #request(node: SoakNode, prefix: '/once/' | '/twice/'): Promise<CallAnswer | undefined> {
    const id = newId();
    const headers = { host: HOST, 'x-request-id': id, 'x-deadline-ms': String(REQUEST_BUDGET_MS) };
    const wasStopping = this.#stopping.has(node.name);
    const answer = await call(node.frontPort, { method: 'POST', url: `${prefix}${id}`, headers });
    const { counts } = this.#deployment;
    if (prefix === '/once/' && counts.of(id) > 1) this.#violate(`request ${id} ran twice`);
    if (answer === undefined) {
      // A closed listener refuses the connection, and then nothing has run.
      if (wasStopping && this.#stopping.has(node.name) && counts.of(id) > 0) {
        this.#violate(`${node.name} cut request ${id} off in a planned stop`);
      }
      return undefined;
    }
    const { statusCode, body } = answer;
    const stamp = String(answer.headers['x-server-stamp'] ?? '');
    if (statusCode === 200) {
      this.answered += 1;
      if (body !== `answer of ${id}` || !stamp.endsWith(`.${id}`)) {
        this.#violate(`request ${id} was answered "${body}" with stamp ${stamp}`);
      }
    } else if (statusCode === 503 || statusCode === 429) this.#refused.add(id);
    else if (statusCode < 500) this.#violate(`request ${id} was answered ${statusCode}`);
    return answer;
  }

  /** Asks for the newest route; a process that has shown a revision must not fall behind it. */
  async #probe(node: SoakNode): Promise<CallAnswer | undefined> {
    const pid = node.process?.child.pid ?? 0;
    const { revision } = this.#deployment;
    const answer = await call(node.frontPort, {
      url: `/r${revision}/${newId()}`,
      headers: { host: HOST, 'x-request-id': newId(), 'x-deadline-ms': '1000' },
      timeoutMs: 1500,
    });
    const shown = this.#shown.get(pid) ?? 0;
    if (answer?.statusCode === 200) this.#shown.set(pid, Math.max(shown, revision));
    if (answer?.statusCode === 404 && shown >= revision) {
      this.#violate(`${node.name} served revision ${shown} and refuses its route`);
    }
    return answer;
  }

  async #batch(): Promise<void> {
    const id = newId();
    const items = new Map(
      Array.from({ length: ITEMS_PER_BATCH }, () => [newId(), 5 + Math.floor(Math.random() * 40)]),
    );
    const body = JSON.stringify({
      ...{ step: 0, model: 'model', 'min-version': 0, desired: 1 },
      items: [...items].map(([item, events]) => ({
        ...{ id: item, path: `/items/${item}`, group: 'g', tokens: events },
        headers: { 'x-model': 'model', 'x-token-counts': `1,${events}` },
        body: Buffer.from(JSON.stringify({ events })).toString('base64'),
      })),
    });
    const headers = { host: HOST, 'x-request-id': id, 'content-type': 'application/json' };
    while (!this.#ended) {
      const { nodes } = this.#deployment;
      const node = nodes[Math.floor(Math.random() * nodes.length)];
      const answer =
        node?.process &&
        (await call(node.frontPort, { method: 'POST', url: '/batches/b', headers, body }));
      if (answer?.statusCode === 202) {
        this.#accepted.push({ id, items, read: [] });
        return;
      }
      if (answer !== undefined && answer.statusCode < 429) {
        this.#violate(`batch ${id} was answered ${answer.statusCode}`);
        return;
      }
      await sleepMs(200);
    }
  }

  async #readSome(node: SoakNode): Promise<void> {
    const batch = this.#accepted[Math.floor(Math.random() * this.#accepted.length)];
    if (batch !== undefined) {
      await this.#read(node, batch, Math.random() < 0.3 ? 0 : batch.read.length);
    }
  }

  /** Reads results and compares them with what was read before. */
  async #read(node: SoakNode, batch: AcceptedBatch, after: number): Promise<void> {
    const answer = await call(node.frontPort, {
      url: `/lots/${batch.id}?after=${after}`,
      headers: { host: HOST },
    });
    if (answer?.statusCode === 404) this.#violate(`${node.name} does not know batch ${batch.id}`);
    if (answer?.statusCode !== 200) return;
    const { total, results } = JSON.parse(answer.body) as WireResults;
    const { read } = batch;
    if (total !== batch.items.size) this.#violate(`batch ${batch.id} has total ${total}`);
    results.forEach(({ id, state, text }, index) => {
      const position = after + index;
      const events = batch.items.get(id) ?? 0;
      const whole = Array.from({ length: events }, (_, at) => eventText(id, at + 1)).join('\n');
      if (state === 'completed' && text !== whole) {
        this.#violate(`item ${id} has a text of ${text.length} instead of ${whole.length}`);
      }
      const before = read[position];
      const now = `${id} ${state}`;
      if (before !== undefined && before !== now) {
        this.#violate(`position ${position} of ${batch.id} was "${before}" and is "${now}"`);
      }
      if (position === read.length) read.push(now);
    });
  }

  /** Reads a batch to its end at changing nodes. */
  async #finish(batch: AcceptedBatch): Promise<void> {
    const { nodes } = this.#deployment;
    for (let attempt = 0; attempt < 200 && batch.read.length < batch.items.size; attempt += 1) {
      const node = nodes[attempt % nodes.length];
      if (node) await this.#read(node, batch, batch.read.length);
      await sleepMs(50);
    }
    const ids = new Set(batch.read.map((entry) => entry.split(' ')[0]));
    if (ids.size !== batch.items.size) {
      this.#violate(`batch ${batch.id} has ${ids.size} of ${batch.items.size} results in the end`);
    }
  }

  #violate(what: string): void {
    this.violations.push(what);
  }
}
