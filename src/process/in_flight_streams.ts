/** Selects streams. */
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

/** Streams in flight of this daemon, which move when a zone or group stops taking new work. */
export interface InFlightStreams {
  /**
   * Moves the streams of a zone's groups to groups of other zones, without cutting any. Each stays on its group until another one has room.
   *
   * @param zone - Availability zone that stops taking new work.
   */
  moveStreamsFromZone(zone: string): void;
  /**
   * Moves the streams of a group to other groups, without cutting any. Each stays on its group until another one has room.
   *
   * @param groupId - Group that stops taking new work.
   */
  moveStreamsFromGroup(groupId: string): void;
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

  /**
   * Gets the streams that a filter selects.
   *
   * @param filter - Streams to select; all when left out.
   */
  getStreams(filter: StreamFilter = {}): InFlightStream[] {
    return [...this.#streams].filter((stream) =>
      (filter.zone === undefined || stream.zone === filter.zone) &&
      (filter.groupId === undefined || stream.groupId === filter.groupId)
    );
  }

  moveStreamsFromZone(zone: string): void {
    this.getStreams({ zone }).forEach((stream) => stream.requestMove());
  }

  moveStreamsFromGroup(groupId: string): void {
    this.getStreams({ groupId }).forEach((stream) => stream.requestMove());
  }
}
