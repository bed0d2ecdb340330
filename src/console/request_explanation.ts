import type { TimelineEvent } from "../shared/timeline.ts";

/** Sentence that describes one event of a request. */
export interface ExplanationStep {
  readonly timeMs: number;
  readonly process: string;
  readonly sentence: string;
}

type EventFields = TimelineEvent["fields"];

/** Functions that format a sentence from the fields of an event, by event name. */
const SENTENCES_BY_EVENT: Readonly<
  Record<string, (fields: EventFields) => string>
> = {
  "request-received": (f) =>
    `The request of client account ${f.account} for ${
      f.model ?? f.service
    } was received.`,
  "request-refused": (f) =>
    `The request was refused with ${f.code}, verdict ${f.verdict}: ${f.message}.`,
  "request-failed": (f) =>
    `The request failed with ${f.code}, verdict ${f.verdict}: ${f.message}.`,
  "request-finished": (f) =>
    `The request ended after ${f.durationMs} ms${
      f.tokens === undefined ? "" : ` with ${f.tokens} tokens`
    }.`,
  "attempt-started": (f) =>
    `Attempt ${f.attempt} was sent to group ${f.group}, generation ${f.generation}, after ${
      f.resumedTokens ?? 0
    } tokens.`,
  "attempt-failed": (f) =>
    `Attempt ${f.attempt} on group ${f.group} failed: ${f.message}.`,
  "stream-moved": (f) =>
    `The stream was moved away from group ${f.group} after ${f.tokens} tokens: ${f.reason}.`,
  "stream-parked": (f) =>
    `The stream was parked after ${f.tokens} tokens because the caller was not reading it.`,
  "stream-resumed": (f) => `The stream was resumed after ${f.tokens} tokens.`,
  "claim-created": (f) => `The claim ${f.claim} was created for the call.`,
  "claim-found": (f) =>
    `A claim for the idempotency key already existed; its state is ${f.state}.`,
  "call-sent": (f) =>
    `The call was sent to the backend server at ${f.address}.`,
};

/**
 * Explains where a request was sent and why, with one sentence for each event.
 *
 * @param events - Events of the request in causal order.
 * @example
 * ```ts
 * const steps = renderExplanation(timeline.events);
 * ```
 */
export function renderExplanation(
  events: readonly TimelineEvent[],
): ExplanationStep[] {
  return events.map((event) => ({
    timeMs: event.timeMs,
    process: event.process,
    sentence: SENTENCES_BY_EVENT[event.event]?.(event.fields) ??
      formatEvent(event),
  }));
}

function formatEvent(event: TimelineEvent): string {
  const fields = Object.entries(event.fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key} ${value}`);
  return `${event.event}${fields.length > 0 ? `: ${fields.join(", ")}` : ""}.`;
}
