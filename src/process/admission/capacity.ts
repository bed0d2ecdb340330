/** Number of partitions that a group's capacity is split into, and therefore the maximum number of its homes. */
export const PARTITIONS_PER_GROUP = 8;

/** Capacity of a group or of a part of it. */
export interface Capacity {
  /** Number of concurrent requests. */
  readonly slots: number;
  /** KV cache memory in tokens. */
  readonly tokens: number;
}

export const NO_CAPACITY: Capacity = { slots: 0, tokens: 0 };

/**
 * Gets the sum of two capacities.
 *
 * @param a - First capacity.
 * @param b - Second capacity.
 */
export function addCapacity(a: Capacity, b: Capacity): Capacity {
  return { slots: a.slots + b.slots, tokens: a.tokens + b.tokens };
}

/**
 * Gets the capacity of one partition of a group, in whole numbers. The partitions add up to the group's capacity, and partition 0 always has a slot.
 *
 * @param groupCapacity - Capacity of the group.
 * @param partition - Number of the partition, from 0.
 * @example
 * ```ts
 * getPartitionCapacity({ slots: 1, tokens: 80 }, 0); // { slots: 1, tokens: 10 }
 * ```
 */
export function getPartitionCapacity(
  groupCapacity: Capacity,
  partition: number,
): Capacity {
  return {
    slots: getPartitionAmount(groupCapacity.slots, partition),
    tokens: getPartitionAmount(groupCapacity.tokens, partition),
  };
}

function getPartitionAmount(groupAmount: number, partition: number): number {
  return Math.ceil(groupAmount * (partition + 1) / PARTITIONS_PER_GROUP) -
    Math.ceil(groupAmount * partition / PARTITIONS_PER_GROUP);
}
