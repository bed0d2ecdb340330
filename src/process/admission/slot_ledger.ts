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
  readonly sinceMs: number;
}

interface GroupAccount {
  own: Capacity;
  used: Capacity;
  readonly lent: Map<string, Loan>;
  readonly borrowed: Map<string, Loan>;
}

/** Counts own, lent, borrowed and used capacity of each group on one daemon. */
export class SlotLedger {
  readonly #groups = new Map<string, GroupAccount>();

  /** Sets the daemon's own share. Running requests and loans may exceed a share that shrinks; nothing new is admitted until they fit. */
  setOwn(groupId: string, own: Capacity): void {
    this.#getAccount(groupId).own = own;
  }

  /** Gets the daemon's own share. */
  getOwn(groupId: string): Capacity {
    return this.#groups.get(groupId)?.own ?? NO_CAPACITY;
  }

  /** Gets what the daemon's own requests use. */
  getUsed(groupId: string): Capacity {
    return this.#groups.get(groupId)?.used ?? NO_CAPACITY;
  }

  /** Gets what other daemons have borrowed from this one. */
  getLent(groupId: string): Capacity {
    return countLoans(this.#groups.get(groupId)?.lent.values() ?? []);
  }

  /** Gets the loans that this daemon holds. */
  getBorrowedLoans(groupId: string): Loan[] {
    return [...this.#groups.get(groupId)?.borrowed.values() ?? []];
  }

  /** Gets the groups with an account. */
  getGroupIds(): string[] {
    return [...this.#groups.keys()];
  }

  /**
   * Gets what is free for a request that may run until a time.
   *
   * @param groupId - Group to look up.
   * @param untilMs - Monotonic time until which the capacity is needed; a loan that expires earlier does not count.
   */
  getFree(groupId: string, untilMs: number): Capacity {
    const account = this.#groups.get(groupId);
    if (account === undefined) {
      return NO_CAPACITY;
    }
    this.#dropExpired(account);
    let { slots, tokens } = account.own;
    for (const loan of account.borrowed.values()) {
      if (loan.expiresAtMs >= untilMs) {
        slots += loan.capacity.slots;
        tokens += loan.capacity.tokens;
      }
    }
    const lent = countLoans(account.lent.values());
    return {
      slots: slots - lent.slots - account.used.slots,
      tokens: tokens - lent.tokens - account.used.tokens,
    };
  }

  /**
   * Takes capacity for a request.
   *
   * @returns Whether enough was free.
   */
  tryAcquire(groupId: string, cost: Capacity, untilMs: number): boolean {
    const free = this.getFree(groupId, untilMs);
    if (free.slots < cost.slots || free.tokens < cost.tokens) {
      return false;
    }
    const account = this.#getAccount(groupId);
    account.used = addCapacity(account.used, cost);
    return true;
  }

  /** Gives the capacity of a request back. */
  release(groupId: string, cost: Capacity): void {
    const account = this.#getAccount(groupId);
    account.used = diffCapacity(account.used, cost);
  }

  /**
   * Lends free own capacity. Borrowed capacity is never lent on.
   *
   * @param loan - Loan with the capacity that is asked for.
   * @returns The loan with what was lent, or undefined when nothing was free.
   */
  lend(loan: Loan): Loan | undefined {
    const account = this.#getAccount(loan.groupId);
    this.#dropExpired(account);
    const earlier = account.lent.get(loan.loanId);
    if (earlier !== undefined) {
      return earlier;
    }
    const lent = countLoans(account.lent.values());
    const slots = Math.min(
      loan.capacity.slots,
      account.own.slots - lent.slots - account.used.slots,
    );
    const tokens = Math.min(
      loan.capacity.tokens,
      account.own.tokens - lent.tokens - account.used.tokens,
    );
    const capacity = { slots: Math.max(0, slots), tokens: Math.max(0, tokens) };
    // Tokens without a wanted slot are of no use to the borrower and would stay locked up.
    const useless = capacity.slots === 0 &&
      (loan.capacity.slots > 0 || capacity.tokens === 0);
    if (useless) {
      return undefined;
    }
    const given = { ...loan, capacity };
    account.lent.set(loan.loanId, given);
    return given;
  }

  /**
   * Takes note that the borrower has given a loan back.
   *
   * @returns The loan, or undefined when it was not known any more.
   */
  recordRepayment(groupId: string, loanId: string): Loan | undefined {
    const lent = this.#groups.get(groupId)?.lent;
    const loan = lent?.get(loanId);
    lent?.delete(loanId);
    return loan;
  }

  /** Extends a loan that was lent. An expired loan is not revived. */
  updateExpiry(groupId: string, loanId: string, expiresAtMs: number): boolean {
    const account = this.#getAccount(groupId);
    this.#dropExpired(account);
    return updateLoan(account.lent, loanId, expiresAtMs);
  }

  /** Adds capacity that another daemon lent. */
  borrow(loan: Loan): void {
    this.#getAccount(loan.groupId).borrowed.set(loan.loanId, loan);
  }

  /** Takes note that the lender extended a loan. */
  recordRenewal(groupId: string, loanId: string, expiresAtMs: number): void {
    updateLoan(this.#getAccount(groupId).borrowed, loanId, expiresAtMs);
  }

  /**
   * Gives a borrowed loan up when the rest covers what is used and lent.
   *
   * @returns The loan to repay, or undefined when it is in use.
   */
  repay(groupId: string, loanId: string): Loan | undefined {
    const account = this.#getAccount(groupId);
    const loan = account.borrowed.get(loanId);
    const free = this.getFree(groupId, Number.NEGATIVE_INFINITY);
    const covered = loan !== undefined && free.slots >= loan.capacity.slots &&
      free.tokens >= loan.capacity.tokens;
    if (!covered) {
      return undefined;
    }
    account.borrowed.delete(loanId);
    return loan;
  }

  /** Gets whether more is used and lent than the daemon owns and has borrowed. */
  hasOverhang(groupId: string): boolean {
    const free = this.getFree(groupId, Number.NEGATIVE_INFINITY);
    return free.slots < 0 || free.tokens < 0;
  }

  #dropExpired(account: GroupAccount): void {
    const now = performance.now();
    for (const loans of [account.lent, account.borrowed]) {
      for (const [id, loan] of loans) {
        if (loan.expiresAtMs <= now) {
          loans.delete(id);
        }
      }
    }
  }

  #getAccount(groupId: string): GroupAccount {
    let account = this.#groups.get(groupId);
    if (account === undefined) {
      account = {
        own: NO_CAPACITY,
        used: NO_CAPACITY,
        lent: new Map(),
        borrowed: new Map(),
      };
      this.#groups.set(groupId, account);
    }
    return account;
  }
}

function countLoans(loans: Iterable<Loan>): Capacity {
  let slots = 0;
  let tokens = 0;
  for (const loan of loans) {
    slots += loan.capacity.slots;
    tokens += loan.capacity.tokens;
  }
  return { slots, tokens };
}

function diffCapacity(a: Capacity, b: Capacity): Capacity {
  return { slots: a.slots - b.slots, tokens: a.tokens - b.tokens };
}

function updateLoan(
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
