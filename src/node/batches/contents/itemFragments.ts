import { create } from '@bufbuild/protobuf';
import { type BatchItem, BatchItemSchema } from '../../../gen/hyssoppulley/v1/batch_pb.ts';
import { maxContentBytes, splitBySize, storedSizeBytes } from '../batchObjects.ts';
import { ItemBody } from './storedPart.ts';

const NO_BYTES = new Uint8Array();

/** Bytes of two bodies whose base64 forms have at most so many characters together. */
const bytesWithin = (characters: number): number => Math.max(0, Math.floor(characters / 4) * 3 - 3);

const withoutBodies = (item: BatchItem): BatchItem => ({
  ...item,
  body: NO_BYTES,
  ...(item.scoring === undefined ? {} : { scoring: { ...item.scoring, body: NO_BYTES } }),
});

/**
 * Splits an item whose bodies do not fit into one object. The fragments are stored in consecutive parts; the first one has all other
 * fields.
 *
 * @param maxBytes - largest content of an object
 * @returns the item itself if it fits; undefined if its other fields are too large for an object
 */
export const fragmentsOf = (
  item: BatchItem,
  maxBytes: number,
): readonly BatchItem[] | undefined => {
  if (storedSizeBytes(item) <= maxBytes) return [item];
  const { id, body, scoring } = item;
  const scoringBody = scoring?.body ?? NO_BYTES;
  const totalBytes = body.length + scoringBody.length;
  /** Bytes from one position of both bodies, one after the other, to another. */
  const slice = (from: number, to: number) => ({
    body: body.subarray(from, to),
    scoring: scoringBody.subarray(Math.max(0, from - body.length), Math.max(0, to - body.length)),
  });
  const first = withoutBodies(item);
  const firstBytes = bytesWithin(maxBytes - storedSizeBytes(first));
  if (firstBytes === 0) return undefined;
  const continuedBytes = bytesWithin(maxBytes - storedSizeBytes(create(BatchItemSchema)));
  const continuationParts = Math.ceil((totalBytes - firstBytes) / continuedBytes);
  const begin = slice(0, firstBytes);
  const fragments: BatchItem[] = [
    {
      ...{ ...first, body: begin.body, continuationParts, totalBodyBytes: totalBytes },
      ...(scoring === undefined ? {} : { scoring: { ...scoring, body: begin.scoring } }),
    },
  ];
  for (let at = firstBytes; at < totalBytes; at += continuedBytes) {
    const { body: bodyPart, scoring: scoringPart } = slice(at, at + continuedBytes);
    const fields = { id, continuation: true, body: bodyPart, scoring: { body: scoringPart } };
    fragments.push(create(BatchItemSchema, fields));
  }
  return fragments;
};

/** Joins copies of the fragments of an item's bodies, in order. */
export const joinFragments = (fragments: readonly ItemBody[]): ItemBody => {
  const join = (kind: 'holdRequest' | 'holdScoring'): Uint8Array => {
    const held = fragments.map((fragment) => fragment[kind]());
    const joined = new Uint8Array(held.reduce((sum, { bytes }) => sum + bytes.length, 0));
    let offset = 0;
    for (const { bytes, [Symbol.dispose]: dispose } of held) {
      joined.set(bytes, offset);
      offset += bytes.length;
      dispose();
    }
    return joined;
  };
  return new ItemBody(join('holdRequest'), join('holdScoring'));
};

/**
 * Splits items into parts that each fit into one object.
 *
 * @param maxValueBytes - largest size of an object
 * @returns undefined if the fields of an item are too large for an object
 */
export const splitItems = (
  items: readonly BatchItem[],
  maxValueBytes: number,
): BatchItem[][] | undefined => {
  const maxBytes = maxContentBytes(maxValueBytes);
  const fragments: BatchItem[] = [];
  for (const item of items) {
    const ofItem = fragmentsOf(item, maxBytes);
    if (ofItem === undefined) return undefined;
    fragments.push(...ofItem);
  }
  return splitBySize(fragments, storedSizeBytes, maxBytes);
};
