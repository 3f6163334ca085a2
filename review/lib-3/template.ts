/** Value at a dotted path; a number selects an entry of a list. */
const valueAt = (fields: unknown, path: string): unknown =>
  path
    .split('.')
    .reduce<unknown>(
      (value, key) =>
        typeof value === 'object' && value !== null
          ? (value as Record<string, unknown>)[key]
          : undefined,
      fields,
    );

const toText = (value: unknown): string => {
  if (value === undefined || value === null) return '';
  if (Array.isArray(value)) return value.join(',');
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
};

/** Fills in a settings template as the platform does, as far as the templates in `deploy/` use its language. */
export const renderTemplate = (template: string, fields: unknown): string =>
  template
    .replaceAll(/\{\{#([\w.-]+)\}\}(.*?)\{\{\/\1\}\}/gs, (_, path: string, section: string) => {
      const list = valueAt(fields, path);
      const entries = Array.isArray(list) ? (list as unknown[]) : [];
      return entries
        .map((entry, index) =>
          section
            .replaceAll('{{.}}', toText(entry))
            .replaceAll('{{,}}', index < entries.length - 1 ? ',' : ''),
        )
        .join('');
    })
    .replaceAll(/\{\{([\w.-]+)\}\}/g, (_, path: string) => toText(valueAt(fields, path)));
