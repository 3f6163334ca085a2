import { readFile } from 'node:fs/promises';
import {
  type ControlSettings,
  type GatewaySettings,
  type NodeSettings,
  NodeSettingsSchema,
  type RequestMemorySettings,
} from '../../gen/hyssoppulley/v1/settings_pb.ts';
import { checkSettings } from './checkSettings.ts';
import { documentError } from './documentError.ts';
import { parseDocument } from './parseDocument.ts';

/** Settings of a node with all defaults applied. */
export type ResolvedSettings = ReturnType<typeof resolveSettings>;

const resolveControl = (control: ControlSettings | undefined) =>
  control === undefined || control.address === ''
    ? undefined
    : {
        address: control.address,
        duties: control.duties.split(',').filter((name) => name !== ''),
        callsPerSecond: control.callsPerSecond ?? 50,
        usageWindowMs: 1000 * (control.usageWindowS ?? 5),
        usageDueMs: 1000 * (control.usageDueS ?? 10),
      };

const toNumber = (value: bigint | undefined): number | undefined =>
  value === undefined ? undefined : Number(value);

/** The platform's control API, with all defaults applied; undefined where there is none. */
export type ResolvedControl = NonNullable<ReturnType<typeof resolveControl>>;

/** Limits on what callers make a node hold; undefined fields follow from its memory and descriptors. */
export const resolveRequestMemory = (limits?: RequestMemorySettings) => ({
  uploadBytes: toNumber(limits?.uploadBytes),
  responseBytes: toNumber(limits?.responseBytes),
  decodeBytes: toNumber(limits?.decodeBytes),
  minUploadBytesPerSecond: limits?.minUploadBytesPerSecond ?? 16_384,
  maxUploadWaitMs: limits?.maxUploadWaitMs ?? 10_000,
  maxConnections: limits?.maxConnections,
  maxConnectionsPerAddress: limits?.maxConnectionsPerAddress,
  maxPipelinedRequests: limits?.maxPipelinedRequests ?? 32,
});

const toMs = (seconds: number | undefined): number | undefined =>
  seconds === undefined ? undefined : Math.round(seconds * 1000);

const resolveGateway = (gateway: GatewaySettings) => ({
  frontAddress: gateway.frontAddress,
  readyAddress: gateway.readyAddress,
  directoryAddress: gateway.directoryAddress,
  peerAddress: gateway.peerAddress,
  capacityMillicores: Math.round(1000 * (gateway.cpuShare ?? 1) * (gateway.cores ?? 1)),
  maxValueBytes: gateway.maxValueBytes ?? 1_000_000,
  graceMs: gateway.graceMs ?? toMs(gateway.graceS) ?? 8000,
  directoryTtlMs: gateway.directoryTtlMs ?? 2000,
  orderLeaseMs: gateway.orderLeaseMs ?? 3000,
  ordersFenced: gateway.ordersFenced ?? false,
  resultRetentionMs: gateway.resultRetentionMs ?? toMs(gateway.resultRetentionS) ?? 120_000,
  unreadBatchRetentionMs: gateway.unreadBatchRetentionMs ?? 21_600_000,
  maxLoadingWorkers: gateway.maxLoadingWorkers,
  metricsAddress: gateway.metricsAddress,
  datagramAddress: gateway.datagramAddress,
  memoryMb: gateway.memoryMb ?? 512,
  fileDescriptors: gateway.fileDescriptors ?? 4096,
  strictRevocation: gateway.strictRevocation ?? false,
  revokeAfterMs: gateway.revokeAfterMs ?? 5000,
  control: resolveControl(gateway.control),
  requestMemory: resolveRequestMemory(gateway.requestMemory),
});

/** Gateway settings, of a node on the users' platform, with all defaults applied. */
export type ResolvedGateway = ReturnType<typeof resolveGateway>;

/** Applies the defaults that are documented in `settings.proto`. */
export const resolveSettings = (settings: NodeSettings) => ({
  name: settings.name,
  region: settings.region,
  deployment: settings.deployment ?? '',
  availabilityZone: settings.availabilityZone,
  host: settings.host ?? '127.0.0.1',
  callerPort: settings.callerPort ?? 7100,
  peerPort: settings.peerPort ?? 7101,
  platform: {
    url: (settings.platform?.url ?? '').replace(/\/$/, ''),
    timeoutMs: settings.platform?.timeoutMs ?? 2000,
    callsPerSecond: settings.platform?.callsPerSecond ?? 50,
  },
  dataFolder: settings.dataFolder,
  gateway: settings.gateway && resolveGateway(settings.gateway),
  seedPeers: settings.seedPeers,
  limits: {
    maxConcurrent: settings.limits?.maxConcurrent ?? 4096,
    maxKeyRecords: settings.limits?.maxKeyRecords ?? 200_000,
    maxKeptAnswerBytes: settings.limits?.maxKeptAnswerBytes ?? 64 * 1024 * 1024,
    maxSampleBytes: settings.limits?.maxSampleBytes ?? 256 * 1024 * 1024,
  },
  log: { level: settings.log?.level ?? 'info' },
  trace: { file: settings.trace?.file, otlpUrl: settings.trace?.otlpUrl },
  timing: {
    heartbeatIntervalMs: settings.timing?.heartbeatIntervalMs ?? 1000,
    suspectAfterMs: settings.timing?.suspectAfterMs ?? 3000,
    isolationMs: settings.timing?.isolationMs ?? 6000,
    isolationMarginMs: settings.timing?.isolationMarginMs ?? 2000,
    headPollIntervalMs: settings.timing?.headPollIntervalMs ?? 2000,
    vmListIntervalMs: settings.timing?.vmListIntervalMs ?? 5000,
    entriesTtlMs: settings.timing?.entriesTtlMs ?? 10_000,
    leaseTtlMs: settings.timing?.leaseTtlMs ?? 9000,
    leaseRenewIntervalMs: settings.timing?.leaseRenewIntervalMs ?? 3000,
    leaseMarginMs: settings.timing?.leaseMarginMs ?? 2000,
    keyTtlMs: settings.timing?.keyTtlMs ?? 600_000,
    drainDeadlineMs: settings.timing?.drainDeadlineMs ?? 60_000,
    peerTimeoutMs: settings.timing?.peerTimeoutMs ?? 1000,
    streamIdleMs: settings.timing?.streamIdleMs ?? 5000,
  },
});

/** Timing part of the resolved settings. */
export type ResolvedTiming = ResolvedSettings['timing'];

/**
 * Parses and checks the settings of a node.
 *
 * @param file - file name shown in errors
 * @throws DocumentError with every fault that was found
 */
export const parseSettings = (text: string, file: string): ResolvedSettings => {
  const { message, lineOf } = parseDocument(NodeSettingsSchema, text, file);
  const settings = resolveSettings(message);
  const faults = checkSettings(settings);
  if (faults.length === 0) return settings;
  throw documentError(
    file,
    faults.map((fault) => ({ ...fault, line: lineOf(fault.path) })),
  );
};

/**
 * Reads and checks the settings file of a node.
 *
 * @throws DocumentError with every fault that was found
 */
export const loadSettings = async (file: string): Promise<ResolvedSettings> => {
  const text = await readFile(file, 'utf8');
  return parseSettings(text, file);
};
