import type { ModelNode } from './modelNode.ts';

/** One VM of the model; its node may be ended and started again. */
export class ModelVm {
  node: ModelNode | undefined;

  starts = 0;

  paused = false;

  /** Partition group; only VMs of one group reach each other. */
  group = 0;

  reachesPlatform = true;

  /** Since when the node serves an old revision, in ms. */
  staleSinceMs: number | undefined;

  /** Highest revision that any incarnation has served. */
  highestRevision = 0;

  readonly queue: (() => void)[] = [];

  /** Told when the running incarnation ends. */
  onEnd: (() => void)[] = [];

  constructor(readonly name: string) {}

  /**
   * Runs `callback` when the incarnation runs: later when it is paused, never when it has ended.
   *
   * @param start - number of the incarnation's start
   */
  deliver(start: number, callback: () => void): void {
    if (this.starts !== start || this.node === undefined) return;
    if (this.paused) this.queue.push(callback);
    else callback();
  }
}
