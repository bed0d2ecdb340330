import { z } from "zod";

const MAX_RECEIVED_BATCH_ITEMS = 512;
/** Longest loan without a renewal, in milliseconds. */
export const MAX_LOAN_DURATION_MS = 600_000;

const loanRequestSchema = z.object({
  loanId: z.string().max(128),
  groupId: z.string(),
  slots: z.number().int().min(0),
  tokens: z.number().int().min(0),
  /** Time for which the loan is wanted, counted by the lender from the receipt. */
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
      /** Requests that finished on the loan, which warm a cold group up. */
      finished: z.number().int().min(0),
    }),
  ).max(MAX_RECEIVED_BATCH_ITEMS),
});

/** Schema of the question which groups the asked daemon still uses beyond its shares. */
export const settlementRequestSchema = z.object({
  from: z.string(),
  groupIds: z.array(z.string()).max(10_000),
});

/** Request for one loan. */
export type LoanRequest = z.infer<typeof loanRequestSchema>;
/** Batch of loan requests, renewals and repayments. */
export type LoanBatch = z.infer<typeof loanBatchSchema>;
/** Question which groups the asked daemon still uses beyond its shares. */
export type SettlementRequest = z.infer<typeof settlementRequestSchema>;

/** Loan that was given. */
export interface GrantedLoan {
  readonly loanId: string;
  readonly slots: number;
  readonly tokens: number;
  /** Whether the lender is the group's first home. */
  readonly firstHome: boolean;
  /** Whether the group is cold for the lender. */
  readonly cold: boolean;
}

/** Answer to a batch. */
export interface LoanBatchAnswer {
  /** Start id of the lender's process. */
  readonly startId: string;
  readonly loans: readonly GrantedLoan[];
  /** Identifiers of the renewed loans. */
  readonly renewed: readonly string[];
}

/** Loan that a daemon holds, as far as a settlement needs it. */
export interface HeldLoan {
  readonly groupId: string;
  readonly lender: string;
  /** Start id of the process that lent it. */
  readonly lenderStartId: string;
}

/** Answer to a settlement question. */
export interface SettlementAnswer {
  /** Start id of the answering process. */
  readonly startId: string;
  /** Loans that the daemon holds of the groups in question. */
  readonly heldLoans: readonly HeldLoan[];
  /** Groups that the daemon uses beyond its shares. */
  readonly busyGroupIds: readonly string[];
}

/** Side of a daemon's admission that answers its peers. */
export interface CapacityLender {
  answerLoans(batch: LoanBatch): LoanBatchAnswer;
  answerSettlement(request: SettlementRequest): SettlementAnswer;
}

/** Sends loan messages to other daemons. */
export interface LoanChannel {
  /** Sends a batch; rejects when no answer arrives, in which case the batch may have taken effect. */
  sendLoans(peer: string, batch: LoanBatch): Promise<LoanBatchAnswer>;
  sendSettlement(
    peer: string,
    request: SettlementRequest,
  ): Promise<SettlementAnswer>;
}
