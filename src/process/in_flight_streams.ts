/** Streams that a request for moving selects. */
export interface StreamFilter {
  readonly zone?: string;
  readonly groupId?: string;
}

/** Stream that is in flight. */
export interface InFlightStream {
  readonly requestId: string;
  readonly fingerprint: string;
  /** Group that runs the stream, or undefined while it waits for one. */
  readonly groupId: string | undefined;
  readonly zone: string | undefined;
  /** Moves the stream to another group without cutting it; has no effect while a move is under way. */
  requestMove(): void;
}

/** Streams in flight at this daemon. */
export interface InFlightStreams {
  /** Gets the streams that a filter selects; all with an empty filter. */
  getStreams(filter?: StreamFilter): InFlightStream[];
  /**
   * Asks for streams to be moved to other groups. Each stays on its group until another one has room.
   *
   * @param filter - Streams to move.
   * @returns The number of streams asked to move.
   */
  requestMove(filter: StreamFilter): number;
}

/** Registry of the streams of one process. */
export class InFlightStreamTable implements InFlightStreams {
  readonly #streams = new Set<InFlightStream>();

  /** Registers a stream. */
  add(stream: InFlightStream): void {
    this.#streams.add(stream);
  }

  /** Removes a stream that has ended. */
  remove(stream: InFlightStream): void {
    this.#streams.delete(stream);
  }

  getStreams(filter: StreamFilter = {}): InFlightStream[] {
    return [...this.#streams].filter((stream) =>
      (filter.zone === undefined || stream.zone === filter.zone) &&
      (filter.groupId === undefined || stream.groupId === filter.groupId)
    );
  }

  requestMove(filter: StreamFilter): number {
    const streams = this.getStreams(filter);
    streams.forEach((stream) => stream.requestMove());
    return streams.length;
  }
}
