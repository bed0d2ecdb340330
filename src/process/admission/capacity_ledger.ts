import { addCapacity, type Capacity, NO_CAPACITY } from "./capacity.ts";

/** Capacity that one daemon has lent to another. */
export interface Loan {
  /** Identifier that the borrower chose. */
  readonly loanId: string;
  readonly groupId: string;
  /** Name of the other daemon: the borrower of a lent loan, the lender of a borrowed one. */
  readonly peer: string;
  /** Start id of the lender's process. */
  readonly lenderStartId: string;
  readonly capacity: Capacity;
  /** Monotonic time of the expiry, in milliseconds of `performance.now()`. */
  readonly expiresAtMs: number;
  /** Whether the lender is the group's first home, which counts the loan within the load that a cold group bears. */
  readonly firstHome: boolean;
  /** Whether the group was cold for the lender. */
  readonly cold: boolean;
  /** Monotonic time at which the loan began. */
  readonly grantedAtMs: number;
}

interface LedgerEntry {
  ownShare: Capacity;
  used: Capacity;
  readonly lent: Map<string, Loan>;
  readonly borrowed: Map<string, Loan>;
}

/** Counts own, lent, borrowed and used capacity of each group on one daemon. */
export class CapacityLedger {
  readonly #entryByGroup = new Map<string, LedgerEntry>();

  /** Sets the daemon's own share. Running requests and loans may exceed a share that shrinks; nothing new is admitted until they fit. */
  setOwnShare(groupId: string, ownShare: Capacity): void {
    this.#getEntry(groupId).ownShare = ownShare;
  }

  /** Gets the daemon's own share. */
  getOwnShare(groupId: string): Capacity {
    return this.#entryByGroup.get(groupId)?.ownShare ?? NO_CAPACITY;
  }

  /** Gets what the daemon's own requests use. */
  getUsedCapacity(groupId: string): Capacity {
    return this.#entryByGroup.get(groupId)?.used ?? NO_CAPACITY;
  }

  /** Gets what other daemons have borrowed from this one. */
  getLentCapacity(groupId: string): Capacity {
    return getTotalLoanCapacity(
      this.#entryByGroup.get(groupId)?.lent.values() ?? [],
    );
  }

