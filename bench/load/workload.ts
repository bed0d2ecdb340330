import type {
  DeploymentProfile,
  ProfileRequest,
} from "./deployment_profile.ts";
import { SeededRandom } from "./seeded_random.ts";

/** One request of a workload. */
export interface PlannedRequest {
  readonly id: string;
  /** Time from the start of the load until the request is sent, in milliseconds. */
  readonly atMs: number;
  readonly kind: "chat" | "call";
  readonly account: string;
  /** Message of a chat. */
  readonly content: string;
  /** Path of a call. */
  readonly path: string;
  readonly isSlowReader: boolean;
  readonly deadlineMs: number;
  /** Index of the daemon that receives the request, modulo the number of daemons that receive requests. */
  readonly daemonIndex: number;
}

/** Profile, seed, duration and request rate of a workload. */
export interface WorkloadOptions {
  readonly profile: DeploymentProfile;
  readonly seed: number;
  readonly durationMs: number;
  readonly requestsPerSecond: number;
}

/**
 * Creates the requests of a load. Equal options give equal requests.
 *
 * @param options - Profile, seed, duration and request rate.
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
  arrival: { atMs: number; id: string },
): PlannedRequest {
  const { profile } = options;
  const requestProfile = random.chooseWeighted(profile.requests);
  return {
    ...arrival,
    kind: requestProfile.kind,
    account: random.chooseWeighted(profile.accounts).name,
    content: createContent(requestProfile, random, arrival.id),
    path: requestProfile.path,
    isSlowReader: random.getFloat() < requestProfile.slowReaderShare,
    deadlineMs: requestProfile.deadlineMs,
    daemonIndex: random.getInteger(profile.daemons),
  };
}

function createContent(
  requestProfile: ProfileRequest,
  random: SeededRandom,
  id: string,
): string {
  const [minOutputTokens, maxOutputTokens] = requestProfile.outputTokens;
  const tokens = minOutputTokens +
    random.getInteger(maxOutputTokens - minOutputTokens + 1);
  return `${requestProfile.prompt} tokens=${tokens} ${id}`;
}
