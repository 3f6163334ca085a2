/** A value that is already encoded as JSON, so that a large one is written without strings of its size. */
export class JsonText {
  readonly bytes: Buffer;

  constructor(bytes: Buffer) {
    this.bytes = bytes;
  }

  toJSON(): unknown {
    return JSON.parse(this.bytes.toString('utf8'));
  }
}
