import { create } from '@bufbuild/protobuf';
import { createValidator } from '@bufbuild/protovalidate';
import { TablesSchema } from '../../../src/gen/hyssoppulley/v1/tables_pb.ts';

/** Violations of tables with five faults, found by the expressions of the rules instead of the library's native rules. */
export const violationsOf = (): string[] => {
  const tables = create(TablesSchema, {
    routes: [
      {
        ...{ name: 'Not_A_Name', pool: 'desk', retryBudgetFraction: 7 },
        match: { pathPrefix: 'x' },
      },
    ],
    pools: [{ name: 'desk', objective: { trainerIdleWeight: -1 } }],
  });
  const validator = createValidator({ disableNativeRules: true });
  const { violations = [] } = validator.validate(TablesSchema, tables);
  return violations.map(({ ruleId, message }) => `${ruleId}: ${message}`);
};

if (process.argv[2] === 'print') console.log(JSON.stringify(violationsOf()));
