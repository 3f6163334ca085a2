/** Where a trainer is in a job's samples: it has received everything before `position` from the owner `fencing`. */
export interface SampleCursor {
  readonly fencing: number;
  readonly position: number;
}

/** Text form that trainers pass back unchanged. */
export const encodeCursor = ({ fencing, position }: SampleCursor): string =>
  `${fencing}.${position}`;

/** Reads a cursor; undefined when it was not made by `encodeCursor`. */
export const decodeCursor = (text: string): SampleCursor | undefined => {
  const match = /^(\d{1,15})\.(\d{1,15})$/.exec(text);
  return match ? { fencing: Number(match[1]), position: Number(match[2]) } : undefined;
};
