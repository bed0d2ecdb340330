/** One event of the timeline. */
export interface TimelineEvent {
  /** Wall clock of the process, in milliseconds since the epoch. */
  readonly timeMs: number;
  /** Hybrid logical timestamp in microseconds: close to the wall clock, and later than every event that caused this one. */
  readonly lamport: number;
  /** Name of the process. */
  readonly process: string;
  /** Name of the event, in kebab case. */
  readonly event: string;
  /** Request that the event belongs to, if any. */
  readonly requestId?: string;
  /** Further fields. */
  readonly fields: Readonly<
    Record<string, string | number | boolean | null | undefined>
  >;
}

/** Fields of a new event of the timeline. */
export interface TimelineEventInput {
  readonly event: string;
  readonly requestId?: string;
  readonly fields?: TimelineEvent["fields"];
}

const MICROSECONDS_PER_MS = 1_000;

/**
 * Records the events of one process in a bounded buffer, with hybrid logical timestamps.
 *
 * The timestamps order causally related events of all processes and stay near the wall clock, so that unrelated events of a busy and an idle process are not far apart. See Kulkarni et al., "Logical Physical Clocks", 2014.
 */
export class Timeline {
  readonly #process: string;
  readonly #capacity: number;
  readonly #events: TimelineEvent[] = [];
  #lamport = 0;

  constructor(process: string, capacity = 4_096) {
    this.#process = process;
    this.#capacity = capacity;
  }

  /** Gets the current logical timestamp, which messages to other processes carry. */
  getLamport(): number {
    return this.#lamport;
  }

  /**
   * Merges the logical timestamp that a message carried.
   *
   * @param lamport - Timestamp of the sender.
   */
  mergeLamport(lamport: number): void {
    this.#lamport = Math.max(this.#lamport, lamport) + 1;
  }

  /**
   * Records an event. The oldest events are dropped when the buffer is full.
   *
   * @param input - Fields of the event.
   */
  record(input: TimelineEventInput): void {
    this.#lamport = Math.max(
      this.#lamport + 1,
      Date.now() * MICROSECONDS_PER_MS,
    );
    this.#events.push({
      timeMs: Date.now(),
      lamport: this.#lamport,
      process: this.#process,
      event: input.event,
      requestId: input.requestId,
      fields: input.fields ?? {},
    });
    // Trims in blocks, so that recording into a full buffer takes amortised constant time.
    if (this.#events.length > this.#capacity * 1.25) {
      this.#events.splice(0, this.#events.length - this.#capacity);
    }
  }

  /**
   * Gets the recorded events, oldest first.
   *
   * @param filter - Limits the events to one request.
   */
  getEvents(filter: { requestId?: string } = {}): TimelineEvent[] {
    const events = filter.requestId === undefined
      ? this.#events
      : this.#events.filter((event) => event.requestId === filter.requestId);
    return events.slice(-this.#capacity);
  }
}
