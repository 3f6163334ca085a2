import {
  type Pool,
  Protocol,
  type Route,
  type Tables,
} from '../../gen/hyssoppulley/v1/tables_pb.ts';
import type { DocumentFault } from '../settings/documentError.ts';

const METHODS: ReadonlySet<string> = new Set([
  'GET',
  'HEAD',
  'POST',
  'PUT',
  'PATCH',
  'DELETE',
  'OPTIONS',
]);

/** Largest octet of an IPv4 address. */
const MAX_OCTET = 255;
const MAX_PORT = 65_535;

const findDuplicates = (
  names: readonly string[],
  path: (index: number) => string,
  allowed = 'a name used once',
): DocumentFault[] => {
  const seen = new Set<string>();
  return names.flatMap((name, index) => {
    if (!seen.has(name)) {
      seen.add(name);
      return [];
    }
    return [{ path: path(index), found: `"${name}" a second time`, allowed }];
  });
};

const checkAddress = (address: string, path: string): DocumentFault[] => {
  const [, host = '', port = ''] = /^(.*):(\d+)$/.exec(address) ?? [];
  const octets = host.startsWith('[') ? [] : host.split('.').map(Number);
  const isValid =
    octets.every((octet) => octet <= MAX_OCTET) && Number(port) >= 1 && Number(port) <= MAX_PORT;
  if (isValid) return [];
  const allowed = `an IP address with octets up to ${MAX_OCTET} and a port from 1 to ${MAX_PORT}`;
  return [{ path, found: `"${address}"`, allowed }];
};

const checkPool = (pool: Pool, path: string): DocumentFault[] => {
  const { workers, fromVmList, protocol, objective } = pool;
  const faults: DocumentFault[] = [
    ...findDuplicates(
      workers.map(({ name }) => name),
      (index) => `${path}.workers[${index}].name`,
    ),
    ...findDuplicates(
      workers.map(({ address }) => address),
      (index) => `${path}.workers[${index}].address`,
      'an address used once in the pool',
    ),
    ...workers.flatMap(({ address }, index) =>
      checkAddress(address, `${path}.workers[${index}].address`),
    ),
  ];
  if (workers.length > 0 && fromVmList) {
    faults.push({ path, found: 'both workers and fromVmList', allowed: 'one of them' });
  }
  const isPlainService = protocol === Protocol.PLAIN_SERVICE;
  for (const [field, value] of Object.entries({
    objective,
    rollout: pool.rollout,
    fencing: pool.fencing,
  })) {
    if (isPlainService && value) {
      const found = `${field} on a plain-service pool`;
      faults.push({ path: `${path}.${field}`, found, allowed: 'only on a model-engine pool' });
    }
  }
  if (objective && !(objective.trainerIdleWeight ?? 1) && !(objective.stalenessWeight ?? 1)) {
    const allowed = 'at least one weight above 0';
    faults.push({ path: `${path}.objective`, found: 'both weights set to 0', allowed });
  }
  return faults;
};

/** Checks a route for contradictions, without regard to the pools. */
const checkRoute = (route: Route, path: string): DocumentFault[] => {
  const faults: DocumentFault[] = [];
  const { job, match, idempotent, retryBudgetFraction } = route;
  if (idempotent === false && retryBudgetFraction !== undefined && retryBudgetFraction > 0) {
    const found = `retries (${retryBudgetFraction}) on a route with idempotent: false`;
    const allowed = '0 or no value: a non-idempotent request runs at most once';
    faults.push({ path: `${path}.retryBudgetFraction`, found, allowed });
  }
  if (idempotent === false && job) {
    const found = 'false on a route with a job';
    const allowed = 'true or no value: lost samples are generated again';
    faults.push({ path: `${path}.idempotent`, found, allowed });
  }
  match?.methods.forEach((method, index) => {
    if (METHODS.has(method)) return;
    const allowed = `one of ${[...METHODS].join(', ')}`;
    faults.push({ path: `${path}.match.methods[${index}]`, found: `"${method}"`, allowed });
  });
  for (const name of Object.keys(match?.headers ?? {})) {
    if (name !== name.toLowerCase()) {
      const allowed = `"${name.toLowerCase()}": header names in lower case`;
      faults.push({ path: `${path}.match.headers.${name}`, found: `"${name}"`, allowed });
    }
  }
  return faults;
};

