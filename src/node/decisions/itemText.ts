import { invariant } from '../../shared/invariants.ts';

/** One event of a generation stream. */
export interface GenerationEvent {
  /** Number of the event in the item's text, from 1. */
  readonly number: number;
  readonly data: string;
  /** Weight version that generated it. */
  readonly version: number;
}

/** Which versions may generate an item's text. */
export interface VersionRules {
  /** Oldest version that may generate an event. */
  readonly minVersion: number;
  /** Whether all events must come from one version. */
  readonly singleVersion: boolean;
}

/** What becomes of an event. */
export type EventVerdict =
  | 'taken'
  /** An event that is there already came again. */
  | 'repeated'
  /** An event before it is missing: the run is of no use. */
  | 'gap'
  /** The version may not generate this text: the run is of no use here. */
  | 'wrong-version';

/** The text of an item, put together from the events of one run after the other. */
export class ItemText {
  readonly #rules: VersionRules;

  readonly #events: string[] = [];

  /** Version of each event. */
  readonly #eventVersions: number[] = [];

  constructor(rules: VersionRules) {
    this.#rules = rules;
  }

  /** Data of all events in order. */
  get events(): readonly string[] {
    return this.#events;
  }

  /** Version of each event. */
  get eventVersions(): readonly number[] {
    return this.#eventVersions;
  }

  /** Versions that generated the text, ascending. */
  get versions(): number[] {
    return [...new Set(this.#eventVersions)].sort((left, right) => left - right);
  }

  /** Whether a run on this version may begin or continue the text. */
  allows(version: number): boolean {
    const { minVersion, singleVersion } = this.#rules;
    if (version < minVersion) return false;
    return !singleVersion || (this.#eventVersions[0] ?? version) === version;
  }

  accept({ number, data, version }: GenerationEvent): EventVerdict {
    if (number <= this.#events.length) return 'repeated';
    if (number > this.#events.length + 1) return 'gap';
    if (!this.allows(version)) return 'wrong-version';
    this.#events.push(data);
    this.#eventVersions.push(version);
    invariant(this.#events.length === number, 'item-text-contiguous', { number });
    return 'taken';
  }

  /**
   * Takes over what was generated earlier under the same id.
   *
   * @returns whether the versions fit; otherwise nothing is taken over
   */
  adopt(events: readonly string[], eventVersions: readonly number[]): boolean {
    const { minVersion, singleVersion } = this.#rules;
    const fits =
      this.#events.length === 0 &&
      events.length > 0 &&
      eventVersions.length === events.length &&
      eventVersions.every((version) => version >= minVersion) &&
      (!singleVersion || new Set(eventVersions).size === 1);
    if (!fits) return false;
    this.#events.push(...events);
    this.#eventVersions.push(...eventVersions);
    return true;
  }

  /** Forgets everything, to begin anew under another version. */
  clear(): void {
    this.#events.length = 0;
    this.#eventVersions.length = 0;
  }
}