  /** Gets the loans that this daemon holds. */
  getBorrowedLoans(groupId: string): Loan[] {
    return [...this.#entryByGroup.get(groupId)?.borrowed.values() ?? []];
  }

  /** Gets the groups with an account. */
  getGroupIds(): string[] {
    return [...this.#entryByGroup.keys()];
  }

  /**
   * Gets what is free for a request that may run until a time.
   *
   * @param groupId - Group to look up.
   * @param untilMs - Monotonic time until which the capacity is needed; a loan that expires earlier does not count.
   */
  getFreeCapacity(groupId: string, untilMs: number): Capacity {
    const entry = this.#entryByGroup.get(groupId);
    if (entry === undefined) {
      return NO_CAPACITY;
    }
    this.#dropExpiredLoans(entry);
    let { slots, tokens } = entry.ownShare;
    for (const loan of entry.borrowed.values()) {
      if (loan.expiresAtMs >= untilMs) {
        slots += loan.capacity.slots;
        tokens += loan.capacity.tokens;
      }
    }
    const lent = getTotalLoanCapacity(entry.lent.values());
    return {
      slots: slots - lent.slots - entry.used.slots,
      tokens: tokens - lent.tokens - entry.used.tokens,
    };
  }

  /**
   * Takes capacity for a request.
   *
   * @returns Whether enough was free.
   */
  tryAcquire(groupId: string, cost: Capacity, untilMs: number): boolean {
    const free = this.getFreeCapacity(groupId, untilMs);
    if (free.slots < cost.slots || free.tokens < cost.tokens) {
      return false;
    }
    const entry = this.#getEntry(groupId);
    entry.used = addCapacity(entry.used, cost);
    return true;
  }

  /** Gives the capacity of a request back. */
  release(groupId: string, cost: Capacity): void {
    const entry = this.#getEntry(groupId);
    entry.used = subtractCapacity(entry.used, cost);
  }

  /**
   * Lends free own capacity. Borrowed capacity is never lent on.
   *
   * @param loan - Loan with the capacity that is asked for.
   * @returns The loan with what was lent, or undefined when nothing was free.
   */
  lend(loan: Loan): Loan | undefined {
    const entry = this.#getEntry(loan.groupId);
    this.#dropExpiredLoans(entry);
    const existingLoan = entry.lent.get(loan.loanId);
    if (existingLoan !== undefined) {
      return existingLoan;
    }
    const lent = getTotalLoanCapacity(entry.lent.values());
    const slots = Math.min(
      loan.capacity.slots,
      entry.ownShare.slots - lent.slots - entry.used.slots,
    );
    const tokens = Math.min(
      loan.capacity.tokens,
      entry.ownShare.tokens - lent.tokens - entry.used.tokens,
    );
    const capacity = { slots: Math.max(0, slots), tokens: Math.max(0, tokens) };
    // Tokens without a wanted slot are of no use to the borrower and would stay locked up.
    const isUseless = capacity.slots === 0 &&
      (loan.capacity.slots > 0 || capacity.tokens === 0);
    if (isUseless) {
      return undefined;
    }
    const lentLoan = { ...loan, capacity };
    entry.lent.set(loan.loanId, lentLoan);
    return lentLoan;
  }

  /**
   * Takes note that the borrower has given a loan back.
   *
   * @returns The loan, or undefined when it was not known any more.
   */
  removeLentLoan(groupId: string, loanId: string): Loan | undefined {
    const lent = this.#entryByGroup.get(groupId)?.lent;
    const loan = lent?.get(loanId);
    lent?.delete(loanId);
    return loan;
  }

  /** Extends a loan that was lent. An expired loan is not revived. */
  updateLentExpiry(
    groupId: string,
    loanId: string,
    expiresAtMs: number,
  ): boolean {
    const entry = this.#getEntry(groupId);
    this.#dropExpiredLoans(entry);
    return updateLoanExpiry(entry.lent, loanId, expiresAtMs);
  }

  /** Adds capacity that another daemon lent. */
  addBorrowedLoan(loan: Loan): void {
    this.#getEntry(loan.groupId).borrowed.set(loan.loanId, loan);
  }

  /** Takes note that the lender extended a loan. */
  updateBorrowedExpiry(
    groupId: string,
    loanId: string,
    expiresAtMs: number,
  ): void {
    updateLoanExpiry(this.#getEntry(groupId).borrowed, loanId, expiresAtMs);
  }

  /**
   * Gives a borrowed loan up when the rest covers what is used and lent.
   *
   * @returns The loan to repay, or undefined when it is in use.
   */
  tryRemoveBorrowedLoan(groupId: string, loanId: string): Loan | undefined {
    const entry = this.#getEntry(groupId);
    const loan = entry.borrowed.get(loanId);
    const free = this.getFreeCapacity(groupId, Number.NEGATIVE_INFINITY);
    const isCovered = loan !== undefined && free.slots >= loan.capacity.slots &&
      free.tokens >= loan.capacity.tokens;
    if (!isCovered) {
      return undefined;
    }
    entry.borrowed.delete(loanId);
    return loan;
  }

  /** Gets whether more is used and lent than the daemon owns and has borrowed. */
  isOvercommitted(groupId: string): boolean {
    const free = this.getFreeCapacity(groupId, Number.NEGATIVE_INFINITY);
    return free.slots < 0 || free.tokens < 0;
  }

  #dropExpiredLoans(entry: LedgerEntry): void {
    const now = performance.now();
    for (const loans of [entry.lent, entry.borrowed]) {
      for (const [id, loan] of loans) {
        if (loan.expiresAtMs <= now) {
          loans.delete(id);
        }
      }
    }
  }

  #getEntry(groupId: string): LedgerEntry {
    let entry = this.#entryByGroup.get(groupId);
    if (entry === undefined) {
      entry = {
        ownShare: NO_CAPACITY,
        used: NO_CAPACITY,
        lent: new Map(),
        borrowed: new Map(),
      };
      this.#entryByGroup.set(groupId, entry);
    }
    return entry;
  }
}

function getTotalLoanCapacity(loans: Iterable<Loan>): Capacity {
  let slots = 0;
  let tokens = 0;
  for (const loan of loans) {
    slots += loan.capacity.slots;
    tokens += loan.capacity.tokens;
  }
  return { slots, tokens };
}

function subtractCapacity(a: Capacity, b: Capacity): Capacity {
  return { slots: a.slots - b.slots, tokens: a.tokens - b.tokens };
}

function updateLoanExpiry(
  loans: Map<string, Loan>,
  loanId: string,
  expiresAtMs: number,
): boolean {
  const loan = loans.get(loanId);
  if (loan === undefined) {
    return false;
  }
  loans.set(loanId, {
    ...loan,
    expiresAtMs: Math.max(loan.expiresAtMs, expiresAtMs),
  });
  return true;
}
