import type { HeldLoan } from "./loan_messages.ts";
import type { CapacityLedger } from "./capacity_ledger.ts";

/**
 * Lists the loans that a daemon has borrowed, for the response to a settlement request.
 *
 * @param ledger - Ledger of the daemon.
 * @param groupIds - Ids of the requested groups.
 */
export function listHeldLoans(
  ledger: CapacityLedger,
  groupIds: readonly string[],
): HeldLoan[] {
  return groupIds.flatMap((groupId) =>
    ledger.getBorrowedLoans(groupId).map((loan) => ({
      groupId,
      lender: loan.peer,
      lenderStartId: loan.lenderStartId,
    }))
  );
}
