/** A node that callers may connect to. */
export interface SizedEntry {
  /** Processor time in thousandths of a core. */
  readonly capacityMillicores: number;
}

/** A node with at least this share of the largest node's processor time counts as large. */
const LARGE_NODE_SHARE = 0.5;

/**
 * Minimum share of the deployment's processor time that the large nodes must have to serve all callers alone; otherwise
 * every node is listed.
 */
const MIN_LARGE_NODES_SHARE = 0.25;

/** Minimum number of large nodes, so that the loss of a few of them does not leave callers without an address. */
const MIN_LARGE_NODES = 6;

const capacityOf = (nodes: readonly SizedEntry[]): number =>
  nodes.reduce((sum, { capacityMillicores }) => sum + capacityMillicores, 0);

/**
 * Nodes to list for callers in a deployment of unequal nodes. Callers pick an address at random, so a list of all nodes
 * sends most batches to the smallest ones, where storing a batch takes several times as long. Answers the load of large
 * training steps on fleets with many small nodes.
 */
export const preferredEntries = <T extends SizedEntry>(nodes: readonly T[]): readonly T[] => {
  const largest = Math.max(0, ...nodes.map(({ capacityMillicores }) => capacityMillicores));
  const large = nodes.filter(
    ({ capacityMillicores }) => capacityMillicores >= largest * LARGE_NODE_SHARE,
  );
  const suffices =
    large.length >= MIN_LARGE_NODES &&
    capacityOf(large) >= capacityOf(nodes) * MIN_LARGE_NODES_SHARE;
  return suffices ? large : nodes;
};
