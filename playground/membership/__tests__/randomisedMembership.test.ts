import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { POOL, Simulation } from '../simulation.ts';

const WORKER = '10.0.0.7:8000';

/** Maximum time from the first sign that a worker is leaving until no node sends new work to it, in ms. */
const SIGN_BOUND_MS = 4000;

const fault = fc.record({
  kind: fc.constantFrom('kill', 'restart', 'pause', 'resume', 'cut', 'heal', 'outage', 'recovery'),
  node: fc.nat(6),
  other: fc.nat(6),
  waitMs: fc.integer({ min: 0, max: 4000 }),
});

type Fault = typeof fault extends fc.Arbitrary<infer T> ? T : never;

const applyFault = async (simulation: Simulation, { kind, node, other }: Fault) => {
  const { ports, nodes, platform, cutLinks } = simulation;
  const port = ports[node] as number;
  const process = nodes.get(port);
  if (kind === 'kill') simulation.kill(port);
  if (kind === 'restart') await simulation.startNode(port);
  if (kind === 'pause' && process) process.clock.paused = true;
  if (kind === 'resume') process?.clock.resume();
  if (kind === 'cut') simulation.cutLink(port, ports[other] as number);
  if (kind === 'heal') cutLinks.clear();
  if (kind === 'outage' || kind === 'recovery') platform.outage = kind === 'outage';
};

/** Throws if a node has returned to an earlier incarnation of a peer. */
const checkNoRevival = (simulation: Simulation, seen: Map<string, number>) => {
  for (const { membership } of simulation.nodes.values()) {
    for (const { identity } of membership.peers()) {
      const key = `${membership.self.incarnation}>${identity.name}`;
      const before = seen.get(key) ?? 0;
      if (identity.generation < before) throw new Error(`${key} revived an earlier incarnation`);
      seen.set(key, identity.generation);
    }
  }
};

const healAll = async (simulation: Simulation) => {
  const { faults, cutLinks, platform, ports, nodes } = simulation;
  Object.assign(faults, { lossFraction: 0, duplicateFraction: 0 });
  cutLinks.clear();
  platform.outage = false;
  for (const { clock } of nodes.values()) clock.resume();
  for (const port of ports) if (!nodes.has(port)) await simulation.startNode(port);
};

const expectConverged = (simulation: Simulation) => {
  for (const { membership, name } of simulation.nodes.values()) {
    expect([name, membership.mayServe()]).toEqual([name, true]);
    const peers = membership.peers().map(({ identity, suspected }) => ({
      incarnation: identity.incarnation,
      suspected,
    }));
    const others = [...simulation.nodes.values()]
      .filter((other) => other.name !== name)
      .map((other) => ({ incarnation: other.membership.self.incarnation, suspected: false }));
    const order = (items: typeof peers) => items.map((item) => JSON.stringify(item)).sort();
    expect(order(peers)).toEqual(order(others));
  }
};

// Guards against membership views that stay wrong or return to a replaced process after message loss, pauses and
// partitions.
test('membership views converge after faults and never return to an old incarnation', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.integer({ min: 1, max: 2 ** 31 }),
      fc.array(fault, { minLength: 3, maxLength: 14 }),
      async (seed, faults) => {
        const simulation = new Simulation({ seed, nodeCount: 7 });
        await simulation.start();
        Object.assign(simulation.faults, {
          lossFraction: 0.2,
          duplicateFraction: 0.1,
          maxDelayMs: 700,
        });
        const seen = new Map<string, number>();
        for (const next of faults) {
          await applyFault(simulation, next);
          await simulation.clock.advanceAsync(next.waitMs);
          checkNoRevival(simulation, seen);
        }
        await healAll(simulation);
        await simulation.clock.advanceAsync(15_000);
        checkNoRevival(simulation, seen);
        expectConverged(simulation);
      },
    ),
    { seed: 20_261_204, numRuns: 25 },
  );
});

/** Seeds of the simulations in the following tests. */
const SEEDS = [1, 2, 3, 5, 8, 13, 21, 34];

/** Returns whether any node suspects a peer at any time during 20 s in which two nodes cannot reach each other. */
const suspectsAcrossCut = async (seed: number, dropGossip: boolean): Promise<boolean> => {
  const simulation = new Simulation({ seed, nodeCount: 6, dropGossip });
  await simulation.start();
  await simulation.clock.advanceAsync(5000);
  simulation.cutLink(simulation.ports[0] as number, simulation.ports[1] as number);
  simulation.faults.lossFraction = 0.05;
  let suspected = false;
  for (let step = 0; step < 80; step += 1) {
    await simulation.clock.advanceAsync(250);
    const views = [...simulation.nodes.values()].flatMap(({ membership }) => membership.peers());
    suspected ||= views.some((peer) => peer.suspected);
  }
  return suspected;
};

