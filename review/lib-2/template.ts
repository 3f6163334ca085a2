type Fields = Readonly<Record<string, unknown>>;

interface Scope {
  readonly fields: Fields;
  readonly current?: unknown;
  readonly isLast?: boolean;
}

const isTable = (value: unknown): value is Fields =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

const lookUp = (name: string, { fields, current }: Scope): unknown => {
  if (name === '.') return current;
  return name.split('.').reduce<unknown>((value, part) => {
    if (Array.isArray(value)) return (value as unknown[])[Number(part)];
    return isTable(value) ? value[part] : undefined;
  }, fields);
};

const toText = (value: unknown): string => {
  if (value === undefined || value === null) return '';
  if (Array.isArray(value)) return value.map(String).join(',');
  return isTable(value) ? JSON.stringify(value) : String(value);
};

const SECTION = /\{\{#([\w.-]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g;

const PLACEHOLDER = /\{\{([\w.-]+|,)\}\}/g;

const fill = (text: string, scope: Scope): string =>
  text.replaceAll(PLACEHOLDER, (_all, name: string) => {
    if (name === ',') return scope.isLast === true ? '' : ',';
    return toText(lookUp(name, scope));
  });

/** Fills in a template of settings as the platform does, as far as the project's templates need it. */
export const renderTemplate = (template: string, fields: Fields): string => {
  const withoutSections = template.replaceAll(SECTION, (_all, name: string, inner: string) => {
    const value = lookUp(name, { fields });
    const entries = Array.isArray(value) ? (value as unknown[]) : [];
    return entries
      .map((current, index) =>
        fill(inner, { fields, current, isLast: index === entries.length - 1 }),
      )
      .join('');
  });
  return fill(withoutSections, { fields });
};
