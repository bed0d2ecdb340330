import { randomUUID } from "node:crypto";
import { type Either, Left, Right } from "purify-ts";
import { delay } from "../../shared/delay.ts";
import { type RefusalCode, RequestError } from "../../shared/errors.ts";
import type { ConfigHolder } from "../../version/config_holder.ts";
import type { ModelConfig } from "../../version/config_schema.ts";
import type { PlacementHolder } from "../../version/placement_holder.ts";
import type {
  Admission,
  AdmissionRequest,
  Grant,
  GrantOutcome,
} from "../admission.ts";
import type { GroupDirectory, ServingGroup } from "../group_directory.ts";
import type { GroupHealthTable, ReceivedGroupHealth } from "../group_health.ts";
import type { VmTable } from "../vm_table.ts";
import type { Capacity } from "./capacity.ts";
import { ColdRamp } from "./cold_ramp.ts";
import { FairQueue } from "./fair_queue.ts";
import {
  choosePreferredGroup,
  type GroupCandidate,
  listPreferredGroups,
} from "./group_selector.ts";
import { LoanBroker } from "./loan_broker.ts";
import type {
  CapacityLender,
  LoanBatch,
  LoanBatchAnswer,
  LoanChannel,
  SettlementAnswer,
  SettlementQuestion,
} from "./loan_messages.ts";
import { type LendableGroup, LoanOffice } from "./loan_office.ts";
import { ShareCalculator } from "./share_calculator.ts";
import { ShareKeeper } from "./share_keeper.ts";
import { type Loan, SlotLedger } from "./slot_ledger.ts";

const TICK_MS = 50;
const MAX_QUEUE_LENGTH = 1_024;
/** Waiting requests that are considered at once, so that one that fits nowhere does not block the others. */
const MAX_LOOK_AHEAD = 16;
/** Groups that a request that has to run alone tries before it is refused. */
const MAX_ALONE_GROUPS = 3;
/** Pause after a vain round of loan requests for one waiting request, in milliseconds. */
const BORROW_PAUSE_MS = 25;
/** Time after the deadline in which a cancelled request still leaves its engine, in milliseconds. */
const FINISH_MARGIN_MS = 1_000;
const MIN_RETRY_AFTER_MS = 250;
/** Hold-downs after the start after which a daemon takes requests even if shares are still unsettled. */
const READY_HOLD_DOWNS = 2;
/** Time for giving loans back in a planned stop, below the time limit of a stop hook, in milliseconds. */
const REPAY_TIMEOUT_MS = 4_000;
/** Weight of a new measurement in the average service time. */
const SERVICE_TIME_WEIGHT = 0.1;

/** Parts and settings of the shared admission. */
export interface SharedAdmissionOptions {
  readonly name: string;
  readonly zone: string;
  readonly vmListLagMs: number;
  /** Time between two reads of the VM list, in milliseconds. */
  readonly vmListIntervalMs: number;
  readonly longestRequestMs: number;
  readonly directory: GroupDirectory;
  readonly configHolder: ConfigHolder;
  readonly placementHolder: PlacementHolder;
  readonly healthTable: GroupHealthTable;
  readonly vmTable: VmTable;
  readonly channel: LoanChannel;
  /** Ends the tasks. */
  readonly signal: AbortSignal;
}

interface Waiter {
  readonly account: string;
  readonly weight: number;
  readonly request: AdmissionRequest;
  readonly resolve: (outcome: Either<RequestError, Grant>) => void;
  borrowRounds: number;
  borrowing: boolean;
  nextBorrowAtMs: number;
}

/** Admission that shares the capacity of the groups between all daemons without a coordinator. */
export class SharedAdmission implements Admission, CapacityLender {
  readonly ledger = new SlotLedger();
  readonly ramp = new ColdRamp();
  /** Starts of the requests that this daemon runs, by group. */
  readonly #startsByGroup = new Map<string, Set<{ readonly atMs: number }>>();
  readonly broker: LoanBroker;
  readonly #options: SharedAdmissionOptions;
  readonly #calculator: ShareCalculator;
  readonly #keeper: ShareKeeper;
  readonly #office: LoanOffice;
  readonly #queues = new Map<string, FairQueue<Waiter>>();
  readonly #inFlightByAccount = new Map<string, number>();
  readonly #serviceMsByModel = new Map<string, number>();
  readonly #failedAtMs = new Map<string, number>();
  readonly #reserved = new Set<string>();

  readonly #startedAtMs = performance.now();
  #ready = false;

