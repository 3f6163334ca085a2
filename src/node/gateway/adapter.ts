import type { OrderCalls } from '../weights/orderCalls.ts';
import type { ControlApi } from '../duties/controlCalls.ts';
import type { GenerationCalls } from '../batches/generationCalls.ts';
import type { PlatformObject } from '../platform/platformClient.ts';
import type { RequestMemory } from '../requestMemory/requestMemory.ts';
import type { RequestTracker } from '../requestTracker.ts';
import type { GatewayServices } from './gatewayServices.ts';
import type { GatewayTables } from './gatewayTables.ts';
import type { WorkerCalls } from './workerCalls.ts';
import type { DecodeWorker } from './workerRegistry.ts';

/** A kind of platform object that is written by others, with its decoder. */
export interface ExternalObjectKind<T> {
  /** Key prefix: the kind followed by a slash. */
  readonly prefix: string;
  /** Returns undefined when the object is not usable. */
  readonly decode: (object: PlatformObject) => T | undefined;
}

/** A published weight version of a model. */
export interface PublishedVersion {
  readonly model: string;
  readonly version: number;
}

/** The servers through which callers, trainers and the users' platform reach a node. */
export interface GatewayServers extends AsyncDisposable {
  listen(): Promise<void>;
  /** Stops accepting connections; requests in progress continue. */
  stopAccepting(): void;
  /** Answers the requests in progress, which a stopping node can no longer complete. */
  abortRequests(): void;
}

/** Connects a gateway to the platform it runs on. An adapter only translates; it makes no decisions. */
export interface GatewayAdapter {
  readonly tables: ExternalObjectKind<GatewayTables>;
  readonly workers: { readonly prefix: string; readonly decode: DecodeWorker };
  readonly publishedVersions: ExternalObjectKind<PublishedVersion>;
  readonly workerCalls: WorkerCalls;
  /** Name of the field by which an event of a stream tells that the weight version changes at it. */
  readonly eventVersionField: string;
  readonly generationCalls: GenerationCalls;
  readonly orderCalls: OrderCalls;
  /** The control API of the platform; absent where the settings name none. */
  readonly control?: ControlApi;
  readonly createServers: (
    services: GatewayServices,
    requests: RequestTracker,
    memory: RequestMemory,
  ) => GatewayServers;
}