/** Whether every request that `later` matches is already matched by `earlier`, which precedes it. */
const covers = (earlier: Route, later: Route): boolean => {
  const [first, second] = [earlier.match, later.match];
  if (!first || !second) return false;
  const includesAll = (all: readonly string[], some: readonly string[]) =>
    all.length === 0 || (some.length > 0 && some.every((item) => all.includes(item)));
  const prefix = (first.pathPrefix ?? '/').replace(/\/$/, '');
  const path = (second.pathPrefix ?? '/').replace(/\/$/, '');
  return (
    includesAll(first.callers, second.callers) &&
    includesAll(first.methods, second.methods) &&
    (path === prefix || path.startsWith(`${prefix}/`)) &&
    Object.entries(first.headers).every(([name, value]) => second.headers[name] === value)
  );
};

/**
 * Maximum number of routes that are checked for unreachable ones. Every pair of routes is compared; with more routes
 * that would block the event loop for over 50 ms.
 */
const MAX_COMPARED_ROUTES = 500;

/** Finds caller routes that no request can reach. */
const findUnreachable = (routes: readonly Route[]): DocumentFault[] => {
  if (routes.length > MAX_COMPARED_ROUTES) return [];
  const callerRoutes = routes.flatMap((route, index) => (route.job ? [] : [{ route, index }]));
  return callerRoutes.flatMap(({ route, index }, position) => {
    const earlier = callerRoutes.slice(0, position).find((other) => covers(other.route, route));
    if (!earlier) return [];
    const found = `a route whose requests are all matched by "${earlier.route.name}" before it`;
    const allowed = 'a narrower match in that route, or this route placed before it';
    return [{ path: `routes[${index}].match`, found, allowed }];
  });
};

const checkReferences = (routes: readonly Route[], pools: readonly Pool[]): DocumentFault[] => {
  const byName = new Map(pools.map((pool) => [pool.name, pool]));
  const allowedNames =
    byName.size > 0 ? `one of ${[...byName.keys()].join(', ')}` : 'the name of a pool';
  const checkReference = (name: string, path: string, protocol?: Protocol): DocumentFault[] => {
    const pool = byName.get(name);
    if (!pool) return [{ path, found: `unknown pool "${name}"`, allowed: allowedNames }];
    if (protocol === undefined || pool.protocol === protocol) return [];
    const kind = protocol === Protocol.MODEL_ENGINE ? 'model-engine' : 'plain-service';
    const found = `pool "${name}" with a different protocol`;
    return [{ path, found, allowed: `a pool with protocol ${kind}` }];
  };
  return routes.flatMap(({ pool, job }, index) => [
    ...checkReference(pool, `routes[${index}].pool`, job && Protocol.MODEL_ENGINE),
    ...(job?.scorerPool
      ? checkReference(job.scorerPool, `routes[${index}].job.scorerPool`, Protocol.PLAIN_SERVICE)
      : []),
  ]);
};

/**
 * Checks what the rules in the schema cannot express: references between the tables, and contradictions in an entry.
 */
export const checkTables = ({ routes, pools }: Tables): DocumentFault[] => {
  const jobs = routes.flatMap(({ job }, index) => (job ? [{ name: job.name, index }] : []));
  return [
    ...findDuplicates(
      routes.map(({ name }) => name),
      (index) => `routes[${index}].name`,
    ),
    ...findDuplicates(
      pools.map(({ name }) => name),
      (index) => `pools[${index}].name`,
    ),
    ...findDuplicates(
      jobs.map(({ name }) => name),
      (index) => `routes[${jobs[index]?.index}].job.name`,
    ),
    ...checkReferences(routes, pools),
    ...routes.flatMap((route, index) => checkRoute(route, `routes[${index}]`)),
    ...findUnreachable(routes),
    ...pools.flatMap((pool, index) => checkPool(pool, `pools[${index}]`)),
  ];
};
