import { test } from 'node:test';
import { createContextValues, type HandlerContext, type Client } from '@connectrpc/connect';
import { create } from '@bufbuild/protobuf';
import { expect } from 'earl';
import { InMemoryPlatform } from '../../../../playground/inMemoryPlatform.ts';
import { NodeIdentitySchema } from '../../../gen/hyssoppulley/v1/peer_pb.ts';
import {
  RelayChangesRequestSchema,
  type RelayService,
  RelaySnapshotRequestSchema,
} from '../../../gen/hyssoppulley/v1/relay_pb.ts';
import { sleep } from '../../../shared/clock.ts';
import { seededRandom } from '../../../shared/random.ts';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import type { Peer } from '../../membership/membershipView.ts';
import { silentLogger } from '../../observability/logger.ts';
import type { PlatformObjects } from '../../platform/platformClient.ts';
import type { GatewayTables } from '../gatewayTables.ts';
import { PlatformFollowers } from '../platformFollowers.ts';
import { TablesCatchUp } from '../tablesCatchUp.ts';
import { TablesFollower } from '../tablesFollower.ts';

const PREFIX = 'config/';

const MAX_WAIT_MS = 1000;

const NAMES = ['relay-1', 'relay-2', 'small-1', 'small-2'];

const identityOf = (name: string) =>
  create(NodeIdentitySchema, {
    ...{ name, incarnation: name, host: name },
    capacityMillicores: name.startsWith('relay') ? 1000 : 100,
  });

const context = { values: createContextValues() } as HandlerContext;

/** Nodes that follow the tables of one platform, two of them as relays. Faults are set by the name of a node. */
class Deployment implements AsyncDisposable {
  readonly clock = new VirtualClock();

  readonly platform = new InMemoryPlatform();

  /** Nodes that get no answer from the platform. */
  readonly cutOff = new Set<string>();

  /** Nodes whose calls to the platform stay without any response, also those in progress. */
  readonly silenced = new Set<string>();

  /** Nodes whose calls from other nodes fail, although nobody suspects them yet. */
  readonly unreachable = new Set<string>();

