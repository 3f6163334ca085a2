import type { ModelNode } from './modelNode.ts';

/** A simulated VM, whose node process can be killed and restarted. */
export class ModelVm {
  node: ModelNode | undefined;

  starts = 0;

  paused = false;

  /** Partition group; only VMs of the same group can reach each other. */
  group = 0;

  reachesPlatform = true;

  /** Monotonic time since which the node has served an old revision, in ms; undefined if it does not. */
  staleSinceMs: number | undefined;

  /** Highest revision that any incarnation of the node has served. */
  highestRevision = 0;

  readonly queue: (() => void)[] = [];

  /** Called when the running incarnation ends. */
  onEnd: (() => void)[] = [];

  constructor(readonly name: string) {}

  /**
   * Runs `callback` in an incarnation: immediately, or after the pause if it is paused. Drops the callback if the
   * incarnation has ended.
   *
   * @param start - value of `starts` when the incarnation was started
   */
  deliver(start: number, callback: () => void): void {
    if (this.starts !== start || this.node === undefined) return;
    if (this.paused) this.queue.push(callback);
    else callback();
  }
}
