import { create } from '@bufbuild/protobuf';
import { InMemoryPlatform } from '../../../../../playground/inMemoryPlatform.ts';
import {
  type BatchItem,
  BatchItemSchema,
  type BatchRecord,
  BatchRecordSchema,
} from '../../../../gen/hyssoppulley/v1/batch_pb.ts';
import { VirtualClock } from '../../../../shared/virtualClock.ts';
import { encodeItems, itemsKey } from '../../batchObjects.ts';
import { ContentMemory } from '../contentMemory.ts';
import { ItemBodies } from '../itemBodies.ts';
import { PartCache } from '../partCache.ts';

/** Size of a large body, in bytes. */
export const BODY_BYTES = 20_000;

/** The contents of batches on one node with room for so many bytes, and a platform that counts the reads of parts. */
export class ContentsHarness {
  readonly clock = new VirtualClock();

  readonly memory: ContentMemory;

  readonly parts: PartCache;

  readonly bodies: ItemBodies;

  /** Keys of the parts that were read, in order. */
  readonly reads: string[] = [];

  roomBytes: number;

  readonly #platform = new InMemoryPlatform();

  constructor(roomBytes: number) {
    this.roomBytes = roomBytes;
    this.memory = new ContentMemory(() => this.roomBytes);
    const read = (key: string) => {
      this.reads.push(key);
      return this.#platform.read(key);
    };
    this.parts = new PartCache({ read }, this.memory);
    this.memory.add(this.parts);
    this.bodies = new ItemBodies({ clock: this.clock, memory: this.memory, parts: this.parts });
  }

  get usedBytes(): number {
    return this.memory.neededBytes + this.memory.cachedBytes;
  }

  /** Stores a batch of parts with one large item each, named `ID-PART`, whose bodies have the number of the part in each byte. */
  async store(id: string, partCount: number): Promise<BatchRecord> {
    const record = create(BatchRecordSchema, { id, partCount, itemCount: partCount });
    for (let part = 0; part < partCount; part += 1) {
      const items: BatchItem[] = [
        create(BatchItemSchema, {
          ...{ id: `${id}-${part}`, path: '/x' },
          body: new Uint8Array(BODY_BYTES).fill(part),
        }),
      ];
      await this.#platform.write(itemsKey(record, part), encodeItems(items));
    }
    return record;
  }

  /** Reads all parts of a batch and adds their bodies, as a dispatcher does. */
  async load(record: BatchRecord): Promise<void> {
    for (let part = 0; part < record.partCount; part += 1) {
      const stored = await this.parts.take(record, part, { kind: 'normal' });
      this.bodies.add(record, part, stored);
    }
  }
}
