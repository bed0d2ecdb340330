import { z } from "zod";

/** Maximum number of loan requests, of renewals and of repayments accepted in one batch. */
const MAX_RECEIVED_BATCH_ITEMS = 512;
/** Maximum duration of a loan without renewal, in milliseconds. */
export const MAX_LOAN_DURATION_MS = 600_000;

const loanRequestSchema = z.object({
  loanId: z.string().max(128),
  groupId: z.string(),
  slots: z.number().int().min(0),
  tokens: z.number().int().min(0),
  /** Requested duration of the loan in milliseconds, which the lender measures from the receipt of the request. */
  holdMs: z.number().min(0).max(MAX_LOAN_DURATION_MS),
});

/** Schema of a batch of loan requests, renewals and repayments from one daemon to another. */
export const loanBatchSchema = z.object({
  from: z.string(),
  borrows: z.array(loanRequestSchema).max(MAX_RECEIVED_BATCH_ITEMS),
  renewals: z.array(
    loanRequestSchema.pick({ loanId: true, groupId: true, holdMs: true }),
  ).max(MAX_RECEIVED_BATCH_ITEMS),
  repayments: z.array(
    loanRequestSchema.pick({ loanId: true, groupId: true }).extend({
      /** Number of requests that finished on the loan, which count towards the warm-up of a cold group. */
      finished: z.number().int().min(0),
    }),
  ).max(MAX_RECEIVED_BATCH_ITEMS),
});

/** Schema of the request that asks a daemon which groups it still uses beyond its shares. */
export const settlementRequestSchema = z.object({
  from: z.string(),
  groupIds: z.array(z.string()).max(10_000),
});

/** Request for one loan. */
export type LoanRequest = z.infer<typeof loanRequestSchema>;
/** Batch of loan requests, renewals and repayments. */
export type LoanBatch = z.infer<typeof loanBatchSchema>;
/** Request that asks a daemon which groups it still uses beyond its shares. */
export type SettlementRequest = z.infer<typeof settlementRequestSchema>;

/** Loan that a lender has granted. */
export interface GrantedLoan {
  readonly loanId: string;
  readonly slots: number;
  readonly tokens: number;
  /** Whether the lender is the group's first home. */
  readonly firstHome: boolean;
  /** Whether the lender considers the group cold. */
  readonly cold: boolean;
}

/** Response to a loan batch. */
export interface LoanBatchResponse {
  /** Start id of the lender's process. */
  readonly startId: string;
  /** Loans that were granted; refused ones are omitted. */
  readonly loans: readonly GrantedLoan[];
  /** Identifiers of the renewed loans. */
  readonly renewed: readonly string[];
}

/** Borrowed loan of a daemon, reduced to the fields that a settlement needs. */
export interface HeldLoan {
  readonly groupId: string;
  /** Name of the lender's VM. */
  readonly lender: string;
  /** Start id of the process that granted the loan. */
  readonly lenderStartId: string;
}

/** Response to a settlement request. */
export interface SettlementResponse {
  /** Start id of the process that responds. */
  readonly startId: string;
  /** Loans of the requested groups that the daemon has borrowed. */
  readonly heldLoans: readonly HeldLoan[];
  /** Groups that the daemon uses beyond its shares, and cold groups that it uses at all. */
  readonly busyGroupIds: readonly string[];
}

/** Handles the loan and settlement requests of other daemons. */
export interface CapacityLender {
  handleLoanBatch(batch: LoanBatch): LoanBatchResponse;
  handleSettlementRequest(request: SettlementRequest): SettlementResponse;
}

/** Sends loan messages to other daemons. */
export interface LoanChannel {
  /** Sends a batch. Rejects when no response arrives; the peer may have processed the batch nevertheless. */
  sendLoans(peer: string, batch: LoanBatch): Promise<LoanBatchResponse>;
  sendSettlement(
    peer: string,
    request: SettlementRequest,
  ): Promise<SettlementResponse>;
}
