import { test } from 'node:test';
import { expect } from 'earl';
import { InMemoryPlatform } from '../../../../playground/inMemoryPlatform.ts';
import type { PlatformObject } from '../../platform/platformClient.ts';
import { startElections } from './twoElections.ts';

/** A platform that may respond late to one read. */
class LateReadPlatform extends InMemoryPlatform {
  isNextLate = false;

  #respond: (() => void) | undefined;

  override async read(key: string): Promise<PlatformObject | undefined> {
    const isLate = this.isNextLate;
    this.isNextLate = false;
    const object = await super.read(key);
    if (isLate) {
      await new Promise<void>((resolve) => {
        this.#respond = resolve;
      });
    }
    return object;
  }

  respond(): void {
    this.#respond?.();
  }
}

// Guards against a pool without a dispatcher for a minute: a holder that is elected again gives the pool up because a read from
// before its election responds late, while its peers take it for the holder (items were at no worker for 59.8 s in a play).
test('a holder does not give the pool up because of a record that its claim has replaced', async () => {
  const platform = new LateReadPlatform();
  const { clock, seen, holders, electionOf, elections } = startElections(platform);
  await clock.advanceAsync(3000);
  const [holder = ''] = holders();
  const other = holder === 'a' ? 'b' : 'a';
  seen.set(holder, { suspected: true });
  while (electionOf(other)?.heldTerm === undefined) await clock.advanceAsync(10);
  platform.isNextLate = true;
  const confirmed = electionOf(holder)?.confirm();
  seen.set(holder, { suspected: false });
  seen.set(other, { suspected: true });
  await clock.advanceAsync(3000);
  expect(electionOf(holder)?.heldTerm).toEqual(3);
  seen.set(other, { suspected: false });
  platform.respond();
  await clock.advanceAsync(6000);
  expect(holders()).toEqual([holder]);
  expect(await confirmed).toEqual(false);
  for (const election of elections) election[Symbol.dispose]();
});
