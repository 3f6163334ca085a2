/**
 * How far a trainer has read a job's samples: it has received every position before `position`. `fencing` is the
 * fencing token of the owner that handed them over.
 */
export interface SampleCursor {
  readonly fencing: number;
  readonly position: number;
}

/** Encodes a cursor as an opaque text that trainers return unchanged. */
export const encodeCursor = ({ fencing, position }: SampleCursor): string =>
  `${fencing}.${position}`;

/** Decodes a cursor; undefined if the text is not in the format of `encodeCursor`. */
export const decodeCursor = (text: string): SampleCursor | undefined => {
  const match = /^(\d{1,15})\.(\d{1,15})$/.exec(text);
  return match ? { fencing: Number(match[1]), position: Number(match[2]) } : undefined;
};
