import { newId } from '../../src/shared/random.ts';
import { sleepMs } from '../standIns/standInServer.ts';
import type { OpenBatch } from './itemRuns.ts';
import { ACCOUNT_NAMES, type AccountName, randomAccount } from './soakAccounts.ts';
import { call, HOST, type SoakDeployment, type SoakNode } from './soakDeployment.ts';
import { eventText } from './soakWorker.ts';

const GROUPS_PER_BATCH = 5;

const ITEMS_PER_GROUP = 2;

/** Maximum number of groups of a batch that were in an ended one. */
const MAX_REPEATED_GROUPS = 2;

/** Probability that an item takes seconds. With more of them, workers are half full, and items may wait. */
const LONG_ITEM_PROBABILITY = 0.1;

/** Share of the batches that are ended before they are complete, and their age then, in ms. */
const ENDED_SHARE = 0.3;
const ENDED_AFTER_MS = 1500;

/** Items that share a prompt, as their number of events by item ID. */
type ItemGroup = ReadonlyMap<string, number>;

/** A batch that a node has accepted. */
interface AcceptedBatch {
  readonly id: string;
  readonly groups: readonly ItemGroup[];
  /** Number of events of each item, by item ID. */
  readonly eventCounts: ItemGroup;
  readonly account: AccountName;
  readonly acceptedMs: number;
  /** ID and state of the results read so far, by position, as text. */
  readonly seenResults: string[];
  /** Whether the batch is to be ended before it is complete. */
  readonly endsEarly: boolean;
  /** Whether a node was asked to end it. */
  isEnded: boolean;
}

interface ResultsBody {
  readonly total: number;
  readonly results: readonly {
    readonly id: string;
    readonly state: string;
    readonly text: string;
  }[];
}

const drawEventCount = (): number =>
  Math.random() < LONG_ITEM_PROBABILITY
    ? 150 + Math.floor(Math.random() * 200)
    : 5 + Math.floor(Math.random() * 40);

const missingItems = ({ eventCounts, seenResults }: AcceptedBatch): string[] => {
  const seen = new Set(seenResults.map((entry) => entry.split(' ')[0]));
  return [...eventCounts.keys()].filter((item) => !seen.has(item));
};

/** Submits, reads and ends batches, and checks their results. */
export class SoakBatches {
  readonly violations: string[] = [];

  readonly #accepted: AcceptedBatch[] = [];

  /** Incomplete groups of ended batches, by account. */
  readonly #incompleteGroups = new Map<AccountName, ItemGroup[]>();

  readonly #deployment: SoakDeployment;

  constructor(deployment: SoakDeployment) {
    this.#deployment = deployment;
  }

  get count(): number {
    return this.#accepted.length;
  }

  /** Batches with missing results that nobody has ended. */
  open(): readonly OpenBatch[] {
    return this.#accepted
      .filter(({ isEnded }) => !isEnded)
      .map((batch) => ({ ...batch, missingItems: missingItems(batch) }))
      .filter((batch) => batch.missingItems.length > 0);
  }

  /** Submits a batch, again and again until a node accepts it or `isStopped`. */
  async submit({
    isStopped = (): boolean => false,
    drawEvents = drawEventCount,
  } = {}): Promise<void> {
    const id = newId();
    const account = randomAccount();
    const repeated = this.#incompleteGroups.get(account)?.splice(0, MAX_REPEATED_GROUPS) ?? [];
    const added = Array.from({ length: GROUPS_PER_BATCH - repeated.length }, () => {
      const items = Array.from({ length: ITEMS_PER_GROUP }, () => [newId(), drawEvents()] as const);
      return new Map(items);
    });
    const groups: ItemGroup[] = [...repeated, ...added];
    const eventCounts = new Map(groups.flatMap((group) => [...group]));
    const body = JSON.stringify({
      ...{ step: 0, model: 'model', 'min-version': 0, desired: groups.length },
      items: groups.flatMap((group) =>
        [...group].map(([item, events]) => ({
          ...{ id: item, path: `/items/${item}`, group: [...group.keys()][0], tokens: events },
          headers: { 'x-model': 'model', 'x-token-counts': `1,${events}` },
          body: Buffer.from(JSON.stringify({ events })).toString('base64'),
        })),
      ),
    });
    for (const item of eventCounts.keys()) this.#deployment.runCounts.expectAccount(item, account);
    while (!isStopped()) {
      const { nodes, accounts } = this.#deployment;
      const node = nodes[Math.floor(Math.random() * nodes.length)];
      const headers = { host: HOST, 'x-request-id': id, ...accounts.keyHeaderOf(account) };
      const response =
        node?.process &&
        (await call(node.frontPort, { method: 'POST', url: '/batches/b', headers, body }));
      if (response?.statusCode === 202) {
        const acceptedMs = performance.now();
        const endsEarly = Math.random() < ENDED_SHARE;
        const batch = { id, groups, eventCounts, account, acceptedMs, endsEarly };
        this.#accepted.push({ ...batch, seenResults: [], isEnded: false });
        return;
      }
      // A node that has missed two revisions does not know the key.
      const isFinal = response !== undefined && response.statusCode < 429;
      if (isFinal && response.statusCode !== 401) {
        this.violations.push(`batch ${id} got status ${response.statusCode}`);
        return;
      }
      await sleepMs(200);
    }
  }

