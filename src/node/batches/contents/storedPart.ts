import type { BatchItem, BatchRecord } from '../../../gen/hyssoppulley/v1/batch_pb.ts';
import { freeChunk } from '../../../shared/byteCollector.ts';
import { type HeldBytes, SharedBytes } from './sharedBytes.ts';

/**
 * Bodies up to this size, in bytes, stay with their items. Larger ones are counted one by one and can be read from the platform
 * again.
 */
export const MAX_INLINE_BODY_BYTES = 16 * 1024;

const NO_BYTES = new Uint8Array();

/** Stands in an item for a body that is kept apart from it. */
const KEPT_APART = new Uint8Array();

/** Whether the bodies of an item are kept apart from it because they are large. */
export const isKeptApart = ({ body }: BatchItem): boolean => body === KEPT_APART;

/** Memory of an item without its body, in bytes: its message, its state and an entry of each map that it is in. */
const ITEM_BYTES = 1700;

/** The bodies of an item's request and of its scoring call, of which at least one is large. */
export class ItemBody {
  readonly sizeBytes: number;

  readonly #request: SharedBytes;

  readonly #scoring: SharedBytes | undefined;

  constructor(request: Uint8Array, scoring: Uint8Array | undefined) {
    this.#request = new SharedBytes(request);
    this.#scoring = scoring && new SharedBytes(scoring);
    this.sizeBytes = request.length + (scoring?.length ?? 0);
  }

  /** Holds the body of the request. */
  holdRequest(): HeldBytes {
    return this.#request.hold();
  }

  /** Holds the body of the scoring call; empty if there is none. */
  holdScoring(): HeldBytes {
    return (this.#scoring ?? new SharedBytes(NO_BYTES)).hold();
  }

  /** Gives up the bodies, whose memory is returned once nobody holds them. */
  drop(): void {
    this.#request.drop();
    this.#scoring?.drop();
  }
}

/** The items of a part, without their large bodies. */
export interface StoredPart {
  readonly items: readonly BatchItem[];
  /** Large bodies, or the fragments of them in this part, by item. */
  readonly bodies: ReadonlyMap<string, ItemBody>;
}

/** Memory of an item without its large bodies, in bytes. */
export const itemBytes = ({ headers, body, scoring }: BatchItem): number =>
  ITEM_BYTES +
  headers.reduce((sum, { name, value }) => sum + name.length + value.length, 0) +
  body.length +
  (scoring?.body.length ?? 0);

/**
 * Upper estimate of the memory of a batch's items without their large bodies, in bytes.
 *
 * @param maxValueBytes - largest size of an object
 */
export const estimatedItemsBytes = (
  { itemCount, partCount }: Pick<BatchRecord, 'itemCount' | 'partCount'>,
  maxValueBytes: number,
): number =>
  itemCount * ITEM_BYTES + Math.min(partCount * maxValueBytes, itemCount * MAX_INLINE_BODY_BYTES);

/** Memory of a part, in bytes. */
export const partBytes = ({ items, bodies }: StoredPart): number =>
  items.reduce((sum, item) => sum + itemBytes(item), 0) +
  [...bodies.values()].reduce((sum, { sizeBytes }) => sum + sizeBytes, 0);

const hasLargeBody = ({ body, scoring, continuationParts, continuation }: BatchItem): boolean =>
  continuation ||
  continuationParts > 0 ||
  Math.max(body.length, scoring?.body.length ?? 0) > MAX_INLINE_BODY_BYTES;

/** Takes the large bodies out of items. Bodies that stay with their items are left to the garbage collector. */
export const toStoredPart = (items: readonly BatchItem[]): StoredPart => {
  const bodies = new Map<string, ItemBody>();
  for (const item of items) {
    const { body, scoring } = item;
    if (!hasLargeBody(item)) continue;
    bodies.set(item.id, new ItemBody(body, scoring?.body));
    item.body = KEPT_APART;
    if (scoring !== undefined) scoring.body = KEPT_APART;
  }
  return { items: items.filter(({ continuation }) => !continuation), bodies };
};

/** Returns the memory of the large bodies of a part that nobody needs any more. */
export const dropPart = ({ bodies }: StoredPart): void => {
  for (const body of bodies.values()) body.drop();
};

/** Returns the memory of the bodies of items that nothing uses any more. */
export const freeBodies = (items: readonly BatchItem[]): void => {
  for (const { body, scoring } of items) {
    freeChunk(body);
    if (scoring !== undefined) freeChunk(scoring.body);
  }
};
