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
import { WarmUpLimiter } from "./warm_up_limiter.ts";
import { FairQueue } from "./fair_queue.ts";
import {
  choosePreferredGroup,
  type GroupCandidate,
  listPreferredGroups,
} from "./group_selector.ts";
import { LoanClient } from "./loan_client.ts";
import type {
  CapacityLender,
  LoanBatch,
  LoanBatchResponse,
  LoanChannel,
  SettlementRequest,
  SettlementResponse,
} from "./loan_messages.ts";
import { type LendableGroup, LoanServer } from "./loan_server.ts";
import { ShareCalculator } from "./share_calculator.ts";
import { ShareManager } from "./share_manager.ts";
import { CapacityLedger, type Loan } from "./capacity_ledger.ts";

/** Interval between two refreshes of shares, loans and queues, in milliseconds. */
const REFRESH_INTERVAL_MS = 50;
/** Maximum number of waiting requests per model. */
const MAX_QUEUE_LENGTH = 1_024;
/** Maximum number of waiting requests considered per dispatch. More than one avoids head-of-line blocking by a request that fits on no group. */
const MAX_CONSIDERED_WAITERS = 16;
/** Maximum number of groups tried for a request that has to run alone before it is refused. */
const MAX_WHOLE_GROUP_ATTEMPTS = 3;
/** Delay before the next round of loan requests for a waiting request, in milliseconds. */
const BORROW_RETRY_DELAY_MS = 25;
/** Time after its deadline that a cancelled request may still occupy its engine, in milliseconds. */
const CANCELLATION_MARGIN_MS = 1_000;
/** Minimum `retryAfterMs` of a refusal, and the assumed service time before any request has finished, in milliseconds. */
const MIN_RETRY_AFTER_MS = 250;
/** Number of hold-downs from the start of the daemon until it is ready even if its shares are not confirmed. */
const READY_AFTER_HOLD_DOWNS = 2;
/** Time limit for repaying all loans in a planned stop, in milliseconds; shorter than the time limit of a stop hook. */
const STOP_REPAY_TIMEOUT_MS = 4_000;
/** Weight of a new measurement in the exponential moving average of the service time. */
const SERVICE_TIME_SMOOTHING_FACTOR = 0.1;

/** Dependencies and settings of a `SharedAdmission`. */
export interface SharedAdmissionOptions {
  /** Name of this daemon's VM. */
  readonly name: string;
  /** Availability zone of this daemon. */
  readonly zone: string;
  /** Longest time by which a VM list that is read lags behind the true one, in milliseconds. */
  readonly vmListLagMs: number;
  /** Time between two reads of the VM list, in milliseconds. */
  readonly vmListIntervalMs: number;
  /** Longest time that a request of an unreachable daemon may still run, in milliseconds. */
  readonly longestRequestMs: number;
  readonly directory: GroupDirectory;
  readonly configHolder: ConfigHolder;
  readonly placementHolder: PlacementHolder;
  readonly healthTable: GroupHealthTable;
  readonly vmTable: VmTable;
  readonly channel: LoanChannel;
  /** Stops the refresh loop. */
  readonly signal: AbortSignal;
}

/** Request that waits for capacity. */
interface Waiter {
  readonly account: string;
  readonly weight: number;
  readonly request: AdmissionRequest;
  readonly resolve: (outcome: Either<RequestError, Grant>) => void;
  /** Number of rounds of loan requests so far; each round tries another group. */
  borrowRounds: number;
  isBorrowing: boolean;
  nextBorrowAtMs: number;
}

/**
 * Admission control that divides the capacity of each group between all daemons without a coordinator.
 *
 * Each daemon owns a share of a group, which it computes from the VM list. A daemon that needs more borrows unused capacity from the other owners.
 */