  /** Reads any of the batches. */
  async readAny(node: SoakNode): Promise<void> {
    const batch = this.#accepted[Math.floor(Math.random() * this.#accepted.length)];
    if (batch === undefined) return;
    await this.#readResults(node, batch, Math.random() < 0.3 ? 0 : batch.seenResults.length);
    const other = ACCOUNT_NAMES.find((name) => name !== batch.account) ?? batch.account;
    const headers = { host: HOST, ...this.#deployment.accounts.keyHeaderOf(other) };
    const response = await call(node.frontPort, { url: `/lots/${batch.id}`, headers });
    if (response?.statusCode === 200) this.violations.push(`${other} read batch ${batch.id}`);
  }

  /** Ends one of the batches before it is complete. Its incomplete groups are submitted again in another batch. */
  async endOne(node: SoakNode): Promise<void> {
    const longAgoMs = performance.now() - ENDED_AFTER_MS;
    const batch = this.#accepted.find(
      (each) =>
        each.endsEarly &&
        !each.isEnded &&
        each.acceptedMs < longAgoMs &&
        missingItems(each).length > 0,
    );
    if (batch === undefined) return;
    await this.#readResults(node, batch, batch.seenResults.length);
    const missing = missingItems(batch);
    if (missing.length === 0) return;
    batch.isEnded = true;
    const headers = { host: HOST, ...this.#deployment.accounts.keyHeaderOf(batch.account) };
    const url = `/lots/${batch.id}`;
    const response = await call(node.frontPort, { method: 'DELETE', url, headers });
    if (response?.statusCode !== 200) return;
    const incomplete = batch.groups.filter((group) => missing.some((item) => group.has(item)));
    const { account } = batch;
    this.#incompleteGroups.set(account, [
      ...(this.#incompleteGroups.get(account) ?? []),
      ...incomplete,
    ]);
  }

  /** Reads all batches to their end, after every fault has ended. */
  async checkRecovered(): Promise<void> {
    await Promise.all(this.#accepted.map((batch) => this.#readToEnd(batch)));
  }

  /** Reads results of a batch and compares them with the expected text and with earlier reads. */
  async #readResults(node: SoakNode, batch: AcceptedBatch, after: number): Promise<void> {
    const response = await call(node.frontPort, {
      url: `/lots/${batch.id}?after=${after}`,
      headers: { host: HOST, ...this.#deployment.accounts.keyHeaderOf(batch.account) },
    });
    if (response?.statusCode === 404) {
      this.violations.push(`${node.name} does not know batch ${batch.id}`);
    }
    if (response?.statusCode !== 200) return;
    const { total, results } = JSON.parse(response.body) as ResultsBody;
    const { seenResults } = batch;
    if (total !== batch.eventCounts.size) {
      this.violations.push(`batch ${batch.id} has total ${total}`);
    }
    results.forEach(({ id, state, text }, index) => {
      const position = after + index;
      const events = batch.eventCounts.get(id) ?? 0;
      const expectedText = Array.from({ length: events }, (_, at) => eventText(id, at + 1)).join(
        '\n',
      );
      if (state === 'completed' && text !== expectedText) {
        this.violations.push(
          `item ${id} has a text of length ${text.length} instead of ${expectedText.length}`,
        );
      }
      const previous = seenResults[position];
      const current = `${id} ${state}`;
      if (previous !== undefined && previous !== current) {
        this.violations.push(
          `position ${position} of ${batch.id} was "${previous}" and is now "${current}"`,
        );
      }
      if (position === seenResults.length) seenResults.push(current);
    });
  }

  /** Reads a batch to its end, from the nodes in rotation. An ended batch keeps the results that were read. */
  async #readToEnd(batch: AcceptedBatch): Promise<void> {
    const { nodes } = this.#deployment;
    const { isEnded, seenResults, eventCounts } = batch;
    if (isEnded) await Promise.all(nodes.map((node) => this.#readResults(node, batch, 0)));
    const isComplete = () => isEnded || seenResults.length >= eventCounts.size;
    for (let attempt = 0; attempt < 200 && !isComplete(); attempt += 1) {
      const node = nodes[attempt % nodes.length];
      if (node) await this.#readResults(node, batch, seenResults.length);
      await sleepMs(50);
    }
    const missing = missingItems(batch);
    if (!isEnded && missing.length > 0) {
      const found = eventCounts.size - missing.length;
      this.violations.push(
        `batch ${batch.id} has ${found} of ${eventCounts.size} results after recovery`,
      );
    }
  }
}
