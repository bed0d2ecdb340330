import type {
  CandidateExplanation,
  RouteExplanation,
  RouteQuery,
} from "../../request/routed/route_explanation.ts";
import { type CommandContext, printResult } from "../command_context.ts";
import { EXIT_CODES } from "../exit_codes.ts";

/**
 * Prints where a daemon would send a request now, and why, without sending it.
 *
 * @param context - Context of the command; the daemon's URL is that of its metrics port.
 * @param query - Request to explain.
 */
export async function printRouteExplanation(
  context: CommandContext,
  query: RouteQuery,
): Promise<number> {
  const explanation = await context.client.getRouteExplanation(query);
  if (!context.json) {
    describeExplanation(explanation).forEach((line) =>
      context.output.write(line)
    );
  }
  printResult(context, {
    json: explanation,
    headings: [
      "service",
      "destination",
      "zone",
      "load",
      "speed",
      "share",
      "obstacles",
    ],
    rows: explanation.targets.flatMap(({ service, candidates }) =>
      candidates.map((candidate) => [service, ...formatCandidate(candidate)])
    ),
  });
  return explanation.refusal === undefined ? EXIT_CODES.ok : EXIT_CODES.refused;
}

function describeExplanation(explanation: RouteExplanation): string[] {
  const { daemon, zone, configVersion, refusal, route, priority, targets } =
    explanation;
  return [
    `As ${daemon} in ${zone} sees it, with version ${
      configVersion ?? "none"
    } of the configuration; other daemons may choose differently.`,
    ...(route === undefined ? [] : [
      `Route ${route.name} (${route.kind}), priority ${priority}, at most ${route.maxAttempts} servers, ${route.timeoutMs} ms.`,
    ]),
    ...(refusal === undefined ? [] : [`Refused: ${refusal}.`]),
    ...targets.map((target) =>
      `${target.service}: ${formatShare(target.share)} of the route, ${
        target.isAdmittedNow
          ? "sent at once"
          : `waits behind ${target.waitingRequests} requests`
      }${
        target.retryAfterMs === undefined
          ? ""
          : `, and if refused may retry after ${
            Math.ceil(target.retryAfterMs)
          } ms`
      }.`
    ),
  ];
}

function formatCandidate(
  { id, zone, load, slots, penalty, speed, share, obstacles }:
    CandidateExplanation,
): string[] {
  return [
    id,
    zone,
    `${load}/${slots}${penalty === 0 ? "" : ` +${penalty}`}`,
    formatShare(speed),
    formatShare(share),
    obstacles.join(", "),
  ];
}

function formatShare(share: number): string {
  return `${Math.round(share * 100)}%`;
}
