/** Share of the drain notice after which a list of servers that the store has not confirmed counts as old. The rest remains for reading the list. */
const MAX_LIST_AGE_SHARE = 0.55;
/** Share of the maximum age of the list after which the first hub of a zone reads the store, before the other daemons do. */
const FIRST_HUB_AGE_SHARE = 0.75;
/** Share of the drain notice after which a member reads the store although it has a hub. Its hub reads the store before, or takes the list from another hub, so that this is needed only when the store is out of reach for all of them. The rest remains for reading the list. */
const MEMBER_LIST_AGE_SHARE = 0.75;
/** Share of the maximum age of the list after which a watch on the servers returns without changes, so that its response confirms the list in time. */
const WATCH_TIMEOUT_SHARE = 0.3;

/** Role of a daemon towards the list of servers. */
export type ListReaderRole = "first-hub" | "hub" | "member";

/**
 * Gets the age of the list of servers above which a daemon reads the store itself, in milliseconds.
 *
 * Each limit leaves the time for reading the list before the drain notice ends. A daemon without partners, or whose hub is lost, has the limit of a hub.
 *
 * @param role - Role of the daemon; `member` only while it is linked with a hub.
 * @param drainNoticeMs - Time within which every daemon has to know that a server drains, in milliseconds.
 * @example
 * ```ts
 * getMaxListAgeMs("hub", 3_000); // 1650
 * ```
 */
export function getMaxListAgeMs(
  role: ListReaderRole,
  drainNoticeMs: number,
): number {
  switch (role) {
    case "first-hub":
      return drainNoticeMs * MAX_LIST_AGE_SHARE * FIRST_HUB_AGE_SHARE;
    case "hub":
      return drainNoticeMs * MAX_LIST_AGE_SHARE;
    case "member":
      return drainNoticeMs * MEMBER_LIST_AGE_SHARE;
  }
}

/** Gets the time after which a watch on the servers returns without changes, in milliseconds. */
export function getListWatchTimeoutMs(drainNoticeMs: number): number {
  return Math.round(
    drainNoticeMs * MAX_LIST_AGE_SHARE * WATCH_TIMEOUT_SHARE,
  );
}
