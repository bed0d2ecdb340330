import { Buffer } from "node:buffer";

const LINE_FEED = 0x0a;
const EVENT_ID_PATTERN = /^id: ?(\d+)\r?$/m;

/** Whole event of a streamed answer. */
export interface ServerSentEvent {
  /** Id of the event; undefined where it has none. */
  readonly id?: number;
  /** Bytes as they arrived, with the blank line at the end. */
  readonly bytes: Buffer;
}

/** Splits a streamed answer into whole events, so that an answer that breaks inside an event can continue after the last whole one. */
export class ServerSentEventParser {
  #remainder: Buffer = Buffer.alloc(0);

  /** Gets whether the bytes read so far end inside an event. */
  get hasPartialEvent(): boolean {
    return this.#remainder.length > 0;
  }

  /**
   * Adds bytes and takes the events that they complete.
   *
   * @param chunk - Bytes as they arrived.
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
    return events;
  }
}

/** Finds the position after the next blank line. */
function findEventEnd(bytes: Buffer, start: number): number {
  let position = bytes.indexOf(LINE_FEED, start);
  while (position >= 0) {
    const next = bytes[position + 1] === 0x0d ? position + 2 : position + 1;
    if (bytes[next] === LINE_FEED) {
      return next + 1;
    }
    position = bytes.indexOf(LINE_FEED, position + 1);
  }
  return -1;
}

function createEvent(bytes: Buffer): ServerSentEvent {
  const id = EVENT_ID_PATTERN.exec(bytes.toString("latin1"))?.[1];
  return id === undefined ? { bytes } : { id: Number(id), bytes };
}
