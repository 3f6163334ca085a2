import { invariant } from '../../../shared/invariants.ts';

/** One event of a generation stream. */
export interface GenerationEvent {
  /** Number of the event in the item's text, starting at 1. */
  readonly number: number;
  readonly data: string;
  /** Weight version that generated the event. */
  readonly version: number;
}

/** Which weight versions may generate an item's text. */
export interface VersionRules {
  /** Minimum version for every event. */
  readonly minVersion: number;
  /** Whether all events must come from the same version. */
  readonly singleVersion: boolean;
}

/** Result of `ItemText.accept`. */
export type EventOutcome =
  | 'taken'
  /** The text already contains the event. */
  | 'repeated'
  /** An earlier event is missing, so the run cannot continue the text. */
  | 'gap'
  /** The weight version must not generate this text, so the run cannot continue it. */
  | 'wrong-version';

/** The text of an item, assembled from the events of successive runs. */
export class ItemText {
  readonly #rules: VersionRules;

  readonly #events: string[] = [];

  /** Weight version of each event. */
  readonly #eventVersions: number[] = [];

  #id = '';

  constructor(rules: VersionRules) {
    this.#rules = rules;
  }

  /** Identifies the text among those that were started anew for the item; empty for the first one. */
  get id(): string {
    return this.#id;
  }

  /** Data of all events in order. */
  get events(): readonly string[] {
    return this.#events;
  }

  /** Weight version of each event. */
  get eventVersions(): readonly number[] {
    return this.#eventVersions;
  }

  /** Distinct weight versions that generated the text, ascending. */
  get versions(): number[] {
    return [...new Set(this.#eventVersions)].sort((left, right) => left - right);
  }

  /** Whether a run with this weight version may start or continue the text. */
  allows(version: number): boolean {
    const { minVersion, singleVersion } = this.#rules;
    if (version < minVersion) return false;
    return !singleVersion || (this.#eventVersions[0] ?? version) === version;
  }

  /** Appends an event if it is the next one and its version is allowed. */
  accept({ number, data, version }: GenerationEvent): EventOutcome {
    if (number <= this.#events.length) return 'repeated';
    if (number > this.#events.length + 1) return 'gap';
    if (!this.allows(version)) return 'wrong-version';
    this.#events.push(data);
    this.#eventVersions.push(version);
    invariant(this.#events.length === number, 'item-text-contiguous', { number });
    return 'taken';
  }

  /**
   * Starts the text with events that were generated earlier for the same item id.
   *
   * @returns false, with the text unchanged, if the text is not empty or the events do not satisfy the version rules
   */
  restore(events: readonly string[], eventVersions: readonly number[], id = ''): boolean {
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
    this.#id = id;
    return true;
  }

  /** Removes all events, so that the text can be started anew with another version. */
  restart(id: string): void {
    this.#id = id;
    this.#events.length = 0;
    this.#eventVersions.length = 0;
  }
}
