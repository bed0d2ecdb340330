import type { Claim } from "./claim.ts";

const MAX_ENTRIES = 10_000;

/** Remembers the calls that this daemon sent while the store could not hold their claims. */
export class UnstoredClaimTable {
  readonly #claims = new Map<string, Claim>();

  /**
   * Gets the claim of a key that was sent without a stored claim.
   *
   * @param name - Name of the claim.
   */
  getClaim(name: string): Claim | undefined {
    return this.#claims.get(name);
  }

  /**
   * Adds a key that was not sent before. Entries past their retention make room.
   *
   * @param name - Name of the claim.
   * @param claim - Claim that could not be stored.
   * @returns `false` when the key is present or there is no room.
   */
  tryAdd(name: string, claim: Claim): boolean {
    if (this.#claims.has(name)) {
      return false;
    }
    if (this.#claims.size >= MAX_ENTRIES) {
      this.#removeExpired();
    }
    if (this.#claims.size >= MAX_ENTRIES) {
      return false;
    }
    this.#claims.set(name, claim);
    return true;
  }

  /**
   * Replaces the claim of a key with its outcome.
   *
   * @param name - Name of the claim.
   * @param claim - Claim with the outcome.
   */
  update(name: string, claim: Claim): void {
    if (this.#claims.has(name)) {
      this.#claims.set(name, claim);
    }
  }

  /**
   * Removes a key whose outcome is stored or that was not sent.
   *
   * @param name - Name of the claim.
   */
  remove(name: string): void {
    this.#claims.delete(name);
  }

  #removeExpired(): void {
    const now = Date.now();
    for (const [name, claim] of this.#claims) {
      if (claim.retainUntilMs <= now) {
        this.#claims.delete(name);
      }
    }
  }
}