  constructor(options: SharedAdmissionOptions) {
    this.#options = options;
    const { name, channel } = options;
    const startId = randomUUID();
    const ledger = this.ledger;
    this.#calculator = new ShareCalculator({
      name,
      holdDownMs: getHoldDownMs(options),
    });
    this.#keeper = new ShareKeeper({
      name,
      startId,
      calculator: this.#calculator,
      ledger,
      channel,
      longestRequestMs: options.longestRequestMs,
    });
    this.broker = new LoanBroker({
      name,
      startId,
      ledger,
      channel,
      isUsable: (loan) => this.#isUsable(loan),
      isNeeded: (loan) => this.#isNeeded(loan),
    });
    this.#office = new LoanOffice({
      startId,
      ledger,
      calculator: this.#calculator,
      keeper: this.#keeper,
      ramp: this.ramp,
      getGroup: (groupId) => this.#getLendableGroup(groupId),
      onRepayment: () => this.#drainQueues(),
    });
  }

  /** Gets whether the daemon may use all shares that it owns by the newest list. */
  hasSettledShares(): boolean {
    return !this.#calculator.isHeldDown() && !this.#keeper.hasOpenLanes();
  }

  /**
   * Gets whether the daemon takes requests. Before its shares are settled it would borrow each slot; a daemon that the lagging list does not name borrows after two hold-downs. It also waits until the lanes of daemons that have left are taken over.
   *
   * Later changes of the shares do not make a daemon unready.
   */
  isReady(): boolean {
    this.#ready ||= performance.now() - this.#startedAtMs >=
      READY_HOLD_DOWNS * getHoldDownMs(this.#options);
    return this.#ready;
  }

  /** Keeps shares, loans and queues up to date until the daemon stops. */
  async run(): Promise<void> {
    do {
      this.refresh();
    } while (await delay(TICK_MS, this.#options.signal));
    await this.broker.dispose();
  }

  /** Gives all loans back before a planned stop ends, so that their lenders need not wait for the expiry. */
  async repayAll(): Promise<void> {
    await this.broker.repayAll(REPAY_TIMEOUT_MS);
  }

  /** Brings shares, loans and queues up to date once. */
  refresh(): void {
    const groups = this.#listSharedGroups();
    this.#keeper.refresh(this.#options.vmTable.getEntryVms(), groups);
    if (this.#keeper.hasOpenLanes()) {
      void this.#keeper.trySettle();
    }
    // Lanes of a daemon that has left are unused until its hold-down ends: a rolling replacement that went on earlier would leave groups without usable shares.
    this.#ready ||= this.hasSettledShares() &&
      !this.#calculator.hasUnlistedNames();
    groups.forEach((g) => this.#observeHealth(g.groupId, g.model));
    this.broker.refresh();
    this.broker.resume();
    this.#refuseExpired();
    this.#drainQueues();
  }

  answerLoans(batch: LoanBatch): LoanBatchAnswer {
    return this.#office.answerLoans(batch);
  }

  answerSettlement(question: SettlementQuestion): SettlementAnswer {
    return this.#office.answerSettlement(question);
  }

  async acquire(
    request: AdmissionRequest,
    signal: AbortSignal,
  ): Promise<Either<RequestError, Grant>> {
    const refusal = this.#checkRequest(request);
    if (refusal !== undefined) {
      return Left(refusal);
    }
    const account = request.account.name;
    this.#changeInFlight(account, 1);
    const outcome = request.alone
      ? await this.#acquireAlone(request, signal)
      : await this.#waitForTurn(request, signal);
    if (outcome.isLeft()) {
      this.#changeInFlight(account, -1);
    }
    return outcome;
  }

  #checkRequest(request: AdmissionRequest): RequestError | undefined {
    const { account, model } = request;
    const inFlight = this.#inFlightByAccount.get(account.name) ?? 0;
    if (inFlight >= account.maxConcurrent) {
      return createRefusal("account-limit", {
        message:
          `The client account "${account.name}" has ${inFlight} requests in flight`,
        retryAfterMs: this.#getServiceMs(model.name),
      });
    }
    if (request.deadlineAtMs <= performance.now()) {
      return createRefusal("deadline-exceeded", {
        message: "The deadline of the request has passed",
      });
    }
    const serving = this.#listCandidates(request);
    if (serving.length === 0 || request.kvTokens > model.kvTokensPerGroup) {
      return createNoCapacity(request, this.#getServiceMs(model.name));
    }
    return this.#checkExpectedWait(request, serving);
  }

  #checkExpectedWait(
    request: AdmissionRequest,
    serving: readonly ServingGroup[],
  ): RequestError | undefined {
    const queue = this.#getQueue(request.model.name);
    if (queue.length === 0 || request.alone) {
      return undefined;
    }
    const waitMs = this.#getExpectedWaitMs(request.model, serving);
    if (queue.length >= MAX_QUEUE_LENGTH) {
      return createNoCapacity(request, waitMs);
    }
    if (waitMs > request.deadlineAtMs - performance.now()) {
      return createRefusal("deadline-exceeded", {
        message: `The expected wait of ${
          Math.round(waitMs)
        } ms exceeds the deadline`,
        retryAfterMs: waitMs,
      });
    }
    return undefined;
  }

  #getExpectedWaitMs(
    model: ModelConfig,
    serving: readonly ServingGroup[],
  ): number {
    let slots = 0;
    for (const { group } of serving) {
      const { groupId } = group;
      const free = this.ledger.getFree(groupId, Number.NEGATIVE_INFINITY);
      const used = this.ledger.getUsed(groupId).slots;
      const bound = this.ramp.getSlots(groupId, model);
      slots += Math.max(0, Math.min(bound, free.slots + used));
    }
    const ahead = this.#getQueue(model.name).length + 1;
    return ahead * this.#getServiceMs(model.name) / Math.max(1, slots);
  }

  #waitForTurn(
    request: AdmissionRequest,
    signal: AbortSignal,
  ): Promise<Either<RequestError, Grant>> {
    return new Promise((resolve) => {
      const queue = this.#getQueue(request.model.name);
      const onAbort = () => {
        if (queue.remove(waiter)) {
          resolve(Left(createCancelled()));
        }
      };
      const waiter: Waiter = {
        account: request.account.name,
        weight: request.account.weight,
        request,
        resolve: (outcome) => {
          signal.removeEventListener("abort", onAbort);
          resolve(outcome);
        },
        borrowRounds: 0,
        borrowing: false,
        nextBorrowAtMs: 0,
      };
      if (signal.aborted) {
        resolve(Left(createCancelled()));
        return;
      }
      if (!queue.push(waiter)) {
        const retryAfterMs = this.#getServiceMs(request.model.name);
        resolve(Left(createNoCapacity(request, retryAfterMs)));
        return;
      }
      signal.addEventListener("abort", onAbort, { once: true });
      this.#drainQueue(request.model.name);
    });
  }

  #drainQueues(): void {
    for (const model of this.#queues.keys()) {
      this.#drainQueue(model);
    }
  }

  #drainQueue(model: string): void {
    const queue = this.#getQueue(model);
    if (queue.length === 0) {
      return;
    }
    const serving = this.#options.directory.getServingGroups(model);
    for (const waiter of queue.list(MAX_LOOK_AHEAD)) {
      const candidates = this.#chooseCandidates(serving, waiter.request);
      const grant = this.#tryGrant(waiter.request, candidates);
      if (grant !== undefined) {
        queue.take(waiter);
        waiter.resolve(Right(grant));
      } else if (
        !waiter.borrowing && performance.now() >= waiter.nextBorrowAtMs
      ) {
        waiter.borrowing = true;
        void this.#borrowFor(waiter, candidates);
      }
    }
  }

  #tryGrant(
    request: AdmissionRequest,
    candidates: readonly ServingGroup[],
  ): Grant | undefined {
    const cost = { slots: 1, tokens: request.kvTokens };
    const untilMs = getEndMs(request);
    const free = candidates.filter((c) => {
      const usable = this.#getUsable(c, request);
      return usable.slots >= cost.slots && usable.tokens >= cost.tokens;
    });
    const chosen = choosePreferredGroup(
      free.map((entry) => this.#createCandidate(entry)),
      { zone: this.#options.zone, prefixHash: request.prefixHash },
    )?.entry;
    if (chosen === undefined) {
      return undefined;
    }
    const { groupId } = chosen.group;
    if (!this.ledger.tryAcquire(groupId, cost, untilMs)) {
      return undefined;
    }
    this.broker.recordNeed(groupId);
    return this.#createGrant(chosen, request, cost);
  }

  #getUsable(serving: ServingGroup, request: AdmissionRequest): Capacity {
    const { groupId } = serving.group;
    // The newest health counts at each decision: a tick later may be too late for a group that has turned cold.
    this.#observeHealth(groupId, request.model);
    const untilMs = getEndMs(request);
    const free = this.ledger.getFree(groupId, untilMs);
    if (!this.ramp.isCold(groupId)) {
      return free;
    }
    const used = this.ledger.getUsed(groupId).slots;
    const bound = this.#keeper.isFirstHome(groupId)
      ? this.ramp.getSlots(groupId, request.model) -
        this.ledger.getLent(groupId).slots
      : this.#countFirstHomeSlots(groupId, untilMs);
    return { slots: Math.min(free.slots, bound - used), tokens: free.tokens };
  }

  #countFirstHomeSlots(groupId: string, untilMs: number): number {
    return this.ledger.getBorrowedLoans(groupId)
      .filter((loan) => loan.expiresAtMs >= untilMs && this.#isUsable(loan))
      .reduce((sum, loan) => sum + loan.capacity.slots, 0);
  }

  /** Gets whether a loan counts for new work: on a cold group only one that the first home gave since then, within the load that the group bears. */
  #isUsable(loan: Loan): boolean {
    const { groupId } = loan;
    if (!this.ramp.isCold(groupId) || this.#keeper.isFirstHome(groupId)) {
      return true;
    }
    const state = this.#options.healthTable.getHealth(groupId)?.state;
    return loan.firstHome &&
      loan.sinceMs >= this.ramp.getColdSinceMs(groupId) &&
      (loan.cold || state === "ready");
  }

  #isNeeded(loan: Loan): boolean {
    const { groupId } = loan;
    const own = !this.ramp.isCold(groupId) ||
      this.#keeper.isFirstHome(groupId);
    if (own || !this.#isUsable(loan)) {
      return false;
    }
    const slots = this.#countFirstHomeSlots(groupId, Number.NEGATIVE_INFINITY);
    const used = this.ledger.getUsed(groupId).slots;
    return slots - used < loan.capacity.slots;
  }

  async #borrowFor(
    waiter: Waiter,
    candidates: readonly ServingGroup[],
  ): Promise<void> {
    const { request } = waiter;
    const notFull = candidates.filter((c) =>
      c.health.runningRequests < request.model.slotsPerGroup
    );
    const preferred = this.#listPreferred(notFull, request);
    const serving = preferred.at(waiter.borrowRounds % preferred.length);
    waiter.borrowRounds++;
    if (serving !== undefined) {
      const need = { slots: 1, tokens: request.kvTokens };
      await this.#collectLoans(serving, { need, request });
    }
    waiter.borrowing = false;
    waiter.nextBorrowAtMs = performance.now() + BORROW_PAUSE_MS;
    this.#drainQueue(request.model.name);
  }

  /** Borrows from the homes of a group, one after the other, until the need is covered. */
  async #collectLoans(
    serving: ServingGroup,
    wish: { need: Capacity; request: AdmissionRequest },
  ): Promise<void> {
    const { group } = serving;
    const untilMs = getEndMs(wish.request);
    for (const peer of this.#listLenders(group, wish.request)) {
      const usable = wish.request.alone
        ? this.ledger.getFree(group.groupId, untilMs)
        : this.#getUsable(serving, wish.request);
      const missing = {
        slots: Math.max(0, wish.need.slots - usable.slots),
        tokens: Math.max(0, wish.need.tokens - usable.tokens),
      };
      if (missing.slots === 0 && missing.tokens === 0) {
        return;
      }
      await this.broker.borrow(peer, {
        groupId: group.groupId,
        capacity: missing,
        untilMs,
      });
    }
  }

  #listLenders(
    group: ServingGroup["group"],
    request: AdmissionRequest,
  ): string[] {
    const owners = this.#calculator.getOwners(group);
    const restricted = this.ramp.isCold(group.groupId) && !request.alone &&
      !this.#keeper.isFirstHome(group.groupId);
    const homes = restricted ? owners.slice(0, 1) : [...new Set(owners)];
    return homes.filter((name) => name !== this.#options.name);
  }

  async #acquireAlone(
    request: AdmissionRequest,
    signal: AbortSignal,
  ): Promise<Either<RequestError, Grant>> {
    const candidates = this.#listPreferred(
      this.#listCandidates(request),
      request,
    );
    candidates.sort((a, b) =>
      a.health.runningRequests - b.health.runningRequests
    );
    for (const serving of candidates.slice(0, MAX_ALONE_GROUPS)) {
      if (signal.aborted) {
        return Left(createCancelled());
      }
      const grant = await this.#tryReserve(serving, request);
      if (grant !== undefined) {
        return Right(grant);
      }
    }
    const retryAfterMs = this.#getServiceMs(request.model.name);
    return Left(createNoCapacity(request, retryAfterMs));
  }

  /** Reserves a whole group through loans of all its homes' shares. */
  async #tryReserve(
    serving: ServingGroup,
    request: AdmissionRequest,
  ): Promise<Grant | undefined> {
    const { groupId } = serving.group;
    if (this.#reserved.has(groupId)) {
      return undefined;
    }
    const whole = getWhole(request.model);
    this.#reserved.add(groupId);
    try {
      await this.#collectLoans(serving, { need: whole, request });
      if (this.ledger.tryAcquire(groupId, whole, getEndMs(request))) {
        return this.#createGrant(serving, request, whole);
      }
      this.broker.repayFree(groupId);
      return undefined;
    } finally {
      this.#reserved.delete(groupId);
    }
  }

  #createGrant(
    serving: ServingGroup,
    request: AdmissionRequest,
    cost: Capacity,
  ): Grant {
    const { group, leaderAddress } = serving;
    const startedAtMs = performance.now();
    const start = { atMs: startedAtMs };
    const starts = this.#startsByGroup.get(group.groupId) ?? new Set();
    this.#startsByGroup.set(group.groupId, starts.add(start));
    let released = false;
    return {
      group,
      leaderAddress,
      release: (outcome: GrantOutcome) => {
        if (!released) {
          released = true;
          starts.delete(start);
          this.ledger.release(group.groupId, cost);
          this.#changeInFlight(request.account.name, -1);
          this.#recordOutcome(serving, request, { outcome, startedAtMs });
          this.#drainQueues();
        }
      },
    };
  }

  #recordOutcome(
    serving: ServingGroup,
    request: AdmissionRequest,
    end: { outcome: GrantOutcome; startedAtMs: number },
  ): void {
    const { groupId } = serving.group;
    if (end.outcome === "group-failed") {
      this.#failedAtMs.set(groupId, performance.now());
    }
    if (end.outcome !== "finished") {
      return;
    }
    if (this.#keeper.isFirstHome(groupId)) {
      const { startedAtMs } = end;
      this.ramp.recordFinished(groupId, { count: 1, startedAtMs });
    } else if (
      this.ramp.isCold(groupId) &&
      end.startedAtMs >= this.ramp.getColdSinceMs(groupId)
    ) {
      this.broker.recordFinished(groupId);
    }
    const model = request.model.name;
    const serviceMs = performance.now() - end.startedAtMs;
    const average = this.#serviceMsByModel.get(model) ?? serviceMs;
    this.#serviceMsByModel.set(
      model,
      average + (serviceMs - average) * SERVICE_TIME_WEIGHT,
    );
  }

  #listCandidates(request: AdmissionRequest): ServingGroup[] {
    return this.#chooseCandidates(
      this.#options.directory.getServingGroups(request.model.name),
      request,
    );
  }

  #chooseCandidates(
    serving: readonly ServingGroup[],
    request: AdmissionRequest,
  ): ServingGroup[] {
    return serving.filter((s) =>
      !request.excludedGroupIds.has(s.group.groupId) &&
      !this.#reserved.has(s.group.groupId) &&
      this.#isTrusted(s, request.model)
    );
  }

  /** Gets whether the group's own report allows more work: a second guard behind the shares. */
  #isTrusted(serving: ServingGroup, model: ModelConfig): boolean {
    const { health, group } = serving;
    // An observation from before a failure does not show whether the group has restarted.
    const failedAtMs = this.#failedAtMs.get(group.groupId);
    const outdated = failedAtMs !== undefined &&
      health.observedAtMs <= failedAtMs;
    return !outdated && health.runningRequests <= model.slotsPerGroup &&
      health.heldTokens <= model.kvTokensPerGroup;
  }

  #listPreferred(
    serving: readonly ServingGroup[],
    request: AdmissionRequest,
  ): ServingGroup[] {
    const candidates = serving.map((entry) => this.#createCandidate(entry));
    return listPreferredGroups(candidates, {
      zone: this.#options.zone,
      prefixHash: request.prefixHash,
    }).map((c) => c.entry);
  }

  #createCandidate(
    entry: ServingGroup,
  ): GroupCandidate & { readonly entry: ServingGroup } {
    const { groupId, zone } = entry.group;
    const used = this.ledger.getUsed(groupId).slots;
    const load = Math.max(entry.health.runningRequests, used);
    return { entry, groupId, zone, load };
  }

  #listSharedGroups(): LendableGroup[] {
    const models = this.#options.configHolder.getCurrent()?.document.models;
    const byName = new Map(models?.map((m) => [m.name, m]));
    return this.#options.placementHolder.getGroups().flatMap((group) => {
      const model = byName.get(group.model);
      return model === undefined ? [] : [createLendableGroup(group, model)];
    });
  }

  #getLendableGroup(groupId: string): LendableGroup | undefined {
    const { placementHolder, configHolder } = this.#options;
    const group = placementHolder.getGroup(groupId);
    const model = configHolder.getCurrent()?.document.models
      .find((m) => m.name === group?.model);
    if (group === undefined || model === undefined) {
      return undefined;
    }
    this.#observeHealth(groupId, model);
    return createLendableGroup(group, model);
  }

  #observeHealth(groupId: string, model: ModelConfig): void {
    const health = this.#options.healthTable.getHealth(groupId);
    if (health !== undefined) {
      this.ramp.observe(health, {
        model,
        isFirstHome: this.#keeper.isFirstHome(groupId),
        accountedRequests: this.#countStartedBefore(groupId, health) +
          this.ledger.getLent(groupId).slots,
      });
    }
  }

  /** A request that began after the status was asked for may not be part of it. */
  #countStartedBefore(
    groupId: string,
    { observedAtMs }: ReceivedGroupHealth,
  ): number {
    const started = [...this.#startsByGroup.get(groupId) ?? []];
    return started.filter(({ atMs }) => atMs <= observedAtMs).length;
  }

  #refuseExpired(): void {
    const now = performance.now();
    for (const queue of this.#queues.values()) {
      for (const waiter of queue.list()) {
        if (waiter.request.deadlineAtMs <= now && queue.remove(waiter)) {
          const model = waiter.request.model.name;
          waiter.resolve(Left(createRefusal("deadline-exceeded", {
            message: "The deadline passed before a group was free",
            retryAfterMs: this.#getServiceMs(model),
          })));
        }
      }
    }
  }

  #getQueue(model: string): FairQueue<Waiter> {
    let queue = this.#queues.get(model);
    if (queue === undefined) {
      queue = new FairQueue<Waiter>({ maxLength: MAX_QUEUE_LENGTH });
      this.#queues.set(model, queue);
    }
    return queue;
  }

  #getServiceMs(model: string): number {
    return this.#serviceMsByModel.get(model) ?? MIN_RETRY_AFTER_MS;
  }

  #changeInFlight(account: string, change: number): void {
    const inFlight = (this.#inFlightByAccount.get(account) ?? 0) + change;
    if (inFlight > 0) {
      this.#inFlightByAccount.set(account, inFlight);
    } else {
      this.#inFlightByAccount.delete(account);
    }
  }
}

