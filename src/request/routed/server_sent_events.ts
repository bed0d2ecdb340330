import { Buffer } from "node:buffer";
import { BackendError } from "../../connection/backend_transport.ts";

const LINE_FEED = 0x0a;
/** Maximum size of an event, in bytes. */
const MAX_EVENT_BYTES = 262_144;
const EVENT_ID_PATTERN = /^id: ?(\d+)\r?$/m;

/** Complete server-sent event of a streamed response. */
export interface ServerSentEvent {
  /** Numeric id of the event, or undefined when it has none. */
  readonly id?: number;
  /** Unmodified bytes of the event, including the blank line at the end. */
  readonly bytes: Buffer;
}

/** Splits a streamed response into complete server-sent events, so that a response that breaks off inside an event can be resumed after the last complete one. */
export class ServerSentEventParser {
  #remainder: Buffer = Buffer.alloc(0);

  /** Whether the bytes parsed so far end inside an event. */
  get hasPartialEvent(): boolean {
    return this.#remainder.length > 0;
  }

  /**
   * Parses a chunk and returns the events that it completes.
   *
   * @param chunk - Next bytes of the response.
   * @throws {BackendError} When an event is larger than `MAX_EVENT_BYTES`.
   */
  push(chunk: Buffer): ServerSentEvent[] {
    const bytes = this.#remainder.length === 0
      ? chunk
      : Buffer.concat([this.#remainder, chunk]);
    const events: ServerSentEvent[] = [];
    let start = 0;
    for (
      let end = findEventEnd(bytes, 0);
      end > 0;
      end = findEventEnd(bytes, start)
    ) {
      events.push(createEvent(bytes.subarray(start, end)));
      start = end;
    }
    this.#remainder = bytes.subarray(start);
    if (this.#remainder.length > MAX_EVENT_BYTES) {
      throw new BackendError(
        `An event of the stream is larger than ${MAX_EVENT_BYTES} bytes`,
        { kind: "invalid", verdict: "may-have-run" },
      );
    }
    return events;
  }
}

/** Returns the position after the next blank line, or -1 when there is none. */
function findEventEnd(bytes: Buffer, start: number): number {
  let position = bytes.indexOf(LINE_FEED, start);
  while (position >= 0) {
    const lineEnd = bytes[position + 1] === 0x0d ? position + 2 : position + 1;
    if (bytes[lineEnd] === LINE_FEED) {
      return lineEnd + 1;
    }
    position = bytes.indexOf(LINE_FEED, position + 1);
  }
  return -1;
}

function createEvent(bytes: Buffer): ServerSentEvent {
  const id = EVENT_ID_PATTERN.exec(bytes.toString("latin1"))?.[1];
  return id === undefined ? { bytes } : { id: Number(id), bytes };
}