export class SharedAdmission implements Admission, CapacityLender {
  readonly ledger = new CapacityLedger();
  readonly warmUpLimiter = new WarmUpLimiter();
  /** Start times of this daemon's running requests, by group id. */
  readonly #requestStartsByGroup = new Map<
    string,
    Set<{ readonly atMs: number }>
  >();
  readonly loanClient: LoanClient;
  readonly #options: SharedAdmissionOptions;
  readonly #shareCalculator: ShareCalculator;
  readonly #shareManager: ShareManager;
  readonly #loanServer: LoanServer;
  readonly #queues = new Map<string, FairQueue<Waiter>>();
  readonly #inFlightCountByAccount = new Map<string, number>();
  readonly #averageServiceMsByModel = new Map<string, number>();
  readonly #failedAtMsByGroup = new Map<string, number>();
  /** Groups that are reserved, or being reserved, for a request that has to run alone. */
  readonly #reservedGroupIds = new Set<string>();

  readonly #startedAtMs = performance.now();
  #hasBecomeReady = false;

  constructor(options: SharedAdmissionOptions) {
    this.#options = options;
    const { name, channel } = options;
    const startId = randomUUID();
    const ledger = this.ledger;
    this.#shareCalculator = new ShareCalculator({
      name,
      holdDownMs: getHoldDownMs(options),
    });
    this.#shareManager = new ShareManager({
      name,
      startId,
      shareCalculator: this.#shareCalculator,
      ledger,
      channel,
      longestRequestMs: options.longestRequestMs,
    });
    this.loanClient = new LoanClient({
      name,
      startId,
      ledger,
      channel,
      isUsable: (loan) => this.#isUsableLoan(loan),
      isNeeded: (loan) => this.#isNeededLoan(loan),
    });
    this.#loanServer = new LoanServer({
      startId,
      ledger,
      shareCalculator: this.#shareCalculator,
      shareManager: this.#shareManager,
      warmUpLimiter: this.warmUpLimiter,
      getGroup: (groupId) => this.#getLendableGroup(groupId),
      onRepayment: () => this.#dispatchQueues(),
    });
  }

  /** Gets whether the daemon may use all partitions that it owns according to the newest VM list. */
  hasConfirmedShares(): boolean {
    return !this.#shareCalculator.isHeldDown() &&
      !this.#shareManager.hasUnconfirmedPartitions();
  }

  /**
   * Gets whether the daemon accepts requests.
   *
   * The daemon becomes ready when its shares are confirmed and no partition belongs to a daemon that has left. Before its shares are confirmed, it would have to borrow every slot. After two hold-downs it becomes ready in any case and borrows, since a lagging VM list may still omit it.
   *
   * Once ready, the daemon stays ready when its shares change.
   */
  isReady(): boolean {
    this.#hasBecomeReady ||= performance.now() - this.#startedAtMs >=
      READY_AFTER_HOLD_DOWNS * getHoldDownMs(this.#options);
    return this.#hasBecomeReady;
  }

  /** Refreshes shares, loans and queues periodically until the daemon stops. */
  async run(): Promise<void> {
    do {
      this.refresh();
    } while (await delay(REFRESH_INTERVAL_MS, this.#options.signal));
    await this.loanClient.dispose();
  }

  /** Repays all loans before a planned stop, so that the lenders can use the capacity before the loans expire. */
  async repayAll(): Promise<void> {
    await this.loanClient.repayAll(STOP_REPAY_TIMEOUT_MS);
  }

  /** Refreshes shares, loans and queues once. */
  refresh(): void {
    const groups = this.#listSharedGroups();
    this.#shareManager.refresh(this.#options.vmTable.getEntryVms(), groups);
    if (this.#shareManager.hasUnconfirmedPartitions()) {
      void this.#shareManager.trySettle();
    }
    // The partitions of a daemon that has left are unused until its hold-down ends. If a rolling replacement continued before that, groups could be left without usable shares.
    this.#hasBecomeReady ||= this.hasConfirmedShares() &&
      !this.#shareCalculator.hasUnlistedVms();
    groups.forEach((g) => this.#observeHealth(g.groupId, g.model));
    this.loanClient.refresh();
    this.loanClient.sendPending();
    this.#refuseExpiredWaiters();
    this.#dispatchQueues();
  }

  handleLoanBatch(batch: LoanBatch): LoanBatchResponse {
    return this.#loanServer.handleLoanBatch(batch);
  }

  handleSettlementRequest(request: SettlementRequest): SettlementResponse {
    return this.#loanServer.handleSettlementRequest(request);
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
    this.#updateInFlightCount(account, 1);
    const outcome = request.alone
      ? await this.#acquireWholeGroup(request, signal)
      : await this.#waitForCapacity(request, signal);
    if (outcome.isLeft()) {
      this.#updateInFlightCount(account, -1);
    }
    return outcome;
  }

  #checkRequest(request: AdmissionRequest): RequestError | undefined {
    const { account, model } = request;
    const inFlight = this.#inFlightCountByAccount.get(account.name) ?? 0;
    if (inFlight >= account.maxConcurrent) {
      return createRefusal("account-limit", {
        message:
          `The client account "${account.name}" has reached its limit with ${inFlight} requests in flight`,
        retryAfterMs: this.#getAverageServiceMs(model.name),
      });
    }
    if (request.deadlineAtMs <= performance.now()) {
      return createRefusal("deadline-exceeded", {
        message: "The deadline of the request has passed",
      });
    }
    const servingGroups = this.#listCandidates(request);
    if (
      servingGroups.length === 0 || request.kvTokens > model.kvTokensPerGroup
    ) {
      return createNoCapacityError(
        request,
        this.#getAverageServiceMs(model.name),
      );
    }
    return this.#checkExpectedWait(request, servingGroups);
  }

  #checkExpectedWait(
    request: AdmissionRequest,
    servingGroups: readonly ServingGroup[],
  ): RequestError | undefined {
    const queue = this.#getQueue(request.model.name);
    if (queue.length === 0 || request.alone) {
      return undefined;
    }
    const waitMs = this.#getExpectedWaitMs(request.model, servingGroups);
    if (queue.length >= MAX_QUEUE_LENGTH) {
      return createNoCapacityError(request, waitMs);
    }
    if (waitMs > request.deadlineAtMs - performance.now()) {
      return createRefusal("deadline-exceeded", {
        message: `The expected wait of ${
          Math.round(waitMs)
        } ms exceeds the time left until the deadline of the request`,
        retryAfterMs: waitMs,
      });
    }
    return undefined;
  }

  #getExpectedWaitMs(
    model: ModelConfig,
    servingGroups: readonly ServingGroup[],
  ): number {
    let slots = 0;
    for (const { group } of servingGroups) {
      const { groupId } = group;
      const freeCapacity = this.ledger.getFreeCapacity(
        groupId,
        Number.NEGATIVE_INFINITY,
      );
      const usedSlots = this.ledger.getUsedCapacity(groupId).slots;
      const slotLimit = this.warmUpLimiter.getSlotLimit(groupId, model);
      slots += Math.max(0, Math.min(slotLimit, freeCapacity.slots + usedSlots));
    }
    const queuePosition = this.#getQueue(model.name).length + 1;
    return queuePosition * this.#getAverageServiceMs(model.name) /
      Math.max(1, slots);
  }

  #waitForCapacity(
    request: AdmissionRequest,
    signal: AbortSignal,
  ): Promise<Either<RequestError, Grant>> {
    return new Promise((resolve) => {
      const queue = this.#getQueue(request.model.name);
      const onAbort = () => {
        if (queue.remove(waiter)) {
          resolve(Left(createCancelledError()));
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
        isBorrowing: false,
        nextBorrowAtMs: 0,
      };
      if (signal.aborted) {
        resolve(Left(createCancelledError()));
        return;
      }
      if (!queue.push(waiter)) {
        const retryAfterMs = this.#getAverageServiceMs(request.model.name);
        resolve(Left(createNoCapacityError(request, retryAfterMs)));
        return;
      }
      signal.addEventListener("abort", onAbort, { once: true });
      this.#dispatchQueue(request.model.name);
    });
  }

  #dispatchQueues(): void {
    for (const model of this.#queues.keys()) {
      this.#dispatchQueue(model);
    }
  }

  #dispatchQueue(model: string): void {
    const queue = this.#getQueue(model);
    if (queue.length === 0) {
      return;
    }
    const servingGroups = this.#options.directory.getServingGroups(model);
    for (const waiter of queue.list(MAX_CONSIDERED_WAITERS)) {
      const candidates = this.#chooseCandidates(servingGroups, waiter.request);
      const grant = this.#tryGrant(waiter.request, candidates);
      if (grant !== undefined) {
        queue.take(waiter);
        waiter.resolve(Right(grant));
      } else if (
        !waiter.isBorrowing && performance.now() >= waiter.nextBorrowAtMs
      ) {
        waiter.isBorrowing = true;
        void this.#borrowForWaiter(waiter, candidates);
      }
    }
  }

  #tryGrant(
    request: AdmissionRequest,
    candidates: readonly ServingGroup[],
  ): Grant | undefined {
    const cost = { slots: 1, tokens: request.kvTokens };
    const untilMs = getLatestEndMs(request);
    const fittingGroups = candidates.filter((c) => {
      const usableCapacity = this.#getUsableCapacity(c, request);
      return usableCapacity.slots >= cost.slots &&
        usableCapacity.tokens >= cost.tokens;
    });
    const chosenGroup = choosePreferredGroup(
      fittingGroups.map((g) => this.#createCandidate(g)),
      { zone: this.#options.zone, prefixHash: request.prefixHash },
    )?.servingGroup;
    if (chosenGroup === undefined) {
      return undefined;
    }
    const { groupId } = chosenGroup.group;
    if (!this.ledger.tryAcquire(groupId, cost, untilMs)) {
      return undefined;
    }
    this.loanClient.recordDemand(groupId);
    return this.#createGrant(chosenGroup, request, cost);
  }

  #getUsableCapacity(
    servingGroup: ServingGroup,
    request: AdmissionRequest,
  ): Capacity {
    const { groupId } = servingGroup.group;
    // Reads the newest health for every decision, since the next refresh may be too late for a group that has just turned cold.
    this.#observeHealth(groupId, request.model);
    const untilMs = getLatestEndMs(request);
    const freeCapacity = this.ledger.getFreeCapacity(groupId, untilMs);
    if (!this.warmUpLimiter.isCold(groupId)) {
      return freeCapacity;
    }
    const usedSlots = this.ledger.getUsedCapacity(groupId).slots;
    const slotLimit = this.#shareManager.isFirstHome(groupId)
      ? this.warmUpLimiter.getSlotLimit(groupId, request.model) -
        this.ledger.getLentCapacity(groupId).slots
      : this.#countFirstHomeLoanSlots(groupId, untilMs);
    return {
      slots: Math.min(freeCapacity.slots, slotLimit - usedSlots),
      tokens: freeCapacity.tokens,
    };
  }

  #countFirstHomeLoanSlots(groupId: string, untilMs: number): number {
    return this.ledger.getBorrowedLoans(groupId)
      .filter((loan) => loan.expiresAtMs >= untilMs && this.#isUsableLoan(loan))
      .reduce((sum, loan) => sum + loan.capacity.slots, 0);
  }

  /** Gets whether new requests may use a loan. On a cold group, a daemon other than the first home may use only loans that the first home granted since the group turned cold, since these respect the warm-up limit. If the first home considered the group warm when it granted the loan, the group also has to report `ready`. */
  #isUsableLoan(loan: Loan): boolean {
    const { groupId } = loan;
    if (
      !this.warmUpLimiter.isCold(groupId) ||
      this.#shareManager.isFirstHome(groupId)
    ) {
      return true;
    }
    const state = this.#options.healthTable.getHealth(groupId)?.state;
    return loan.firstHome &&
      loan.grantedAtMs >= this.warmUpLimiter.getColdSinceMs(groupId) &&
      (loan.cold || state === "ready");
  }

  /** Gets whether running requests depend on a loan. This is so only on a cold group for a daemon other than the first home, where the daemon's own share does not count. */
  #isNeededLoan(loan: Loan): boolean {
    const { groupId } = loan;
    const isUnrestricted = !this.warmUpLimiter.isCold(groupId) ||
      this.#shareManager.isFirstHome(groupId);
    if (isUnrestricted || !this.#isUsableLoan(loan)) {
      return false;
    }
    const slots = this.#countFirstHomeLoanSlots(
      groupId,
      Number.NEGATIVE_INFINITY,
    );
    const usedSlots = this.ledger.getUsedCapacity(groupId).slots;
    return slots - usedSlots < loan.capacity.slots;
  }

  async #borrowForWaiter(
    waiter: Waiter,
    candidates: readonly ServingGroup[],
  ): Promise<void> {
    const { request } = waiter;
    const groupsWithFreeSlots = candidates.filter((c) =>
      c.health.runningRequests < request.model.slotsPerGroup
    );
    const preferredGroups = this.#sortByPreference(
      groupsWithFreeSlots,
      request,
    );
    const servingGroup = preferredGroups.at(
      waiter.borrowRounds % preferredGroups.length,
    );
    waiter.borrowRounds++;
    if (servingGroup !== undefined) {
      const neededCapacity = { slots: 1, tokens: request.kvTokens };
      await this.#borrowMissingCapacity(servingGroup, {
        neededCapacity,
        request,
      });
    }
    waiter.isBorrowing = false;
    waiter.nextBorrowAtMs = performance.now() + BORROW_RETRY_DELAY_MS;
    this.#dispatchQueue(request.model.name);
  }

  /** Borrows from the homes of a group, one after the other, until the needed capacity is available. */
  async #borrowMissingCapacity(
    servingGroup: ServingGroup,
    demand: { neededCapacity: Capacity; request: AdmissionRequest },
  ): Promise<void> {
    const { group } = servingGroup;
    const untilMs = getLatestEndMs(demand.request);
    for (const peer of this.#listLenders(group, demand.request)) {
      const usableCapacity = demand.request.alone
        ? this.ledger.getFreeCapacity(group.groupId, untilMs)
        : this.#getUsableCapacity(servingGroup, demand.request);
      const missingCapacity = {
        slots: Math.max(0, demand.neededCapacity.slots - usableCapacity.slots),
        tokens: Math.max(
          0,
          demand.neededCapacity.tokens - usableCapacity.tokens,
        ),
      };
      if (missingCapacity.slots === 0 && missingCapacity.tokens === 0) {
        return;
      }
      await this.loanClient.borrow(peer, {
        groupId: group.groupId,
        capacity: missingCapacity,
        untilMs,
      });
    }
  }

  #listLenders(
    group: ServingGroup["group"],
    request: AdmissionRequest,
  ): string[] {
    const owners = this.#shareCalculator.getPartitionOwners(group);
    const isLimitedToFirstHome = this.warmUpLimiter.isCold(group.groupId) &&
      !request.alone &&
      !this.#shareManager.isFirstHome(group.groupId);
    const homes = isLimitedToFirstHome
      ? owners.slice(0, 1)
      : [...new Set(owners)];
    return homes.filter((name) => name !== this.#options.name);
  }

  async #acquireWholeGroup(
    request: AdmissionRequest,
    signal: AbortSignal,
  ): Promise<Either<RequestError, Grant>> {
    const candidates = this.#sortByPreference(
      this.#listCandidates(request),
      request,
    );
    candidates.sort((a, b) =>
      a.health.runningRequests - b.health.runningRequests
    );
    for (const servingGroup of candidates.slice(0, MAX_WHOLE_GROUP_ATTEMPTS)) {
      if (signal.aborted) {
        return Left(createCancelledError());
      }
      const grant = await this.#tryReserveGroup(servingGroup, request);
      if (grant !== undefined) {
        return Right(grant);
      }
    }
    const retryAfterMs = this.#getAverageServiceMs(request.model.name);
    return Left(createNoCapacityError(request, retryAfterMs));
  }

  /** Tries to reserve a whole group by borrowing the shares of all its homes. */
  async #tryReserveGroup(
    servingGroup: ServingGroup,
    request: AdmissionRequest,
  ): Promise<Grant | undefined> {
    const { groupId } = servingGroup.group;
    if (this.#reservedGroupIds.has(groupId)) {
      return undefined;
    }
    const groupCapacity = getGroupCapacity(request.model);
    this.#reservedGroupIds.add(groupId);
    try {
      await this.#borrowMissingCapacity(servingGroup, {
        neededCapacity: groupCapacity,
        request,
      });
      if (
        this.ledger.tryAcquire(groupId, groupCapacity, getLatestEndMs(request))
      ) {
        return this.#createGrant(servingGroup, request, groupCapacity);
      }
      this.loanClient.repayUnusedLoans(groupId);
      return undefined;
    } finally {
      this.#reservedGroupIds.delete(groupId);
    }
  }

  #createGrant(
    servingGroup: ServingGroup,
    request: AdmissionRequest,
    cost: Capacity,
  ): Grant {
    const { group, leaderAddress } = servingGroup;
    const startedAtMs = performance.now();
    const requestStart = { atMs: startedAtMs };
    const requestStarts = this.#requestStartsByGroup.get(group.groupId) ??
      new Set();
    this.#requestStartsByGroup.set(
      group.groupId,
      requestStarts.add(requestStart),
    );
    let isReleased = false;
    return {
      group,
      leaderAddress,
      release: (outcome: GrantOutcome) => {
        if (!isReleased) {
          isReleased = true;
          requestStarts.delete(requestStart);
          this.ledger.release(group.groupId, cost);
          this.#updateInFlightCount(request.account.name, -1);
          this.#recordOutcome(servingGroup, request, { outcome, startedAtMs });
          this.#dispatchQueues();
        }
      },
    };
  }

  #recordOutcome(
    servingGroup: ServingGroup,
    request: AdmissionRequest,
    end: { outcome: GrantOutcome; startedAtMs: number },
  ): void {
    const { groupId } = servingGroup.group;
    if (end.outcome === "group-failed") {
      this.#failedAtMsByGroup.set(groupId, performance.now());
    }
    if (end.outcome !== "finished") {
      return;
    }
    if (this.#shareManager.isFirstHome(groupId)) {
      const { startedAtMs } = end;
      this.warmUpLimiter.recordFinishedRequests(groupId, {
        count: 1,
        startedAtMs,
      });
    } else if (
      this.warmUpLimiter.isCold(groupId) &&
      end.startedAtMs >= this.warmUpLimiter.getColdSinceMs(groupId)
    ) {
      this.loanClient.recordFinishedRequest(groupId);
    }
    const model = request.model.name;
    const serviceMs = performance.now() - end.startedAtMs;
    const averageMs = this.#averageServiceMsByModel.get(model) ?? serviceMs;
    this.#averageServiceMsByModel.set(
      model,
      averageMs + (serviceMs - averageMs) * SERVICE_TIME_SMOOTHING_FACTOR,
    );
  }

  #listCandidates(request: AdmissionRequest): ServingGroup[] {
    return this.#chooseCandidates(
      this.#options.directory.getServingGroups(request.model.name),
      request,
    );
  }

  #chooseCandidates(
    servingGroups: readonly ServingGroup[],
    request: AdmissionRequest,
  ): ServingGroup[] {
    return servingGroups.filter((s) =>
      !request.excludedGroupIds.has(s.group.groupId) &&
      !this.#reservedGroupIds.has(s.group.groupId) &&
      this.#hasAcceptableHealth(s, request.model)
    );
  }

  /** Gets whether the health that the group reports allows a new request. This is a second check in addition to the shares. */
  #hasAcceptableHealth(
    servingGroup: ServingGroup,
    model: ModelConfig,
  ): boolean {
    const { health, group } = servingGroup;
    // A health report from before the failure does not show whether the group has restarted since.
    const failedAtMs = this.#failedAtMsByGroup.get(group.groupId);
    const isOutdated = failedAtMs !== undefined &&
      health.observedAtMs <= failedAtMs;
    return !isOutdated && health.runningRequests <= model.slotsPerGroup &&
      health.heldTokens <= model.kvTokensPerGroup;
  }

  #sortByPreference(
    servingGroups: readonly ServingGroup[],
    request: AdmissionRequest,
  ): ServingGroup[] {
    const candidates = servingGroups.map((g) => this.#createCandidate(g));
    return listPreferredGroups(candidates, {
      zone: this.#options.zone,
      prefixHash: request.prefixHash,
    }).map((c) => c.servingGroup);
  }

  #createCandidate(
    servingGroup: ServingGroup,
  ): GroupCandidate & { readonly servingGroup: ServingGroup } {
    const { groupId, zone } = servingGroup.group;
    const usedSlots = this.ledger.getUsedCapacity(groupId).slots;
    const load = Math.max(servingGroup.health.runningRequests, usedSlots);
    return { servingGroup, groupId, zone, load };
  }

  #listSharedGroups(): LendableGroup[] {
    const models = this.#options.configHolder.getCurrent()?.document.models;
    const modelByName = new Map(models?.map((m) => [m.name, m]));
    return this.#options.placementHolder.getGroups().flatMap((group) => {
      const model = modelByName.get(group.model);
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
      this.warmUpLimiter.observeHealth(health, {
        model,
        isFirstHome: this.#shareManager.isFirstHome(groupId),
        accountedRequests: this.#countRequestsStartedBefore(groupId, health) +
          this.ledger.getLentCapacity(groupId).slots,
      });
    }
  }

  /** Counts this daemon's running requests that started before the group was observed. The observation may not include later ones. */
  #countRequestsStartedBefore(
    groupId: string,
    { observedAtMs }: ReceivedGroupHealth,
  ): number {
    const requestStarts = [...this.#requestStartsByGroup.get(groupId) ?? []];
    return requestStarts.filter(({ atMs }) => atMs <= observedAtMs).length;
  }

  #refuseExpiredWaiters(): void {
    const now = performance.now();
    for (const queue of this.#queues.values()) {
      for (const waiter of queue.list()) {
        if (waiter.request.deadlineAtMs <= now && queue.remove(waiter)) {
          const model = waiter.request.model.name;
          waiter.resolve(Left(createRefusal("deadline-exceeded", {
            message:
              "The deadline of the request passed before a group had free capacity",
            retryAfterMs: this.#getAverageServiceMs(model),
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

  #getAverageServiceMs(model: string): number {
    return this.#averageServiceMsByModel.get(model) ?? MIN_RETRY_AFTER_MS;
  }

  #updateInFlightCount(account: string, delta: number): void {
    const inFlight = (this.#inFlightCountByAccount.get(account) ?? 0) + delta;
    if (inFlight > 0) {
      this.#inFlightCountByAccount.set(account, inFlight);
    } else {
      this.#inFlightCountByAccount.delete(account);
    }
  }
}

/**
 * Gets the hold-down in milliseconds: twice the longest time by which a daemon's view may lag behind the true VM list.
 *
 * @param options - Lag of the VM list and time between two reads.
 */
export function getHoldDownMs(
  options: Pick<SharedAdmissionOptions, "vmListLagMs" | "vmListIntervalMs">,
): number {
  return 2 *
    (options.vmListLagMs + options.vmListIntervalMs + REFRESH_INTERVAL_MS);
}

function createLendableGroup(
  group: ServingGroup["group"],
  model: ModelConfig,
): LendableGroup {
  const { groupId, zone } = group;
  return { groupId, zone, model, capacity: getGroupCapacity(model) };
}

function getGroupCapacity(model: ModelConfig): Capacity {
  return { slots: model.slotsPerGroup, tokens: model.kvTokensPerGroup };
}

/** Gets the latest time at which a request may still occupy its group. */
function getLatestEndMs(request: AdmissionRequest): number {
  return request.deadlineAtMs + CANCELLATION_MARGIN_MS;
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

function createNoCapacityError(
  request: AdmissionRequest,
  retryAfterMs: number,
): RequestError {
  return createRefusal("no-capacity", {
    message:
      `No group of model "${request.model.name}" has room for the request`,
    retryAfterMs,
  });
}

function createCancelledError(): RequestError {
  return new RequestError(
    "The caller disconnected before the request started",
    {
      code: "cancelled",
      verdict: "not-run",
      status: 499,
    },
  );
}
