/** Number of group generations reserved for each lease term. It exceeds the number of orders that can be sent in one term. */
const GENERATIONS_PER_TERM = 100_000;
/** Radix of the generation in group names. It keeps the names short, as daemons exchange the name of every group several times a second. */
const GENERATION_RADIX = 36;
const GROUP_NAME_PATTERN = /^g[0-9a-z]+-([1-9]\d*)$/;

/**
 * Creates the name of a group. The name states the size, since the configuration that the group was formed by may be replaced, and the daemon that formed it may end.
 *
 * @param group - Generation, and number of servers that the group is formed of.
 * @example
 * ```ts
 * createGroupName({ generation: 100_001, size: 4 }); // "g255t-4"
 * ```
 */
export function createGroupName(
  group: { generation: number; size: number },
): string {
  return `g${group.generation.toString(GENERATION_RADIX)}-${group.size}`;
}

/**
 * Gets the number of servers that a group was formed of.
 *
 * @param groupName - Name of the group.
 * @returns The number, or undefined when the name does not state it, as that of a spare group or of a group that an earlier version formed.
 */
export function getFormedSize(groupName: string): number | undefined {
  const size = GROUP_NAME_PATTERN.exec(groupName)?.[1];
  return size === undefined ? undefined : Number(size);
}

/** Gets the number that the generations of a lease term exceed. */
export function getFirstGeneration(term: number): number {
  return term * GENERATIONS_PER_TERM;
}
