/** Number of characters that are converted at once, a multiple of four. Larger strings go to the old generation of the heap. */
const CHUNK_CHARS = 48 * 1024;

const CHUNK_BYTES = (CHUNK_CHARS / 4) * 3;

const PADDING = 0x3d;

/** Number of characters of the base64 form of so many bytes. */
export const base64Length = (bytes: number): number => Math.ceil(bytes / 3) * 4;

/**
 * Decodes base64 as `Buffer.from` does, without a string of the whole text.
 *
 * @param text - characters of the base64 form
 * @returns bytes that share their memory with nothing else
 */
export const decodeBase64 = (text: Buffer): Uint8Array => {
  let chars = text.length;
  while (chars > 0 && text[chars - 1] === PADDING) chars -= 1;
  const bytes = new Uint8Array(Math.floor((chars * 3) / 4));
  const target = Buffer.from(bytes.buffer);
  let written = 0;
  for (let start = 0; start < chars; start += CHUNK_CHARS) {
    const end = Math.min(chars, start + CHUNK_CHARS);
    const chunk = target.write(text.toString('latin1', start, end), written, 'base64');
    written += chunk;
    // Characters that base64 does not have are skipped, so that the chunks no longer begin at a group of four.
    if (chunk !== Math.floor(((end - start) * 3) / 4)) {
      return new Uint8Array(Buffer.from(text.toString('latin1'), 'base64'));
    }
  }
  return bytes;
};

/**
 * Writes the base64 form of bytes, without a string of the whole text.
 *
 * @param offset - position in `target` of the first character
 * @returns number of characters written
 */
export const writeBase64 = (source: Uint8Array, target: Buffer, offset: number): number => {
  const bytes = Buffer.from(source.buffer, source.byteOffset, source.length);
  let written = 0;
  for (let start = 0; start < bytes.length; start += CHUNK_BYTES) {
    const chunk = bytes.toString('base64', start, start + CHUNK_BYTES);
    written += target.write(chunk, offset + written, 'latin1');
  }
  return written;
};
