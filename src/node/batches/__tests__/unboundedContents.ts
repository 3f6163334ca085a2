import type { Clock } from '../../../shared/clock.ts';
import type { PlatformClient } from '../../platform/platformClient.ts';
import { ContentMemory } from '../contents/contentMemory.ts';
import { ItemBodies } from '../contents/itemBodies.ts';
import { PartCache } from '../contents/partCache.ts';

/** What a dispatcher needs to hold the contents of batches on a node of unlimited memory. */
export const unboundedContents = (clock: Clock, platform: Pick<PlatformClient, 'read'>) => {
  const memory = new ContentMemory(() => Infinity);
  const parts = new PartCache(platform, memory);
  return { memory, bodies: new ItemBodies({ clock, memory, parts }) };
};
