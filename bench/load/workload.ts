import type {
  DeploymentProfile,
  ProfileRequest,
} from "./deployment_profile.ts";
import { SeededRandom } from "./seeded_random.ts";

/** One request of a workload. */
export interface PlannedRequest {
  readonly id: string;
  /** Time since the start of the load in milliseconds. */
  readonly atMs: number;
  readonly kind: "chat" | "call";
  readonly account: string;
  /** Message of a chat. */
  readonly content: string;
  /** Path of a call. */
  readonly path: string;
  readonly slowReader: boolean;
  readonly deadlineMs: number;
  /** Index of the daemon that the balancer chooses. */
  readonly daemonIndex: number;
}

/** Rate, length and seed of a workload. */
export interface WorkloadOptions {
  readonly profile: DeploymentProfile;
  readonly seed: number;
  readonly durationMs: number;
  readonly requestsPerSecond: number;
}

/**
 * Creates the requests of a load; the same for the same options.
 *
 * @param options - Profile, seed, length and rate.
 * @example
 * ```ts
 * const requests = createWorkload({ profile: CRANK_WORKS, seed: 1, durationMs: 10_000, requestsPerSecond: 50 });
 * ```
 */
export function createWorkload(options: WorkloadOptions): PlannedRequest[] {
  const random = new SeededRandom(options.seed);
  const requests: PlannedRequest[] = [];
  let atMs = random.getArrivalGapMs(options.requestsPerSecond);
  while (atMs < options.durationMs) {
    requests.push(createRequest(options, random, {
      atMs,
      id: `s${options.seed}-${requests.length}`,
    }));
    atMs += random.getArrivalGapMs(options.requestsPerSecond);
  }
  return requests;
}

function createRequest(
  options: WorkloadOptions,
  random: SeededRandom,
  place: { atMs: number; id: string },
): PlannedRequest {
  const { profile } = options;
  const kind = random.chooseWeighted(profile.requests);
  return {
    ...place,
    kind: kind.kind,
    account: random.chooseWeighted(profile.accounts).name,
    content: createContent(kind, random, place.id),
    path: kind.path,
    slowReader: random.getFloat() < kind.slowReaders,
    deadlineMs: kind.deadlineMs,
    daemonIndex: random.getInteger(profile.daemons),
  };
}

function createContent(
  kind: ProfileRequest,
  random: SeededRandom,
  id: string,
): string {
  const [smallest, largest] = kind.outputTokens;
  const tokens = smallest + random.getInteger(largest - smallest + 1);
  return `${kind.prompt} tokens=${tokens} ${id}`;
}
