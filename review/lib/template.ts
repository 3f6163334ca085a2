type Fields = Readonly<Record<string, unknown>>;

const valueOf = (fields: Fields, name: string): unknown =>
  name
    .split('.')
    .reduce<unknown>((value, key) => (value as Record<string, unknown> | undefined)?.[key], fields);

/** Fills in a template of the deploy file: values and lists of plain values, all that the project's templates use. */
export const fillTemplate = (template: string, fields: Fields): string =>
  template
    .replaceAll(/\{\{#([\w-]+)\}\}(.*?)\{\{\/\1\}\}/gs, (_, name: string, inner: string) => {
      const list = valueOf(fields, name) as readonly unknown[];
      return list
        .map((entry, index) =>
          inner
            .replaceAll('{{.}}', String(entry))
            .replaceAll('{{,}}', index < list.length - 1 ? ',' : ''),
        )
        .join('');
    })
    .replaceAll(/\{\{([\w.-]+)\}\}/g, (_, name: string) => String(valueOf(fields, name) ?? ''));