/**
 * Gets the hold-down in milliseconds: twice the longest time for which the view of a daemon may lag behind the true list.
 *
 * @param options - Lag of the list and time between two reads.
 */
export function getHoldDownMs(
  options: Pick<SharedAdmissionOptions, "vmListLagMs" | "vmListIntervalMs">,
): number {
  return 2 * (options.vmListLagMs + options.vmListIntervalMs + TICK_MS);
}

function createLendableGroup(
  group: ServingGroup["group"],
  model: ModelConfig,
): LendableGroup {
  const { groupId, zone } = group;
  return { groupId, zone, model, whole: getWhole(model) };
}

function getWhole(model: ModelConfig): Capacity {
  return { slots: model.slotsPerGroup, tokens: model.kvTokensPerGroup };
}

function getEndMs(request: AdmissionRequest): number {
  return request.deadlineAtMs + FINISH_MARGIN_MS;
}

function createRefusal(
  code: RefusalCode,
  options: { message: string; retryAfterMs?: number },
): RequestError {
  return new RequestError(options.message, {
    code,
    verdict: "not-run",
    status: code === "account-limit" ? 429 : 503,
    retryAfterMs: Math.ceil(
      Math.max(MIN_RETRY_AFTER_MS, options.retryAfterMs ?? 0),
    ),
  });
}

function createNoCapacity(
  request: AdmissionRequest,
  retryAfterMs: number,
): RequestError {
  return createRefusal("no-capacity", {
    message:
      `No group of model "${request.model.name}" has room for the request`,
    retryAfterMs,
  });
}

function createCancelled(): RequestError {
  return new RequestError("The caller went away before the request ran", {
    code: "cancelled",
    verdict: "not-run",
    status: 499,
  });
}
