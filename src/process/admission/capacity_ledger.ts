import { addCapacity, type Capacity, NO_CAPACITY } from "./capacity.ts";

/** Capacity that one daemon has lent to another. */
export interface Loan {
  /** Unique identifier, assigned by the borrower. */
  readonly loanId: string;
  readonly groupId: string;
  /** Name of the other daemon: the borrower of a lent loan, the lender of a borrowed one. */
  readonly peer: string;
  /** Start id of the lender's process. */
  readonly lenderStartId: string;
  readonly capacity: Capacity;
  /** Monotonic time of the expiry, in milliseconds of `performance.now()`. */
  readonly expiresAtMs: number;
  /** Whether the lender was the group's first home, which counts the loan towards the warm-up limit of a cold group. */
  readonly firstHome: boolean;
  /** Whether the lender considered the group cold when it granted the loan. */
  readonly cold: boolean;
  /** Monotonic time at which the loan was granted, in milliseconds of `performance.now()`. */
  readonly grantedAtMs: number;
}

/** Capacity of one group on this daemon; loans by loan id. */
interface LedgerEntry {
  ownShare: Capacity;
  usedCapacity: Capacity;
  readonly lentLoans: Map<string, Loan>;
  readonly borrowedLoans: Map<string, Loan>;
}

/** Tracks the own, lent, borrowed and used capacity of each group on one daemon. */
export class CapacityLedger {
  readonly #entryByGroup = new Map<string, LedgerEntry>();

  /** Sets the daemon's own share. Running requests and lent loans may exceed a reduced share; no new ones are admitted until they fit into it. */
  setOwnShare(groupId: string, ownShare: Capacity): void {
    this.#getEntry(groupId).ownShare = ownShare;
  }

  /** Gets the daemon's own share. */
  getOwnShare(groupId: string): Capacity {
    return this.#entryByGroup.get(groupId)?.ownShare ?? NO_CAPACITY;
  }

  /** Gets the capacity that the daemon's own requests use. */
  getUsedCapacity(groupId: string): Capacity {
    return this.#entryByGroup.get(groupId)?.usedCapacity ?? NO_CAPACITY;
  }

  /** Gets the capacity that other daemons have borrowed from this one. */
  getLentCapacity(groupId: string): Capacity {
    return getTotalLoanCapacity(
      this.#entryByGroup.get(groupId)?.lentLoans.values() ?? [],
    );
  }

