/**
 * Waits on the runtime's clock, which tests can pause.
 *
 * @param durationMs - Time to wait in milliseconds.
 * @param signal - Ends the wait early.
 * @returns `true` after the full time, `false` when the signal ended the wait.
 * @example
 * ```ts
 * while (await delay(1_000, lifeCycle.signal)) {
 *   await refresh();
 * }
 * ```
 */
export function delay(
  durationMs: number,
  signal?: AbortSignal,
): Promise<boolean> {
  if (signal?.aborted) {
    return Promise.resolve(false);
  }
  return new Promise((resolve) => {
    const onAbort = () => {
      clearTimeout(timer);
      resolve(false);
    };
    const timer = setTimeout(() => {
      signal?.removeEventListener("abort", onAbort);
      resolve(true);
    }, durationMs);
    signal?.addEventListener("abort", onAbort, { once: true });
  });
}
