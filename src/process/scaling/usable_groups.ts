/** Fabric domain of a zone with its servers that are registered and not draining. */
export interface DomainServers {
  readonly domain: string;
  readonly zone: string;
  /** Model that the domain serves; undefined while no server has loaded one. */
  readonly model: string | undefined;
  readonly count: number;
}

/**
 * Gets the number of groups that a domain can form in expectation when its zone has another number of servers.
 *
 * The platform chooses the servers that it removes without regard to domains, so the number that remains in a domain has a hypergeometric distribution, and a part of them is a remainder that cannot form a group. Added servers count as spread evenly.
 *
 * @param domain - Servers of the domain, and the numbers of servers and domains of its zone now.
 * @param target - Number of servers of the zone to be evaluated.
 * @param options - Servers of a group, and servers of the domain that are kept as spares.
 * @example
 * ```ts
 * getExpectedGroups({ count: 19, zoneCount: 57, zoneDomains: 3 }, 57, {
 *   groupSize: 8,
 *   spares: 1,
 * }); // 2
 * ```
 */
export function getExpectedGroups(
  domain: { count: number; zoneCount: number; zoneDomains: number },
  target: number,
  options: { groupSize: number; spares: number },
): number {
  const { count, zoneCount, zoneDomains } = domain;
  const getGroups = (servers: number) =>
    Math.floor(Math.max(0, servers - options.spares) / options.groupSize);
  if (target >= zoneCount) {
    return getGroups(count + (target - zoneCount) / zoneDomains);
  }
  return getRemainderProbabilities(count, zoneCount, target).reduce(
    (sum, probability, servers) => sum + probability * getGroups(servers),
    0,
  );
}

/**
 * Gets the probabilities that 0, 1, and so on of the servers of a domain remain when a zone keeps `kept` of its servers at random.
 *
 * @param count - Servers of the domain.
 * @param zoneCount - Servers of the zone.
 * @param kept - Servers of the zone that remain.
 */
function getRemainderProbabilities(
  count: number,
  zoneCount: number,
  kept: number,
): number[] {
  const others = zoneCount - count;
  const least = Math.max(0, kept - others);
  const most = Math.min(count, kept);
  const weights = new Array<number>(most + 1).fill(0);
  // The weights relative to the first possible number follow from the ratio of neighbouring terms, which avoids large factorials.
  weights[least] = 1;
  let sum = 1;
  for (let k = least; k < most; k++) {
    weights[k + 1] = weights[k] * ((count - k) * (kept - k)) /
      ((k + 1) * (others - kept + k + 1));
    sum += weights[k + 1];
  }
  return weights.map((weight) => weight / sum);
}
