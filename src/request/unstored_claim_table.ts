import type { Claim } from "./claim.ts";

/** Maximum number of claims in the table. */
const MAX_ENTRIES = 10_000;

/** Claims of the calls that this daemon sent without a stored claim because the store was unavailable. */
export class UnstoredClaimTable {
  readonly #claims = new Map<string, Claim>();

  /**
   * Returns the claim with a name, or undefined when the table does not contain it.
   *
   * @param name - Name of the claim.
   */
  getClaim(name: string): Claim | undefined {
    return this.#claims.get(name);
  }

  /**
   * Adds a claim. When the table is full, claims past their retention are removed first.
   *
   * @param name - Name of the claim.
   * @param claim - Claim that could not be stored.
   * @returns `false` when the table already contains the name or is full.
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
   * Replaces a claim after its call has ended. Has no effect when the table does not contain the name.
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
   * Removes a claim whose outcome is stored or whose call was not sent.
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
