import type { OrderCalls } from '../weights/orderCalls.ts';
import type { GenerationCalls } from '../batches/generationCalls.ts';
import type { PlatformObject } from '../platform/platformClient.ts';
import type { RequestTracker } from '../requestTracker.ts';
import type { GatewayServices } from './gatewayServices.ts';
import type { GatewayTables } from './gatewayTables.ts';
import type { WorkerCalls } from './workerCalls.ts';
import type { DecodeWorker } from './workerRegistry.ts';

/** A kind of objects that others write, and how to read one. */
export interface ExternalObjectKind<T> {
  /** Kind with a slash. */
  readonly prefix: string;
  /** Undefined when the object cannot be used. */
  readonly decode: (object: PlatformObject) => T | undefined;
}

/** A published weight version of a model. */
export interface PublishedVersion {
  readonly model: string;
  readonly version: number;
}

/** The servers by which callers, trainers and the users' platform reach a node. */
export interface GatewayServers extends AsyncDisposable {
  listen(): Promise<void>;
  /** Takes no new connections; requests in progress go on. */
  leave(): void;
}

/** What connects a gateway to the platform on which it runs. It translates and decides nothing. */
export interface GatewayAdapter {
  readonly tables: ExternalObjectKind<GatewayTables>;
  readonly workers: { readonly prefix: string; readonly decode: DecodeWorker };
  readonly publishedVersions: ExternalObjectKind<PublishedVersion>;
  readonly workerCalls: WorkerCalls;
  readonly generationCalls: GenerationCalls;
  readonly orderCalls: OrderCalls;
  readonly createServers: (services: GatewayServices, requests: RequestTracker) => GatewayServers;
}