// Guards against removing a live node because a single peer cannot reach it. The run without gossip shows that the test
// detects this fault.
test('a peer that other nodes can reach is not suspected; without gossip it is', async () => {
  for (const seed of SEEDS) {
    expect([seed, await suspectsAcrossCut(seed, false)]).toEqual([seed, false]);
    expect([seed, await suspectsAcrossCut(seed, true)]).toEqual([seed, true]);
  }
});

// Guards against a dead node that stays listed: every other node must suspect it within 4 s, also in deployments where
// a node exchanges heartbeats with only a few of its peers.
test('every node suspects a killed node within 4 s in deployments of 2, 7 and 40 nodes', async () => {
  for (const nodeCount of [2, 7, 40]) {
    const simulation = new Simulation({ seed: nodeCount, nodeCount });
    await simulation.start();
    await simulation.clock.advanceAsync(10_000);
    const views = () =>
      [...simulation.nodes.values()].flatMap(({ membership }) => membership.peers());
    expect(views().filter(({ suspected }) => suspected)).toEqual([]);
    expect(views().length).toEqual(nodeCount * (nodeCount - 1));
    const killed = simulation.ports[1] as number;
    simulation.kill(killed);
    await simulation.clock.advanceAsync(4000);
    const unaware = views().filter((peer) => peer.identity.peerPort === killed && !peer.suspected);
    expect([nodeCount, unaware.length]).toEqual([nodeCount, 0]);
    const mistaken = views().filter((peer) => peer.identity.peerPort !== killed && peer.suspected);
    expect([nodeCount, mistaken.length]).toEqual([nodeCount, 0]);
  }
});

type FirstSign = 'vm-list' | 'load-report' | 'drain';

/** Returns the time in ms from the first sign that a worker is leaving until the last node stops offering it. */
const longestUseAfterSign = async (seed: number, sign: FirstSign, vmListOnly: boolean) => {
  const workers = [WORKER, '10.0.0.8:8000'];
  const simulation = new Simulation({ seed, nodeCount: 7, workers, dropWorkerSigns: vmListOnly });
  const vm = { name: 'vm-7', address: '10.0.0.7', label: 'lm', availabilityZone: 'a' };
  simulation.platform.vms = [{ ...vm, state: 'live' }];
  await simulation.start();
  await simulation.clock.advanceAsync(6000);
  Object.assign(simulation.faults, { lossFraction: 0.2, duplicateFraction: 0.1, maxDelayMs: 300 });
  const offering = () =>
    [...simulation.nodes.values()].filter(({ membership }) =>
      membership.workersOf(POOL).some(({ address }) => address === WORKER),
    ).length;
  const [observer] = [...simulation.nodes.values()];
  if (sign === 'vm-list') simulation.platform.vms = [{ ...vm, state: 'leaving' }];
  else if (sign === 'drain') void observer?.membership.setDrain('worker', WORKER, true);
  else if (!vmListOnly) observer?.membership.reportWorkerState(WORKER, 'leaving');
  let sinceSignMs = -1;
  let longestMs = 0;
  for (let step = 0; step < 100; step += 1) {
    await simulation.clock.advanceAsync(100);
    const count = offering();
    if (sinceSignMs >= 0) sinceSignMs += 100;
    else if (count < 7 || sign === 'load-report') sinceSignMs = 0;
    if (count > 0) longestMs = Math.max(longestMs, sinceSignMs);
  }
  expect(sinceSignMs).toBeGreaterThan(0);
  return longestMs;
};

// Guards against new work for a leaving worker more than 4 s after any node received the first sign of it, from any
// source. The run with the VM list alone shows that the test detects this fault.
test('no node offers a leaving worker 4 s after the first sign; with the VM list alone it takes longer', async () => {
  const longestWithoutSignsMs = { 'vm-list': 0, 'load-report': 0 };
  for (const seed of SEEDS) {
    for (const sign of ['vm-list', 'load-report', 'drain'] as const) {
      expect(await longestUseAfterSign(seed, sign, false)).toBeLessThanOrEqual(SIGN_BOUND_MS);
    }
    for (const sign of ['vm-list', 'load-report'] as const) {
      const withoutSignsMs = await longestUseAfterSign(seed, sign, true);
      longestWithoutSignsMs[sign] = Math.max(longestWithoutSignsMs[sign], withoutSignsMs);
    }
  }
  expect(longestWithoutSignsMs['vm-list']).toBeGreaterThan(SIGN_BOUND_MS);
  expect(longestWithoutSignsMs['load-report']).toBeGreaterThan(SIGN_BOUND_MS);
});

// Guards against heartbeats whose size grows with the deployment or with the number of changes.
test('heartbeats stay below 1.5 KiB while all of 60 nodes restart', async () => {
  const simulation = new Simulation({ seed: 4, nodeCount: 60 });
  await simulation.start();
  for (const port of simulation.ports) await simulation.startNode(port);
  await simulation.clock.advanceAsync(5000);
  expect(simulation.largestMessageBytes).toBeLessThan(1536);
});
