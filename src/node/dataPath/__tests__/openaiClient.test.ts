import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { createClient } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import { expect } from 'earl';
import OpenAI, { APIError, BadRequestError, InternalServerError } from 'openai';
import { startEngine } from '../../../../playground/standIns/engine.ts';
import { startPlatform } from '../../../../playground/standIns/platform.ts';
import { platformClientFactory } from '../../../../playground/platformClientFactory.ts';
import { ApplyResult, OperatorService } from '../../../gen/hyssoppulley/v1/operator_pb.ts';
import { NodeSettingsSchema } from '../../../gen/hyssoppulley/v1/settings_pb.ts';
import { newId } from '../../../shared/random.ts';
import { startNode } from '../../node.ts';
import { silentLogger } from '../../observability/logger.ts';
import { resolveSettings } from '../../settings/resolveSettings.ts';
import { parseTables } from '../../tables/parseTables.ts';
import { TestResources, refusingAddress, tablesOf } from './dataPathHarness.ts';

/** Starts a node whose tables name one engine, and returns a client of the node. */
const connect = async (resources: TestResources, engineAddress: string): Promise<OpenAI> => {
  const platform = await startPlatform();
  resources.addServer(platform.server);
  const settings = resolveSettings(
    create(NodeSettingsSchema, {
      name: 'entry-1',
      region: 'pl-central',
      availabilityZone: 'pl-central-a',
      callerPort: 0,
      peerPort: 0,
      platform: { url: `http://${platform.address}` },
    }),
  );
  const node = await startNode(settings, {
    logger: silentLogger,
    platform: platformClientFactory(settings.platform.url),
  });
  resources.defer(async () => {
    await node[Symbol.asyncDispose]();
  });
  const operator = createClient(
    OperatorService,
    createConnectTransport({ baseUrl: `http://127.0.0.1:${node.peerPort}`, httpVersion: '1.1' }),
  );
  const { result } = await operator.applyTables({
    tables: parseTables(tablesOf('model-engine', [engineAddress]), 'tables.yaml'),
    operationId: newId(),
    waitMs: 16_000,
  });
  expect(result).toEqual(ApplyResult.IN_FORCE);
  return new OpenAI({
    baseURL: `http://127.0.0.1:${node.callerPort}/v1`,
    apiKey: 'unused',
    maxRetries: 0,
  });
};

const request = { model: 'triage', prompt: 'smell of gas', max_tokens: 8 };

// Guards against responses and errors that the official client library cannot parse.
test('the openai library parses responses, streams and errors', { timeout: 40_000 }, async () => {
  await using resources = new TestResources();
  const engine = await startEngine();
  resources.addServer(engine.server);
  const client = await connect(resources, engine.address);
  const completion = await client.completions.create(request);
  const [choice] = completion.choices;
  expect(choice?.finish_reason).toEqual('length');
  expect(completion.usage?.completion_tokens).toEqual(8);
  let streamed = '';
  for await (const chunk of await client.completions.create({ ...request, stream: true })) {
    streamed += chunk.choices[0]?.text ?? '';
  }
  expect(streamed).toEqual(choice?.text ?? '');

  const invalid = await client.completions
    .create({ ...request, max_tokens: -1 })
    .catch((error: unknown) => error);
  expect(invalid instanceof BadRequestError && invalid.code).toEqual('invalid-request');
  expect(invalid instanceof APIError && invalid.message.includes('max_tokens')).toEqual(true);

  engine.faults.crashAfterTokens = 0;
  const failed = await client.completions.create(request).catch((error: unknown) => error);
  expect(failed instanceof InternalServerError && failed.code).toEqual('worker-failed');
  expect(failed instanceof APIError && failed.headers?.get('x-hyssoppulley-outcome')).toEqual(
    'failed',
  );

  // Every attempt delivers one token, so the stream fails only when the retry budget is used up.
  engine.faults.crashAfterTokens = 1;
  let tokens = 0;
  const readFailingStream = async () => {
    const stream = await client.completions.create({ ...request, max_tokens: 200, stream: true });
    for await (const chunk of stream) tokens += chunk.choices.length;
  };
  const streamError = await readFailingStream().catch((error: unknown) => error);
  expect(streamError instanceof APIError && streamError.code).toEqual('worker-failed');
  expect(tokens >= 1 && tokens < 200).toEqual(true);
});

// Guards against the outcome "failed" for a request that no engine received.
test('an unreachable engine gives the outcome not-run', { timeout: 40_000 }, async () => {
  await using resources = new TestResources();
  const client = await connect(resources, await refusingAddress());
  const error = await client.completions.create(request).catch((thrown: unknown) => thrown);
  expect(error instanceof APIError && error.headers?.get('x-hyssoppulley-outcome')).toEqual(
    'not-run',
  );
  expect(error instanceof APIError && error.type).toEqual('not-run');
});
