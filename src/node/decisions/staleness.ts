/**
 * Distance of a sample from the trainer's version, in published versions. Counted rather than subtracted, because
 * trainers may number their versions with gaps.
 *
 * @param oldestVersion - oldest weight version in the sample
 * @param published - published versions, ascending
 */
export const stalenessOf = (oldestVersion: number, published: readonly number[]): number => {
  let newer = 0;
  while (
    newer < published.length &&
    (published[published.length - 1 - newer] ?? 0) > oldestVersion
  ) {
    newer += 1;
  }
  return newer;
};
