/** A trainer's place in a job's samples: it has received every position before `position`, from the owner `fencing`. */
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
