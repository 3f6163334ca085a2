import { invariant } from '../../shared/invariants.ts';
import type { PlatformObject } from '../platform/platformClient.ts';
import {
  type CompletedSample,
  LEDGER_WINDOW,
  type LedgerValue,
  MAX_FINISHED_STEPS,
  MAX_LEDGER_STEPS,
} from './ledgerValue.ts';
import { type LedgerRules, STANDARD_LEDGER_RULES } from './ledgerRules.ts';
import { stalenessOf } from './staleness.ts';
import { decodeCursor, encodeCursor, type SampleCursor } from './sampleCursor.ts';
import { StepBitmap } from './stepBitmap.ts';

/** A write of the ledger, repeated unchanged until its result is known. */
export interface LedgerWrite {
  readonly value: LedgerValue;
  readonly ifVersion: number;
  readonly operationId: string;
}

/** Positions and samples whose state changed with a confirmed write. */
export interface LedgerChange {
  readonly committed: readonly number[];
  readonly voided: readonly { readonly stepId: string; readonly ordinal: number }[];
}

export type PullCheck =
  | { readonly status: 'accepted'; readonly position: number }
  | {
      readonly status: 'bad-cursor' | 'stale-sequence' | 'behind' | 'ahead' | 'other-fencing';
      /** Cursor with which the trainer can retry the pull; absent where a retry would not help. */
      readonly cursor?: string;
    };

export type Handover<S extends CompletedSample = CompletedSample> =
  | { readonly position: number; readonly voided: true }
  | { readonly position: number; readonly voided: false; readonly sample: S };

interface Entry<S> {
  readonly position: number;
  readonly stepId: string;
  readonly ordinal: number;
  readonly attempt: number;
  readonly digest: string;
  /** Content of the sample; undefined if it was lost with an earlier owner. */
  readonly sample: S | undefined;
  readonly publishedAtCompletion: readonly number[];
  state: 'pending' | 'committed' | 'voiding' | 'voided';
}

interface Step {
  readonly digest: string;
  readonly total: number;
  readonly taken: StepBitmap;
  /** Whether a confirmed write of the ledger contains the step. */
  recorded: boolean;
}

interface WaitingSample<S> {
  readonly sample: S;
  readonly publishedAtCompletion: readonly number[];
}

export interface SampleLedgerOptions<S extends CompletedSample = CompletedSample> {
  readonly fencing: number;
  readonly newOperationId: () => string;
  /** @default LEDGER_WINDOW */
  readonly windowLimit?: number;
  /** @default STANDARD_LEDGER_RULES */
  readonly rules?: LedgerRules;
  /** Called for each sample whose content is no longer needed. */
  readonly onDropped?: (sample: S) => void;
}

/**
 * The ledger of one job, as managed by one owner. Assigns positions to completed samples, and decides what is written
 * to the platform and which samples may be handed over to the trainer.
 */
export class SampleLedger<S extends CompletedSample = CompletedSample> {
  readonly #options: SampleLedgerOptions<S>;

  readonly #rules: LedgerRules;

  readonly #steps = new Map<string, Step>();

  readonly #finished = new Map<string, string>();

  readonly #entries = new Map<number, Entry<S>>();

  readonly #waiting: WaitingSample<S>[] = [];

  readonly #waitingKeys = new Set<string>();

  #version: number;

  #acknowledged: number;

  #nextPosition: number;

  /** End of the positions that the trainer can have received. A cursor beyond it is an error of the trainer. */
  #handedOverEnd: number;

  #lastSequence = -1;

  #inFlight: LedgerWrite | undefined;

  /** Whether the ledger differs from the last write. True at first: this owner's fencing token must be written. */
  #hasUnwrittenChange = true;

  #takenOver = false;

