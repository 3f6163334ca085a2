/**
 * Returns how many published versions are newer than a sample. The versions are counted rather than subtracted, because
 * trainers may leave gaps in their numbering.
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