  readonly nodes = new Map(NAMES.map((name) => [name, this.#startNode(name)]));

  /** Writes tables of a revision; returns their version at the platform. */
  async write(revision: number): Promise<number> {
    await this.platform.write('config/main', { revision, routes: [], pools: new Map() });
    return this.platform.objects.get('config/main')?.version ?? 0;
  }

  async start(names = NAMES): Promise<void> {
    const started = Promise.all(names.map((name) => this.node(name).tables.start()));
    await this.clock.advanceAsync(2000);
    await started;
  }

  node(name: string) {
    const node = this.nodes.get(name);
    if (node === undefined) throw new Error(`no node ${name}`);
    return node;
  }

  revisionOf(name: string): number | undefined {
    return this.node(name).tables.tables?.revision;
  }

  /** Lets a node hear by heartbeats for a time that a peer has tables of a version. */
  async hearFor(name: string, peer: string, acceptedRevision: number, forMs: number) {
    for (let passedMs = 0; passedMs < forMs; passedMs += 250) {
      this.node(name).catchUp.peerAhead({ identity: identityOf(peer), acceptedRevision });
      await this.clock.advanceAsync(250);
    }
  }

  [Symbol.asyncDispose](): Promise<void> {
    for (const { tables } of this.nodes.values()) tables[Symbol.dispose]();
    return Promise.resolve();
  }

  #startNode(name: string) {
    const { clock, platform } = this;
    const common = { clock, random: seededRandom(1), logger: silentLogger };
    const reach = async <T>(call: () => Promise<T>): Promise<T> => {
      if (!this.cutOff.has(name)) return call();
      await sleep(clock, 50);
      throw new Error('refused by the platform');
    };
    const followers = new PlatformFollowers({
      ...common,
      platform: {
        snapshot: (prefix: string) => reach(() => platform.snapshot(prefix)),
        changesSince: (...call: Parameters<PlatformObjects['changesSince']>) =>
          reach(() => Promise.race([platform.changesSince(...call), this.#emptyAfter(name, call)])),
      } as unknown as PlatformObjects,
      platformLost: () => this.cutOff.has(name),
      view: () => ({
        ...{ self: identityOf(name), leaving: false },
        peers: () =>
          NAMES.filter((other) => other !== name).map(
            (other) =>
              ({
                ...{ identity: identityOf(other), leaving: false },
                suspected: false,
                platformLost: this.cutOff.has(other),
              }) as Peer,
          ),
      }),
      client: ({ host }) => this.#clientOf(host),
    });
    const tables = new TablesFollower({
      ...{ logger: silentLogger, followers, onChange: () => {}, maxWaitMs: MAX_WAIT_MS },
      kind: { prefix: PREFIX, decode: ({ value }) => value as GatewayTables },
    });
    const catchUp = new TablesCatchUp({
      ...{ clock, logger: silentLogger, tables },
      adoptFrom: (peer, minVersion) => followers.adoptFrom(peer, PREFIX, minVersion),
    });
    return { followers, tables, catchUp };
  }

  async #emptyAfter(
    name: string,
    [, version, { waitMs, signal }]: Parameters<PlatformObjects['changesSince']>,
  ) {
    await sleep(this.clock, waitMs);
    if (this.silenced.has(name)) await sleep(this.clock, Infinity, signal);
    return { events: [], version };
  }

  #clientOf(host: string): Client<typeof RelayService> {
    const handlers = () => {
      if (this.unreachable.has(host)) throw new Error('not reached');
      return this.node(host).followers.handlers();
    };
    return {
      snapshot: async (request: object) =>
        handlers().snapshot(create(RelaySnapshotRequestSchema, request), context),
      changes: async (request: object) =>
        handlers().changes(create(RelayChangesRequestSchema, request), context),
      advanced: () => Promise.resolve({}),
    } as unknown as Client<typeof RelayService>;
  }
}

// Guards against a node that keeps revoked keys because the platform refuses it, although its relays have the change.
test('a node that the platform refuses gets new tables through the relays', async () => {
  await using deployment = new Deployment();
  await deployment.write(1);
  await deployment.start();
  deployment.cutOff.add('small-1');
  await deployment.write(2);
  await deployment.clock.advanceAsync(2000);
  expect(deployment.revisionOf('small-1')).toEqual(2);
  expect(deployment.node('small-1').tables.ageMs).toBeLessThanOrEqual(2000);
});

// Guards against the same when it reaches no relay either, but a peer that is none has the change.
test('a node that reaches neither platform nor relays gets new tables from the peer whose heartbeat tells of them', async () => {
  await using deployment = new Deployment();
  await deployment.write(1);
  await deployment.start();
  deployment.cutOff.add('small-1');
  deployment.unreachable.add('relay-1').add('relay-2');
  await deployment.clock.advanceAsync(3000);
  const version = await deployment.write(2);
  await deployment.clock.advanceAsync(3000);
  expect([deployment.revisionOf('small-1'), deployment.revisionOf('small-2')]).toEqual([1, 2]);
  await deployment.hearFor('small-1', 'small-2', version, 1000);
  expect(deployment.revisionOf('small-1')).toEqual(2);
  expect(deployment.node('small-1').tables.connected).toEqual(false);
});

// Guards against a node that restarts while it is cut off and serves nothing although other nodes have the tables, or
// that serves by tables which it made up.
test('a node that starts while it is cut off gets its tables from a relay or a peer, or has none', async () => {
  for (const [unreachable, expected] of [
    [[], 1],
    [['relay-1', 'relay-2'], 1],
    [['relay-1', 'relay-2', 'small-2'], undefined],
  ] as const) {
    await using deployment = new Deployment();
    const version = await deployment.write(1);
    await deployment.start(['relay-1', 'relay-2', 'small-2']);
    deployment.cutOff.add('small-1');
    for (const name of unreachable) deployment.unreachable.add(name);
    await deployment.start(['small-1']);
    await deployment.hearFor('small-1', 'small-2', version, 1500);
    expect(deployment.revisionOf('small-1')).toEqual(expected);
  }
});

// Guards against a node that takes old tables for current because a relay that is cut off itself confirms them.
test('tables count as old as the relay that confirms them knows them', async () => {
  await using deployment = new Deployment();
  await deployment.write(1);
  await deployment.start();
  await deployment.clock.advanceAsync(10_000);
  const { tables } = deployment.node('small-1');
  let oldestMs = 0;
  for (let passedMs = 0; passedMs < 5000; passedMs += 50) {
    oldestMs = Math.max(oldestMs, tables.ageMs);
    await deployment.clock.advanceAsync(50);
  }
  expect(oldestMs).toBeLessThanOrEqual(2 * MAX_WAIT_MS + 100);
  for (const name of NAMES) deployment.silenced.add(name);
  const cutOff = deployment.clock.monotonicMs();
  for (let passedMs = 0; passedMs < 6000; passedMs += 50) {
    await deployment.clock.advanceAsync(50);
    const sinceCutOffMs = deployment.clock.monotonicMs() - cutOff;
    expect(tables.ageMs).toBeGreaterThanOrEqual(sinceCutOffMs - 100);
  }
});

// Guards against a deployment of which every node reads the tables again at each heartbeat, because a version is rejected.
test('tables that were rejected are not asked for again', async () => {
  await using deployment = new Deployment();
  await deployment.write(2);
  await deployment.start();
  const version = await deployment.write(1);
  await deployment.clock.advanceAsync(1000);
  expect(deployment.revisionOf('relay-1')).toEqual(2);
  const { callCount } = deployment.platform;
  await deployment.hearFor('relay-1', 'small-2', version, 1000);
  expect(deployment.platform.callCount - callCount).toBeLessThanOrEqual(4);
});
