/** Bytes of a response whose head HTTP does not allow. `fields` are further header lines, each with its line end. */
export type MalformedResponse = (fields: string) => string;

const withStatus =
  (status: string): MalformedResponse =>
  (fields) =>
    `HTTP/1.1 ${status} Status\r\n${fields}Content-Length: 5\r\n\r\nwhole`;

const withVersion =
  (version: string): MalformedResponse =>
  (fields) =>
    `HTTP/${version} 200 OK\r\n${fields}Content-Length: 5\r\n\r\nwhole`;

const withHeader =
  (line: string): MalformedResponse =>
  (fields) =>
    `HTTP/1.1 200 OK\r\n${fields}${line}\r\nContent-Length: 5\r\n\r\nwhole`;

const withCoding =
  (coding: string, startLine = 'HTTP/1.1 200 OK'): MalformedResponse =>
  (fields) =>
    `${startLine}\r\n${fields}Transfer-Encoding: ${coding}\r\n\r\n5\r\nwhole\r\n0\r\n\r\n`;

/** Heads that HTTP does not allow, by what is wrong with them. */
export const MALFORMED_RESPONSES: Readonly<Record<string, MalformedResponse>> = {
  ...Object.fromEntries(
    ['000', '001', '099', '600', '999', '20', '2000', '-20', '2x0', ''].map((status) => [
      `status "${status}"`,
      withStatus(status),
    ]),
  ),
  ...Object.fromEntries(
    ['0.9', '1.2', '2.0', '3.0', '2'].map((version) => [
      `version ${version}`,
      withVersion(version),
    ]),
  ),
  'a control character in the reason phrase': (fields) =>
    `HTTP/1.1 200 O\u0001K\r\n${fields}Content-Length: 5\r\n\r\nwhole`,
  'a control character in a value': withHeader('X-Other: a\u0001b'),
  'a line feed in a value': withHeader('X-Other: a\nb'),
  'a space in a name': withHeader('X Other: a'),
  'a space before the colon': withHeader('X-Other : a'),
  'no colon': withHeader('X-Other'),
  'a folded line': withHeader('X-Other: a\r\n b'),
  'two lengths': withHeader('Content-Length: 4'),
  'a length and chunks': withHeader('Transfer-Encoding: chunked'),
  'an unknown coding': withCoding('other'),
  'a coding that was not asked for': withCoding('gzip, chunked'),
  'a coding after the chunks': withCoding('chunked, gzip'),
  'the coding identity': withCoding('identity'),
  'chunks twice': withCoding('chunked, chunked'),
  'chunks in HTTP/1.0': withCoding('chunked', 'HTTP/1.0 200 OK'),
  'status 204 with a length': withStatus('204'),
  'status 204 with chunks': withCoding('chunked', 'HTTP/1.1 204 Status'),
  'status 205 with a length': withStatus('205'),
};
