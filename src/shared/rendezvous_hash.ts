const FNV_OFFSET_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Gets a 32-bit hash of a text: FNV-1a, followed by the murmur3 finaliser, which spreads short texts evenly.
 *
 * @param text - Text to hash.
 * @example
 * ```ts
 * const bucket = getHash32("group-1") % 16;
 * ```
 */
export function getHash32(text: string): number {
  let hash = FNV_OFFSET_BASIS;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash ^= hash >>> 16;
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  hash = Math.imul(hash, 0xc2b2ae35);
  hash ^= hash >>> 16;
  return hash >>> 0;
}

/**
 * Gets the members in rendezvous (highest random weight) order for a key.
 *
 * Removal of one member leaves the order of the others unchanged.
 *
 * @param key - Key to place.
 * @param members - Names of the candidates.
 * @returns The members, the one with the highest weight first.
 * @example
 * ```ts
 * const [firstHome] = getRendezvousOrder("group-1", ["entry-1", "entry-2"]);
 * ```
 */
export function getRendezvousOrder(
  key: string,
  members: readonly string[],
): string[] {
  const weightedMembers = members.map((name) => ({
    name,
    weight: getHash32(`${name}|${key}`),
  }));
  weightedMembers.sort((a, b) =>
    b.weight - a.weight || (a.name < b.name ? -1 : a.name > b.name ? 1 : 0)
  );
  return weightedMembers.map((entry) => entry.name);
}
