import type { DaemonContext } from "../process/daemon_context.ts";
import {
  loanBatchSchema,
  settlementRequestSchema,
} from "../process/admission/loan_messages.ts";
import { peerTrpc } from "./peer_trpc.ts";

/**
 * Creates the tRPC procedures for loans of group capacity between daemons.
 *
 * @param context - Components that the tasks and request handlers of the daemon share.
 */
export function createPeerAdmissionRouter(context: DaemonContext) {
  return peerTrpc.router({
    exchangeLoans: peerTrpc.procedure.input(loanBatchSchema).mutation(
      ({ input }) => context.sharedAdmission.handleLoanBatch(input),
    ),
    settle: peerTrpc.procedure.input(settlementRequestSchema).mutation(
      ({ input }) => context.sharedAdmission.handleSettlementRequest(input),
    ),
  });
}