  /** Gets the loans that this daemon has borrowed. */
  getBorrowedLoans(groupId: string): Loan[] {
    return [...this.#entryByGroup.get(groupId)?.borrowedLoans.values() ?? []];
  }

  /** Gets the ids of the groups in the ledger. */
  getGroupIds(): string[] {
    return [...this.#entryByGroup.keys()];
  }

  /**
   * Gets the capacity that is free for a request. Values are negative when the group is overcommitted.
   *
   * @param groupId - Group to look up.
   * @param untilMs - Monotonic time until which the capacity is needed. Borrowed loans that expire earlier are not counted.
   */
  getFreeCapacity(groupId: string, untilMs: number): Capacity {
    const entry = this.#entryByGroup.get(groupId);
    if (entry === undefined) {
      return NO_CAPACITY;
    }
    this.#dropExpiredLoans(entry);
    let { slots, tokens } = entry.ownShare;
    for (const loan of entry.borrowedLoans.values()) {
      if (loan.expiresAtMs >= untilMs) {
        slots += loan.capacity.slots;
        tokens += loan.capacity.tokens;
      }
    }
    const lentCapacity = getTotalLoanCapacity(entry.lentLoans.values());
    return {
      slots: slots - lentCapacity.slots - entry.usedCapacity.slots,
      tokens: tokens - lentCapacity.tokens - entry.usedCapacity.tokens,
    };
  }

  /**
   * Acquires capacity for a request.
   *
   * @returns Whether enough capacity was free.
   */
  tryAcquire(groupId: string, cost: Capacity, untilMs: number): boolean {
    const freeCapacity = this.getFreeCapacity(groupId, untilMs);
    if (freeCapacity.slots < cost.slots || freeCapacity.tokens < cost.tokens) {
      return false;
    }
    const entry = this.#getEntry(groupId);
    entry.usedCapacity = addCapacity(entry.usedCapacity, cost);
    return true;
  }

  /** Releases the capacity of a request. */
  release(groupId: string, cost: Capacity): void {
    const entry = this.#getEntry(groupId);
    entry.usedCapacity = subtractCapacity(entry.usedCapacity, cost);
  }

  /**
   * Lends free capacity of the daemon's own share. Borrowed capacity is never lent to a third daemon. A repeated request for the same loan returns the existing loan.
   *
   * @param loan - Loan with the requested capacity.
   * @returns The loan with the granted capacity, which may be less than requested, or undefined when none was free.
   */
  lend(loan: Loan): Loan | undefined {
    const entry = this.#getEntry(loan.groupId);
    this.#dropExpiredLoans(entry);
    const existingLoan = entry.lentLoans.get(loan.loanId);
    if (existingLoan !== undefined) {
      return existingLoan;
    }
    const lentCapacity = getTotalLoanCapacity(entry.lentLoans.values());
    const slots = Math.min(
      loan.capacity.slots,
      entry.ownShare.slots - lentCapacity.slots - entry.usedCapacity.slots,
    );
    const tokens = Math.min(
      loan.capacity.tokens,
      entry.ownShare.tokens - lentCapacity.tokens - entry.usedCapacity.tokens,
    );
    const capacity = { slots: Math.max(0, slots), tokens: Math.max(0, tokens) };
    // A borrower that requested slots cannot use tokens without a slot; lending them would only withhold them from other requests.
    const isUnusable = capacity.slots === 0 &&
      (loan.capacity.slots > 0 || capacity.tokens === 0);
    if (isUnusable) {
      return undefined;
    }
    const lentLoan = { ...loan, capacity };
    entry.lentLoans.set(loan.loanId, lentLoan);
    return lentLoan;
  }

  /**
   * Removes a lent loan that the borrower has repaid.
   *
   * @returns The loan, or undefined when it is unknown, for example because it has expired.
   */
  removeLentLoan(groupId: string, loanId: string): Loan | undefined {
    const lentLoans = this.#entryByGroup.get(groupId)?.lentLoans;
    const loan = lentLoans?.get(loanId);
    lentLoans?.delete(loanId);
    return loan;
  }

  /**
   * Extends a lent loan. Expired loans cannot be extended.
   *
   * @returns Whether the loan was extended.
   */
  updateLentExpiry(
    groupId: string,
    loanId: string,
    expiresAtMs: number,
  ): boolean {
    const entry = this.#getEntry(groupId);
    this.#dropExpiredLoans(entry);
    return updateLoanExpiry(entry.lentLoans, loanId, expiresAtMs);
  }

  /** Adds a loan that another daemon has granted. */
  addBorrowedLoan(loan: Loan): void {
    this.#getEntry(loan.groupId).borrowedLoans.set(loan.loanId, loan);
  }

  /** Updates the expiry of a borrowed loan that the lender has extended. */
  updateBorrowedExpiry(
    groupId: string,
    loanId: string,
    expiresAtMs: number,
  ): void {
    updateLoanExpiry(
      this.#getEntry(groupId).borrowedLoans,
      loanId,
      expiresAtMs,
    );
  }

  /**
   * Removes a borrowed loan if the remaining capacity covers the used and lent capacity.
   *
   * @returns The loan to repay, or undefined when it is in use or unknown.
   */
  tryRemoveBorrowedLoan(groupId: string, loanId: string): Loan | undefined {
    const entry = this.#getEntry(groupId);
    const loan = entry.borrowedLoans.get(loanId);
    const freeCapacity = this.getFreeCapacity(
      groupId,
      Number.NEGATIVE_INFINITY,
    );
    const isCovered = loan !== undefined &&
      freeCapacity.slots >= loan.capacity.slots &&
      freeCapacity.tokens >= loan.capacity.tokens;
    if (!isCovered) {
      return undefined;
    }
    entry.borrowedLoans.delete(loanId);
    return loan;
  }

  /** Gets whether the used and lent capacity exceeds the owned and borrowed capacity. */
  isOvercommitted(groupId: string): boolean {
    const freeCapacity = this.getFreeCapacity(
      groupId,
      Number.NEGATIVE_INFINITY,
    );
    return freeCapacity.slots < 0 || freeCapacity.tokens < 0;
  }

  #dropExpiredLoans(entry: LedgerEntry): void {
    const now = performance.now();
    for (const loans of [entry.lentLoans, entry.borrowedLoans]) {
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
        usedCapacity: NO_CAPACITY,
        lentLoans: new Map(),
        borrowedLoans: new Map(),
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
