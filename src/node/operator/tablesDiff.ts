import type { JsonValue } from '@bufbuild/protobuf';

/** Path segment of a list item: its name if it has one, so that moving or inserting an item leaves the others alone. */
const pathSegment = (item: JsonValue, index: number): string => {
  const name = item !== null && typeof item === 'object' && !Array.isArray(item) && item.name;
  return typeof name === 'string' ? `[${name}]` : `[${index}]`;
};

const flatten = (value: JsonValue, path: string, leaves: Map<string, string>): void => {
  if (Array.isArray(value)) {
    value.forEach((item, index) => flatten(item, `${path}${pathSegment(item, index)}`, leaves));
  } else if (value !== null && typeof value === 'object') {
    for (const [key, item] of Object.entries(value)) {
      flatten(item, path ? `${path}.${key}` : key, leaves);
    }
  } else {
    leaves.set(path, JSON.stringify(value));
  }
};

const routeNames = (value: JsonValue): string[] => {
  const routes = (value as { routes?: { name?: string }[] }).routes ?? [];
  return routes.map(({ name }) => name ?? '');
};

/** Lists the differences between two tables documents, one line per value: `-` removed, `+` added, `~` changed. */
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
  const common = (names: string[], others: string[]) =>
    names.filter((name) => others.includes(name));
  const [orderBefore, orderAfter] = [routeNames(before), routeNames(after)];
  const reordered =
    common(orderBefore, orderAfter).join() === common(orderAfter, orderBefore).join()
      ? []
      : ['~ routes: order changed'];
  return [...removed, ...added, ...changed, ...reordered];
};
