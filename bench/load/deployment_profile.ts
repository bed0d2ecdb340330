/** Client account of a profile, weighted by its share of the requests. */
export interface ProfileAccount {
  readonly name: string;
  readonly weight: number;
}

/** Kind of request that a profile generates, with its weight. */
export interface ProfileRequest {
  readonly weight: number;
  readonly kind: "chat" | "call";
  /** Smallest and largest output of a chat, in tokens. */
  readonly outputTokens: readonly [number, number];
  /** Prefix that the prompts of this kind share, so that engines can cache it. */
  readonly prompt: string;
  /** Path of a call. */
  readonly path: string;
  /** Share of the requests whose caller reads the response slowly, from 0 to 1. */
  readonly slowReaderShare: number;
  /** Deadline in milliseconds. */
  readonly deadlineMs: number;
}

/** Size and request mix of a production deployment. */
export interface DeploymentProfile {
  readonly name: "crank-works" | "baleworks";
  readonly zones: readonly string[];
  readonly daemons: number;
  readonly enginesPerZone: number;
  readonly groupSizeVms: number;
  readonly slotsPerGroup: number;
  readonly accounts: readonly ProfileAccount[];
  readonly requests: readonly ProfileRequest[];
}

const LARGE_AND_SMALL_ACCOUNTS: readonly ProfileAccount[] = [
  { name: "account-1", weight: 30 },
  { name: "account-2", weight: 25 },
  { name: "account-3", weight: 15 },
  ...Array.from(
    { length: 7 },
    (_, index) => ({ name: `account-${index + 4}`, weight: 4 }),
  ),
];

/** Request mix of workshops, hotels and homes: diagnoses, quotes, summaries and booked visits. */
export const CRANK_WORKS: DeploymentProfile = {
  name: "crank-works",
  zones: ["zone-a", "zone-b", "zone-c"],
  daemons: 7,
  enginesPerZone: 20,
  groupSizeVms: 4,
  slotsPerGroup: 8,
  accounts: LARGE_AND_SMALL_ACCOUNTS,
  requests: [
    createChat(45, [30, 90], "Diagnose the worn gearbox from these notes.", 0),
    createChat(20, [60, 160], "Draft a repair quote for the awning.", 0.02),
    createChat(10, [80, 200], "Summarise the manual of the crank.", 0.02),
    createCall(15, "/visits"),
    createCall(10, "/status"),
  ],
};

/** Request mix of scrap yards: tickets at the gate and summaries at the end of a shift. */
export const BALEWORKS: DeploymentProfile = {
  name: "baleworks",
  zones: ["zone-a", "zone-b", "zone-c"],
  daemons: 7,
  enginesPerZone: 20,
  groupSizeVms: 4,
  slotsPerGroup: 8,
  accounts: LARGE_AND_SMALL_ACCOUNTS,
  requests: [
    createChat(40, [80, 200], "Summarise the shift of the yard.", 0.15),
    createChat(15, [30, 90], "Explain the ticket to the driver.", 0.3),
    createCall(30, "/visits"),
    createCall(15, "/status"),
  ],
};

function createChat(
  weight: number,
  outputTokens: readonly [number, number],
  prompt: string,
  slowReaderShare: number,
): ProfileRequest {
  return {
    weight,
    kind: "chat",
    outputTokens,
    prompt,
    path: "",
    slowReaderShare,
    deadlineMs: 20_000,
  };
}

function createCall(weight: number, path: string): ProfileRequest {
  return {
    weight,
    kind: "call",
    outputTokens: [0, 0],
    prompt: "",
    path,
    slowReaderShare: 0,
    deadlineMs: 5_000,
  };
}
