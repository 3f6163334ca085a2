import http from 'node:http';
import { test } from 'node:test';
import { expect } from 'earl';
import { MALFORMED_RESPONSES } from '../../../playground/standIns/malformedHeads.ts';
import { END, pause, send, startRawWorker } from '../../../playground/standIns/rawWorker.ts';
import { receiveResponse } from '../responseHead.ts';

/** Status of the response to a request, as a client of any peer receives it; undefined when it is rejected. */
const statusReceived = async (bytes: string): Promise<number | undefined> => {
  const worker = await startRawWorker(() => [send(bytes), pause(20), END]);
  try {
    return await new Promise((resolve) => {
      const request = http.request(`http://${worker.address}/`, { agent: false });
      const fail = () => resolve(undefined);
      request.on('error', fail);
      receiveResponse(request, (response) => resolve(response.resume().statusCode), fail);
      request.end();
    });
  } finally {
    worker.server.close();
  }
};

// Guards against responses of scorers, homes of keys, job owners and the platform whose status or framing means nothing.
test('no response whose head HTTP does not allow is received', async () => {
  for (const [name, bytesOf] of Object.entries(MALFORMED_RESPONSES)) {
    expect({ name, status: await statusReceived(bytesOf('')) }).toEqual({
      ...{ name, status: undefined },
    });
  }
});

// Guards against sound responses that are rejected.
test('responses whose heads HTTP allows are received', async () => {
  const heads = {
    'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n': 200,
    'HTTP/1.1 200\r\nTransfer-Encoding: Chunked\r\n\r\n0\r\n\r\n': 200,
    'HTTP/1.1 299 \u00e9\r\nX-Other: \u00e9\r\nContent-Length: 0\r\n\r\n': 299,
    'HTTP/1.0 200 OK\r\n\r\nuntil the end': 200,
    'HTTP/1.1 204 No Content\r\n\r\n': 204,
    'HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n': 204,
    'HTTP/1.1 205 Reset Content\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n': 205,
    'HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n': 304,
    'HTTP/1.1 599 Other\r\nContent-Length: 0\r\n\r\n': 599,
  };
  for (const [bytes, status] of Object.entries(heads)) {
    expect({ bytes, status: await statusReceived(bytes) }).toEqual({ bytes, status });
  }
});
