import { fromJson, type JsonValue, toJson } from '@bufbuild/protobuf';
import { BehaviorSubject, filter, type Observable } from 'rxjs';
import { type Tables, TablesSchema } from '../../gen/hyssoppulley/v1/tables_pb.ts';
import type { TablesView } from '../membership/membershipView.ts';
import type { Logger } from '../observability/logger.ts';
import type { PlatformClient } from '../platform/platformClient.ts';
import { type ResolvedTables, resolveTables } from '../tables/resolveTables.ts';

/** Key of the object that holds the accepted tables. */
export const HEAD_KEY = 'config/head';

/** Value of the object `config/head`. */
export interface ConfigurationHead {
  readonly accepted: {
    readonly revision: number;
    readonly operationId: string;
    readonly tables: JsonValue;
  };
}

/** The accepted configuration as this node knows it. */
export class Configuration implements TablesView {
  readonly #platform: PlatformClient;

  readonly #logger: Logger;

  readonly #current = new BehaviorSubject<ResolvedTables | undefined>(undefined);

  constructor(platform: PlatformClient, logger: Logger) {
    this.#platform = platform;
    this.#logger = logger;
  }

  readonly changes$: Observable<ResolvedTables> = this.#current.pipe(
    filter((tables) => tables !== undefined),
  );

  current(): ResolvedTables | undefined {
    return this.#current.value;
  }

  /** Takes a revision over when it is newer than the one in force. */
  adopt(source: Tables, revision: number): void {
    if (revision <= (this.current()?.revision ?? 0)) return;
    this.#current.next(resolveTables(source, revision));
    this.#logger.info('configuration-in-force', { revision });
  }

  /** Reads the accepted revision from the platform. */
  async refresh(): Promise<void> {
    const head = await this.#platform.read(HEAD_KEY);
    if (head === undefined) return;
    const { accepted } = head.value as ConfigurationHead;
    this.adopt(fromJson(TablesSchema, accepted.tables), accepted.revision);
  }

  /** Writes a new revision on top of the accepted one. */
  async accept(tables: Tables, operationId: string): Promise<number> {
    const head = await this.#platform.read(HEAD_KEY);
    const revision = ((head?.value as ConfigurationHead)?.accepted.revision ?? 0) + 1;
    const value = { accepted: { revision, operationId, tables: toJson(TablesSchema, tables) } };
    const result = await this.#platform.write(HEAD_KEY, value, {
      ifVersion: head?.version ?? 0,
      operationId,
    });
    if (result.status !== 'written') throw new Error(`write of the head: ${result.status}`);
    this.adopt(tables, revision);
    return revision;
  }
}
