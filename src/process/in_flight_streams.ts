/** Filter for streams. A criterion that is left out matches all streams. */
export interface StreamFilter {
  readonly zone?: string;
  readonly groupId?: string;
}

/** Chat stream in flight. */
export interface InFlightStream {
  readonly requestId: string;
  /** Hash of the model and the messages, which identifies the request in the quarantine list. */
  readonly fingerprint: string;
  /** Group that runs the stream, or undefined while it waits for one. */
  readonly groupId: string | undefined;
  /** Group to which the request was sent for a move and which has not begun to respond. */
  readonly moveGroupId?: string | undefined;
  readonly zone: string | undefined;
  /** Starts to move the stream to another group without interrupting the response; has no effect while the stream is being moved. */
  requestMove(): void;
}

/** Moves the streams in flight of this daemon when a zone or group stops accepting new work. */
export interface InFlightStreams {
  /**
   * Moves the streams of a zone's groups to groups of other zones without interrupting them. Each stream stays on its group until another group has capacity for it.
   *
   * @param zone - Availability zone that stops accepting new work.
   */
  moveStreamsFromZone(zone: string): void;
  /**
   * Moves the streams of a group to other groups without interrupting them. Each stream stays on its group until another group has capacity for it.
   *
   * @param groupId - Group that stops accepting new work.
   */
  moveStreamsFromGroup(groupId: string): void;
}

/** Registry of the streams in flight in one process. */
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
   * Gets the streams that match a filter.
   *
   * @param filter - Criteria that a stream has to match; defaults to none.
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
