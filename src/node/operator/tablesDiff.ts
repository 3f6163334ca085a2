import type { JsonValue } from '@bufbuild/protobuf';

/** Items of a list are found again by their name, so that a moved or inserted item changes nothing else. */
const stepOf = (item: JsonValue, index: number): string => {
  const named = item !== null && typeof item === 'object' && !Array.isArray(item) && item.name;
  return typeof named === 'string' ? `[${named}]` : `[${index}]`;
};

const flatten = (value: JsonValue, path: string, into: Map<string, string>): void => {
  if (Array.isArray(value)) {
    value.forEach((item, index) => flatten(item, `${path}${stepOf(item, index)}`, into));
  } else if (value !== null && typeof value === 'object') {
    for (const [key, item] of Object.entries(value)) {
      flatten(item, path ? `${path}.${key}` : key, into);
    }
  } else {
    into.set(path, JSON.stringify(value));
  }
};

const orderOf = (value: JsonValue): string[] => {
  const routes = (value as { routes?: { name?: string }[] }).routes ?? [];
  return routes.map(({ name }) => name ?? '');
};

/** Differences between two tables documents, one line each: `- removed`, `+ added`, `~ changed`. */
export const diffTables = (before: JsonValue, after: JsonValue): string[] => {
  const [old, next] = [new Map<string, string>(), new Map<string, string>()];
  flatten(before, '', old);
  flatten(after, '', next);
  const removed = [...old].filter(([path]) => !next.has(path)).map(([p, v]) => `- ${p}: ${v}`);
  const added = [...next].filter(([path]) => !old.has(path)).map(([p, v]) => `+ ${p}: ${v}`);
  const changed = [...next].flatMap(([path, value]) => {
    const previous = old.get(path);
    return previous !== undefined && previous !== value
      ? [`~ ${path}: ${previous} → ${value}`]
      : [];
  });
  const kept = (names: string[], others: string[]) => names.filter((name) => others.includes(name));
  const [orderBefore, orderAfter] = [orderOf(before), orderOf(after)];
  const reordered =
    kept(orderBefore, orderAfter).join() === kept(orderAfter, orderBefore).join()
      ? []
      : ['~ routes: tried in another order'];
  return [...removed, ...added, ...changed, ...reordered];
};