  /** @param object - the ledger object as read after the lease was acquired */
  constructor(
    options: SampleLedgerOptions<S>,
    object: Pick<PlatformObject, 'version'> | undefined,
    value: LedgerValue,
  ) {
    this.#options = options;
    this.#rules = options.rules ?? STANDARD_LEDGER_RULES;
    invariant(value.fencing <= options.fencing, 'ledger-fencing-not-newer', {
      stored: value.fencing,
      own: options.fencing,
    });
    this.#version = object?.version ?? 0;
    this.#acknowledged = value.acknowledged;
    this.#nextPosition = value.nextPosition;
    this.#handedOverEnd = value.nextPosition;
    for (const [stepId, { digest, total, committed }] of Object.entries(value.steps)) {
      this.#steps.set(stepId, {
        digest,
        total,
        taken: new StepBitmap(total, committed),
        recorded: true,
      });
    }
    for (const [stepId, digest] of Object.entries(value.finished)) {
      this.#finished.set(stepId, digest);
    }
    for (const { voided, ...entry } of value.window) {
      this.#entries.set(entry.position, {
        ...entry,
        sample: undefined,
        publishedAtCompletion: [],
        state: voided ? 'voided' : 'committed',
      });
    }
  }

  get fencing(): number {
    return this.#options.fencing;
  }

  /** Whether the stored ledger carries the fencing token of this owner. Nothing may be handed over before that. */
  get isTakeoverRecorded(): boolean {
    return this.#takenOver;
  }

  get acknowledged(): number {
    return this.#acknowledged;
  }

  get nextPosition(): number {
    return this.#nextPosition;
  }

  /** Number of samples in the window or waiting for a position in it. */
  get occupied(): number {
    return this.#entries.size + this.#waiting.length;
  }

  get windowLimit(): number {
    return this.#options.windowLimit ?? LEDGER_WINDOW;
  }

  /** Unfinished steps, the oldest first. */
  steps(): readonly { readonly stepId: string; readonly digest: string; readonly total: number }[] {
    return [...this.#steps].map(([stepId, { digest, total }]) => ({ stepId, digest, total }));
  }

  /** Whether the step is in the stored ledger, so that later owners know of it. */
  isRecorded(stepId: string): boolean {
    return this.#steps.get(stepId)?.recorded ?? this.#finished.has(stepId);
  }

  /** Whether every sample of a step has a position. */
  isComplete(stepId: string): boolean {
    const step = this.#steps.get(stepId);
    return step === undefined || step.taken.count === step.total;
  }

  /** Whether a sample needs no further attempt: it is committed, being committed, or waiting for a position. */
  isTaken(stepId: string, ordinal: number): boolean {
    return (
      (this.#steps.get(stepId)?.taken.has(ordinal) ?? this.#finished.has(stepId)) ||
      this.#waitingKeys.has(`${ordinal} ${stepId}`)
    );
  }

  /** Compares a submitted step with the known ones. `different`: the id is known with another digest. */
  checkStep(stepId: string, digest: string): 'new' | 'known' | 'finished' | 'different' | 'full' {
    const known = this.#steps.get(stepId)?.digest ?? this.#finished.get(stepId);
    if (known !== undefined && known !== digest) return 'different';
    if (this.#finished.has(stepId)) return 'finished';
    if (known !== undefined) return 'known';
    return this.#steps.size >= MAX_LEDGER_STEPS ? 'full' : 'new';
  }

  /** Adds a new step. Later owners know of it once the next write is confirmed. */
  addStep(stepId: string, digest: string, total: number): void {
    this.#steps.set(stepId, { digest, total, taken: new StepBitmap(total), recorded: false });
    this.#hasUnwrittenChange = true;
  }

  /** Accepts a completed sample. Returns false if another attempt completed it before or the step has ended. */
  complete(sample: S, publishedAtCompletion: readonly number[]): boolean {
    const { stepId, ordinal } = sample;
    if (!this.#steps.has(stepId) || this.isTaken(stepId, ordinal)) return false;
    this.#waiting.push({ sample, publishedAtCompletion });
    this.#waitingKeys.add(`${ordinal} ${stepId}`);
    return true;
  }

  /** Returns the write to send now, undefined if there is none. Repeats a write until its result is known. */
  nextWrite(): LedgerWrite | undefined {
    if (this.#inFlight) return this.#inFlight;
    this.#assignPositions();
    if (!this.#hasUnwrittenChange) return undefined;
    this.#hasUnwrittenChange = false;
    this.#inFlight = {
      value: this.#storedValue(),
      ifVersion: this.#version,
      operationId: this.#options.newOperationId(),
    };
    return this.#inFlight;
  }

  /** Records that the write in flight took effect. */
  confirm(version: number): LedgerChange {
    const write = this.#inFlight;
    invariant(write !== undefined, 'ledger-confirms-own-write', { version });
    invariant(version > this.#version, 'ledger-version-grows', { version, known: this.#version });
    this.#inFlight = undefined;
    this.#version = version;
    this.#takenOver = true;
    const committed: number[] = [];
    const voided: { stepId: string; ordinal: number }[] = [];
    for (const { position, voided: isVoided } of write.value.window) {
      const entry = this.#entries.get(position);
      if (entry?.state === 'pending' && !isVoided) {
        entry.state = 'committed';
        committed.push(position);
      } else if (entry?.state === 'voiding' && isVoided) {
        entry.state = 'voided';
        voided.push({ stepId: entry.stepId, ordinal: entry.ordinal });
      }
    }
    for (const stepId of Object.keys(write.value.steps)) {
      const step = this.#steps.get(stepId);
      if (step) step.recorded = true;
    }
    return { committed, voided };
  }

  /**
   * Compares the write in flight with the object as read afterwards. `lost`: another owner has written the ledger.
   * `retry`: the write has not taken effect and may be sent again unchanged.
   */
  resolve(object: PlatformObject | undefined): 'confirmed' | 'retry' | 'lost' {
    if (this.#inFlight && object?.operationId === this.#inFlight.operationId) return 'confirmed';
    return (object?.version ?? 0) === this.#version ? 'retry' : 'lost';
  }

  /** Checks a pull. If accepted, applies its acknowledgement and voids positions whose content was lost. */
  acceptPull(cursorText: string, pullSequence: number): PullCheck {
    const cursor = decodeCursor(cursorText);
    const { fencing } = this;
    if (cursor === undefined) {
      const position = this.#acknowledged;
      return { status: 'bad-cursor', cursor: encodeCursor({ fencing, position }) };
    }
    if (!this.#rules.acceptsFencing(cursor.fencing, fencing)) {
      return { status: 'other-fencing', cursor: encodeCursor({ ...cursor, fencing }) };
    }
    if (!this.#rules.acceptsSequence(pullSequence, this.#lastSequence)) {
      return { status: 'stale-sequence' };
    }
    const check = this.#rules.checkPosition(
      cursor.position,
      this.#acknowledged,
      this.#handedOverEnd,
    );
    if (check !== 'accepted') return { status: check };
    this.#lastSequence = pullSequence;
    this.#acknowledge(cursor);
    return { status: 'accepted', position: cursor.position };
  }

  /** Whether this is no longer the newest accepted pull. */
  isSuperseded(pullSequence: number): boolean {
    return this.#lastSequence !== pullSequence;
  }

  /**
   * Returns the positions to hand over now, from `position` on without a gap. Voids samples that are too stale by now.
   * Only for the newest accepted pull, which proves that the trainer has received nothing at or after `position`.
   */
  handOver(
    position: number,
    maxSamples: number,
    published: readonly number[],
    maxStaleness: number,
  ): Handover<S>[] {
    const result: Handover<S>[] = [];
    let open = true;
    for (let at = position; at < position + maxSamples; at += 1) {
      const entry = this.#entries.get(at);
      if (entry === undefined) break;
      const reference = this.#rules.publishedForStaleness(published, entry.publishedAtCompletion);
      if (
        entry.state === 'committed' &&
        entry.sample &&
        stalenessOf(entry.sample.oldestVersion, reference) > maxStaleness
      ) {
        this.#voidEntry(entry);
      }
      open &&= entry.state === 'voided' || this.#rules.mayHandOver(entry.state);
      if (!open) continue;
      if (entry.state === 'voided') result.push({ position: at, voided: true });
      else if (entry.sample) result.push({ position: at, voided: false, sample: entry.sample });
      else open = false;
    }
    this.#handedOverEnd = Math.max(this.#handedOverEnd, position + result.length);
    return result;
  }

  #acknowledge({ position }: SampleCursor): void {
    for (const entry of this.#entries.values()) {
      if (entry.position >= position) break;
      this.#entries.delete(entry.position);
      this.#dropSample(entry);
    }
    if (position > this.#acknowledged) this.#finishSteps();
    this.#acknowledged = Math.max(this.#acknowledged, position);
    this.#handedOverEnd = position;
    for (const entry of this.#entries.values()) {
      if (entry.state === 'committed' && entry.sample === undefined) this.#voidEntry(entry);
    }
  }

  #voidEntry(entry: Entry<S>): void {
    const mutable = entry;
    mutable.state = 'voiding';
    this.#dropSample(entry);
    this.#steps.get(entry.stepId)?.taken.set(entry.ordinal, false);
    this.#hasUnwrittenChange = true;
  }

  #dropSample({ sample }: Entry<S>): void {
    if (sample) this.#options.onDropped?.(sample);
  }

  /** Ends the steps whose samples all have a position and that have no position left in the window. */
  #finishSteps(): void {
    const open = new Set([...this.#entries.values()].map(({ stepId }) => stepId));
    for (const [stepId, { digest, total, taken }] of this.#steps) {
      if (taken.count < total || open.has(stepId)) continue;
      this.#steps.delete(stepId);
      this.#finished.set(stepId, digest);
      const [oldest] = this.#finished.keys();
      if (this.#finished.size > MAX_FINISHED_STEPS && oldest !== undefined) {
        this.#finished.delete(oldest);
      }
      this.#hasUnwrittenChange = true;
    }
  }

  #assignPositions(): void {
    const freePlaces = Math.max(0, this.windowLimit - this.#entries.size);
    for (const waiting of this.#waiting.splice(0, freePlaces)) {
      const { sample, publishedAtCompletion } = waiting;
      const { stepId, ordinal, attempt, digest } = sample;
      this.#waitingKeys.delete(`${ordinal} ${stepId}`);
      this.#steps.get(stepId)?.taken.set(ordinal, true);
      const position = this.#nextPosition;
      this.#nextPosition += 1;
      this.#entries.set(position, {
        position,
        stepId,
        ordinal,
        attempt,
        digest,
        sample,
        publishedAtCompletion,
        state: 'pending',
      });
      this.#hasUnwrittenChange = true;
    }
  }

  #storedValue(): LedgerValue {
    const steps = [...this.#steps].map(([stepId, { digest, total, taken }]) => [
      stepId,
      { digest, total, committed: taken.encode() },
    ]);
    return {
      fencing: this.fencing,
      acknowledged: this.#acknowledged,
      nextPosition: this.#nextPosition,
      steps: Object.fromEntries(steps),
      finished: Object.fromEntries(this.#finished),
      window: [...this.#entries.values()].map(
        ({ position, stepId, ordinal, attempt, digest, state }) => ({
          position,
          stepId,
          ordinal,
          attempt,
          digest,
          voided: state === 'voiding' || state === 'voided',
        }),
      ),
    };
  }
}
