/** Part of a waiting request that its place depends on. */
export interface OrderedRequest {
  /** Priority level; 0 is the most urgent. */
  readonly priority: number;
  /** Whether the caller was refused and has returned at the time that it was told; defaults to false. */
  readonly isReturning?: boolean;
  /** Monotonic time by which a slot must be granted for the first event to meet the latency objective, in milliseconds. */
  readonly latencyDeadlineMs: number;
}

/**
 * Sorts waiting requests by priority, then those that can still meet the latency objective before the late ones. Those that can be on time are sorted by arrival with the newest first, the late ones with the oldest first. In both, callers that return after a refusal at the time that they were told come first, with the oldest first; those that return too early, whose deadline is infinitely early, come last.
 *
 * While requests exceed the free slots, the oldest of those that can be on time is always about to be late: its slot comes just before `latencyDeadlineMs`, and any delay that the estimate of the first event leaves out makes it late. The newest has the most time left. The late ones get the remaining slots.
 *
 * @param waiters - Waiting requests in order of arrival.
 * @param nowMs - Monotonic time in milliseconds.
 */
export function sortWaiters<
  T extends { readonly request: OrderedRequest },
>(
  waiters: readonly T[],
  nowMs: number,
): T[] {
  const isLate = ({ request }: T) => request.latencyDeadlineMs < nowMs;
  const isEarly = ({ request }: T) =>
    !Number.isFinite(request.latencyDeadlineMs);
  const isReturning = ({ request }: T) => request.isReturning === true;
  const punctualWaiters = waiters.filter((waiter) => !isLate(waiter));
  const lateWaiters = waiters.filter(isLate);
  const sortedWaiters = [
    ...punctualWaiters.filter(isReturning),
    ...punctualWaiters.filter((waiter) => !isReturning(waiter)).reverse(),
    ...lateWaiters.filter(isReturning),
    ...lateWaiters.filter((waiter) => !isReturning(waiter) && !isEarly(waiter)),
    ...lateWaiters.filter(isEarly),
  ];
  return sortedWaiters.sort((a, b) => a.request.priority - b.request.priority);
}
