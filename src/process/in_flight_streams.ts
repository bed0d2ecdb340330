/** Streams in flight of this daemon, which move when a zone or group stops taking new work. */
export interface InFlightStreams {
  /**
   * Moves the streams of a zone's groups to groups of other zones, without cutting any.
   *
   * @param zone - Availability zone that stops taking new work.
   */
  moveStreamsFromZone(zone: string): void;
  /**
   * Moves the streams of a group to other groups, without cutting any.
   *
   * @param groupId - Group that stops taking new work.
   */
  moveStreamsFromGroup(groupId: string): void;
}

/** Lets all streams end where they run. */
export class NoInFlightStreams implements InFlightStreams {
  moveStreamsFromZone(): void {}

  moveStreamsFromGroup(): void {}
}
