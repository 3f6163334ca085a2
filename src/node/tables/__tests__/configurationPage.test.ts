import { readFile } from 'node:fs/promises';
import { test } from 'node:test';
import type { DescMessage } from '@bufbuild/protobuf';
import { expect } from 'earl';
import { NodeSettingsSchema } from '../../../gen/hyssoppulley/v1/settings_pb.ts';
import { TablesSchema } from '../../../gen/hyssoppulley/v1/tables_pb.ts';

const PAGE = new URL('../../../../docs/configuration.md', import.meta.url);

const leafNames = (desc: DescMessage): string[] =>
  desc.fields.flatMap((field) => (field.message ? leafNames(field.message) : [field.jsonName]));

// Guards against a field that operators can set but that the configuration page does not explain.
test('the configuration page names every field of tables and settings', async () => {
  const page = await readFile(PAGE, 'utf8');
  const fields = [...leafNames(TablesSchema), ...leafNames(NodeSettingsSchema)];
  expect(fields.filter((name) => !new RegExp(`\\b${name}\\b`).test(page))).toEqual([]);
});
