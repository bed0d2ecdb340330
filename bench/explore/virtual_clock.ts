import type { Disposable } from "../../src/shared/life_cycle_manager.ts";

/** Wall-clock time at the monotonic time 0, in milliseconds. */
const EPOCH_MS = 1_800_000_000_000;
/** Monotonic time at the start, in milliseconds. */
const START_MS = 1_000;
/** Owner of the timers that belong to no simulated process. */
const WORLD_OWNER = "world";

const runtime = {
  setImmediate,
  setTimeout,
  clearTimeout,
  setInterval,
  clearInterval,
  dateNow: Date.now,
};

/** Handle of a timer, as the runtime returns it. */
class VirtualTimer {
  readonly owner: string;
  readonly callback: () => void;
  readonly intervalMs: number | undefined;
  dueAtMs: number;

  constructor(options: {
    owner: string;
    callback: () => void;
    intervalMs?: number;
    dueAtMs: number;
  }) {
    this.owner = options.owner;
    this.callback = options.callback;
    this.intervalMs = options.intervalMs;
    this.dueAtMs = options.dueAtMs;
  }

  /** Does nothing: virtual timers keep no process running. */
  readonly unref = (): this => this;
  readonly ref = (): this => this;
}

/**
 * Replaces the timers and clocks of the runtime by ones that stand still until they are moved on. Each timer belongs to the simulated process that set it, so that one process can be paused while the others continue.
 *
 * A timer callback and all promise reactions that it causes have ended before the next timer runs, so a run depends on nothing but its inputs.
 */
export class VirtualClock implements Disposable {
  #nowMs = START_MS;
  #owner = WORLD_OWNER;
  /** Timers in the order in which they are due. */
  #timers: VirtualTimer[] = [];
  readonly #pausedOwners = new Set<string>();

  /** Replaces the timers and clocks of the runtime. */
  start(): void {
    Object.assign(globalThis, {
      setTimeout: (callback: () => void, delayMs = 0) =>
        this.#addTimer(callback, { delayMs }),
      setInterval: (callback: () => void, intervalMs = 0) =>
        this.#addTimer(callback, { delayMs: intervalMs, intervalMs }),
      clearTimeout: (timer: unknown) => this.#removeTimer(timer),
      clearInterval: (timer: unknown) => this.#removeTimer(timer),
    });
    Date.now = () => EPOCH_MS + this.#nowMs;
    performance.now = () => this.#nowMs;
  }

  /** Restores the timers and clocks of the runtime. */
  dispose(): void {
    const { setTimeout, clearTimeout, setInterval, clearInterval } = runtime;
    Object.assign(globalThis, {
      setTimeout,
      clearTimeout,
      setInterval,
      clearInterval,
    });
    Date.now = runtime.dateNow;
    // The runtime's function is a property of the prototype.
    Reflect.deleteProperty(performance, "now");
    this.#timers = [];
  }

  /** Gets the monotonic time in milliseconds. */
  getTimeMs(): number {
    return this.#nowMs;
  }

  /** Runs a function so that the timers which it sets belong to a process. */
  runAs(owner: string, run: () => void): void {
    const previousOwner = this.#owner;
    this.#owner = owner;
    run();
    this.#owner = previousOwner;
  }

  /** Calls a function as a process after a time. A paused process receives the call once it has been resumed. */
  scheduleAs(owner: string, delayMs: number, callback: () => void): void {
    this.runAs(owner, () => this.#addTimer(callback, { delayMs }));
  }

  /** Holds back the timers of a process. */
  pause(owner: string): void {
    this.#pausedOwners.add(owner);
  }

  /** Lets the timers of a process run again, first those that have become due. */
  resume(owner: string): void {
    this.#pausedOwners.delete(owner);
  }

  /** Gets whether the timers of a process are held back. */
  isPaused(owner: string): boolean {
    return this.#pausedOwners.has(owner);
  }

  /** Removes the timers of a process that has ended. */
  removeOwner(owner: string): void {
    this.#timers = this.#timers.filter((timer) => timer.owner !== owner);
    this.#pausedOwners.delete(owner);
  }

  /** Runs all timers that are due up to a time, and sets the clock to it. */
  async runUntil(endMs: number): Promise<void> {
    await waitForReactions();
    for (
      let timer = this.#takeNext(endMs);
      timer !== undefined;
      timer = this.#takeNext(endMs)
    ) {
      this.#nowMs = Math.max(this.#nowMs, timer.dueAtMs);
      this.#owner = timer.owner;
      timer.callback();
      await waitForReactions();
      this.#owner = WORLD_OWNER;
    }
    this.#nowMs = Math.max(this.#nowMs, endMs);
  }

  #takeNext(endMs: number): VirtualTimer | undefined {
    const index = this.#timers.findIndex(({ owner }) =>
      !this.#pausedOwners.has(owner)
    );
    const timer = this.#timers[index];
    if (timer === undefined || timer.dueAtMs > endMs) {
      return undefined;
    }
    this.#timers.splice(index, 1);
    if (timer.intervalMs !== undefined) {
      timer.dueAtMs = Math.max(this.#nowMs, timer.dueAtMs) + timer.intervalMs;
      this.#addInOrder(timer);
    }
    return timer;
  }

  #addTimer(
    callback: () => void,
    { delayMs, intervalMs }: { delayMs: number; intervalMs?: number },
  ): VirtualTimer {
    const timer = new VirtualTimer({
      owner: this.#owner,
      callback,
      intervalMs,
      dueAtMs: this.#nowMs + Math.max(1, delayMs),
    });
    this.#addInOrder(timer);
    return timer;
  }

  #addInOrder(timer: VirtualTimer): void {
    const index = this.#timers.findLastIndex(({ dueAtMs }) =>
      dueAtMs <= timer.dueAtMs
    );
    this.#timers.splice(index + 1, 0, timer);
  }

  #removeTimer(timer: unknown): void {
    const index = this.#timers.indexOf(timer as VirtualTimer);
    if (index >= 0) {
      this.#timers.splice(index, 1);
    }
  }
}

/** Waits until no promise reaction is left. */
function waitForReactions(): Promise<void> {
  return new Promise((resolve) => runtime.setImmediate(resolve));
}
