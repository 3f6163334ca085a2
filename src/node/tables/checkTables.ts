import type { Tables } from '../../gen/hyssoppulley/v1/tables_pb.ts';
import type { DocumentFault } from '../settings/documentError.ts';

const duplicates = (names: readonly string[], path: (index: number) => string): DocumentFault[] => {
  const seen = new Set<string>();
  return names.flatMap((name, index) => {
    if (!seen.has(name)) {
      seen.add(name);
      return [];
    }
    return [{ path: path(index), found: `"${name}" a second time`, allowed: 'a name used once' }];
  });
};

/** Checks what the schema's rules cannot express: names that join the tables, and names that must differ. */
export const checkTables = (tables: Tables): DocumentFault[] => {
  const poolNames = tables.pools.map((pool) => pool.name);
  const known = poolNames.length > 0 ? `one of ${poolNames.join(', ')}` : 'the name of a pool';
  const poolFault = (path: string, name: string): DocumentFault[] =>
    poolNames.includes(name)
      ? []
      : [{ path, found: `"${name}", which no pool has`, allowed: known }];

  return [
    ...duplicates(
      tables.routes.map((route) => route.name),
      (index) => `routes[${index}].name`,
    ),
    ...duplicates(poolNames, (index) => `pools[${index}].name`),
    ...tables.routes.flatMap((route, index) => [
      ...poolFault(`routes[${index}].pool`, route.pool),
      ...(route.job?.scorerPool
        ? poolFault(`routes[${index}].job.scorerPool`, route.job.scorerPool)
        : []),
    ]),
    ...duplicates(
      tables.routes.flatMap((route) => (route.job ? [route.job.name] : [])),
      () => 'routes[].job.name',
    ),
    ...tables.pools.flatMap((pool, index) => [
      ...(pool.workers.length > 0 && pool.fromVmList
        ? [
            {
              path: `pools[${index}]`,
              found: 'both workers and fromVmList',
              allowed: 'one of them',
            },
          ]
        : []),
      ...duplicates(
        pool.workers.map((worker) => worker.name),
        (worker) => `pools[${index}].workers[${worker}].name`,
      ),
    ]),
  ];
};
