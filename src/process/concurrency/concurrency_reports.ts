import type { PeerRelation } from "../../connection/peer_notice.ts";
import {
  type NoticeSection,
  NoticeSectionError,
} from "../notices/notice_section.ts";
import { combineEvidence, type Evidence, limitWeight } from "./evidence.ts";
import { BEGIN_RATIO } from "./server_estimator.ts";

/** Maximum number of servers in a report, those with the most evidence of a slowdown first. */
const MAX_ENTRIES = 100;
/** Maximum weight that an entry may have, so that one partner's error is bounded. */
const MAX_ENTRY_WEIGHT = 100;
/** Highest ratio of the expected to the observed time in an entry: events that arrive sooner belong to the last batch. */
const MAX_EXPECTED_SHARE = 5;
/** Highest mean ratio that an entry may have: the highest ratio of one observation over a baseline of 1/8. */
const MAX_ENTRY_RATIO = 64;
/** Highest mean number of concurrent requests that an entry may have. */
const MAX_ENTRY_LOAD = 1_000_000;
const MAX_KEY_LENGTH = 300;
/** Age at which evidence of a partner is no longer used, in milliseconds: that of the observation window and one second for the reports of a hub that is slow. */
const MAX_AGE_MS = 3_000;
/** Time after the first report of a server in which the report changes often, in milliseconds: until the daemons have the evidence to judge it. */
const NEW_KEY_PERIOD_MS = 1_500;
/** Minimum time between two changes of the report in this period, in milliseconds. */
const MIN_REPORT_INTERVAL_MS = 200;
/** Minimum time between two changes at other times, in milliseconds. The evidence of a peer is used for three times as long. */
const STEADY_REPORT_INTERVAL_MS = 1_000;
/** Time between two changes of the report for each of its entries, in milliseconds. An entry has about 55 bytes, so 40 of them take 1 KB a second on each link. */
const REPORT_INTERVAL_PER_ENTRY_MS = 50;
/** Maximum time between two changes, in milliseconds, so that evidence does not get too old to be used. */
const MAX_REPORT_INTERVAL_MS = 2_000;

/** Evidence of one server, in multiples of the baseline of the daemon that observed it. */
export interface ServerEvidence {
  readonly evidence: Evidence;
  /** Monotonic time of the newest observation, in milliseconds. */
  readonly observedAtMs: number;
}

/** Report in notices: key; weight, expected, ratios, squares and loads of the evidence; age in milliseconds. */
type ReportEntry = readonly [
  string,
  number,
  number,
  number,
  number,
  number,
  number,
];

interface PartnerReport {
  readonly relation: PeerRelation;
  readonly entries: ReadonlyMap<string, ServerEvidence>;
}

/**
 * Exchanges evidence of slow servers with the other daemons, since each alone sends too few requests to a server to judge it soon. A member reports its own evidence, a hub that of its members and its own to other hubs, and all that it knows to its members. The evidence that a hub returns to a member contains that member's own; it then counts twice, which changes the weight but hardly the mean.
 */
export class ConcurrencyReports implements NoticeSection {
  readonly name = "concurrency";
  readonly #onReportChange: () => void;
  readonly #listeners = new Set<() => void>();
  readonly #partners = new Map<string, PartnerReport>();
  #ownEntries: ReadonlyMap<string, ServerEvidence> = new Map();
  #reports = new Map<PeerRelation, readonly ReportEntry[]>();
  #changedAtMs = Number.NEGATIVE_INFINITY;
  /** Monotonic time at which a server was added to a report, in milliseconds. */
  #newKeyAtMs = Number.NEGATIVE_INFINITY;

  /**
   * @param options.onReportChange - Called when there is a changed report to send.
   */
  constructor(options: { onReportChange(): void }) {
    this.#onReportChange = options.onReportChange;
  }

  /** Registers a listener that is called after a partner has reported. */
  onPeerReport(listener: () => void): void {
    this.#listeners.add(listener);
  }

  /** Lists the keys of the servers that partners report. */
  listKeys(): Set<string> {
    return new Set(
      [...this.#partners.values()].flatMap(({ entries }) => [
        ...entries.keys(),
      ]),
    );
  }

  /** Gets the evidence of the partners about a server; undefined when there is no recent one. */
  getPeerEvidence(key: string, nowMs: number): ServerEvidence | undefined {
    return this.#combine(key, nowMs, [...this.#partners.values()]);
  }

  /** Gets whether partners have recent evidence that a server is slow. */
  isSuspect(key: string, nowMs: number): boolean {
    const evidence = this.getPeerEvidence(key, nowMs)?.evidence;
    return evidence !== undefined &&
      evidence.ratios >= evidence.expected * BEGIN_RATIO;
  }

  /** Sets the evidence of this daemon that its reports contain, and updates them unless they have just changed. */
  setOwnEntries(
    entries: ReadonlyMap<string, ServerEvidence>,
    nowMs: number,
  ): void {
    this.#ownEntries = entries;
    this.#removeOutdated(nowMs);
    if (nowMs - this.#changedAtMs < this.#getIntervalMs(nowMs)) {
      return;
    }
    const relations: PeerRelation[] = ["member", "equal", "hub"];
    const changes = relations.map((relation) =>
      this.#updateReport(relation, nowMs)
    );
    if (changes.includes(true)) {
      this.#changedAtMs = nowMs;
      this.#onReportChange();
    }
  }

  getReport(relation: PeerRelation): unknown {
    return this.#reports.get(relation);
  }

  applyReport(
    partner: string,
    relation: PeerRelation,
    report: unknown,
  ): void {
    this.#partners.set(partner, { relation, entries: decodeReport(report) });
    this.#listeners.forEach((listener) => listener());
  }

  removePartner(name: string): void {
    this.#partners.delete(name);
  }

  #getIntervalMs(nowMs: number): number {
    const entryCount = this.#reports.get("hub")?.length ?? 0;
    const isNew = nowMs - this.#newKeyAtMs < NEW_KEY_PERIOD_MS;
    return Math.max(
      isNew ? MIN_REPORT_INTERVAL_MS : STEADY_REPORT_INTERVAL_MS,
      Math.min(
        MAX_REPORT_INTERVAL_MS,
        entryCount * REPORT_INTERVAL_PER_ENTRY_MS,
      ),
    );
  }

  #updateReport(relation: PeerRelation, nowMs: number): boolean {
    const entries = this.#createReport(relation, nowMs);
    const previous = this.#reports.get(relation);
    const isUnchanged = previous === undefined
      ? entries.length === 0
      : hasSameEvidence(previous, entries);
    if (!isUnchanged) {
      const previousKeys = new Set(previous?.map(([key]) => key));
      if (entries.some(([key]) => !previousKeys.has(key))) {
        this.#newKeyAtMs = nowMs;
      }
      this.#reports.set(relation, entries);
    }
    return !isUnchanged;
  }

  #createReport(relation: PeerRelation, nowMs: number): ReportEntry[] {
    const partners = [...this.#partners.values()].filter((partner) =>
      partner.relation === "member"
        ? relation !== "member"
        : partner.relation === "equal" && relation === "hub"
    );
    const keys = new Set([
      ...this.#ownEntries.keys(),
      ...partners.flatMap(({ entries }) => [...entries.keys()]),
    ]);
    const entries: ReportEntry[] = [];
    for (const key of keys) {
      const known = this.#combine(key, nowMs, partners, this.#ownEntries);
      if (known !== undefined) {
        entries.push(createEntry(key, known, nowMs));
      }
    }
    return entries.sort((a, b) => b[3] - a[3]).slice(0, MAX_ENTRIES);
  }

  #combine(
    key: string,
    nowMs: number,
    partners: readonly PartnerReport[],
    ownEntries?: ReadonlyMap<string, ServerEvidence>,
  ): ServerEvidence | undefined {
    let combined: ServerEvidence | undefined;
    for (const entries of [ownEntries, ...partners.map((p) => p.entries)]) {
      const entry = entries?.get(key);
      if (entry === undefined || nowMs - entry.observedAtMs > MAX_AGE_MS) {
        continue;
      }
      combined = combined === undefined ? entry : {
        evidence: combineEvidence(combined.evidence, entry.evidence),
        observedAtMs: Math.max(combined.observedAtMs, entry.observedAtMs),
      };
    }
    return combined;
  }

  #removeOutdated(nowMs: number): void {
    for (const [name, { relation, entries }] of this.#partners) {
      const recentEntries = [...entries].filter(([, { observedAtMs }]) =>
        nowMs - observedAtMs <= MAX_AGE_MS
      );
      if (recentEntries.length === 0) {
        this.#partners.delete(name);
      } else if (recentEntries.length < entries.size) {
        this.#partners.set(name, {
          relation,
          entries: new Map(recentEntries),
        });
      }
    }
  }
}

function createEntry(
  key: string,
  { evidence, observedAtMs }: ServerEvidence,
  nowMs: number,
): ReportEntry {
  const { weight, expected, ratios, squares, loads } = limitWeight(
    evidence,
    MAX_ENTRY_WEIGHT,
  );
  return [
    key,
    formatSum(weight),
    formatSum(expected),
    formatSum(ratios),
    formatSum(squares),
    formatSum(loads),
    Math.max(0, Math.round(nowMs - observedAtMs)),
  ];
}

function formatSum(sum: number): number {
  return Math.round(sum * 1_000) / 1_000;
}

/** Gets whether two reports differ at most in the ages of their entries, which the receivers count on. */
function hasSameEvidence(
  previous: readonly ReportEntry[],
  current: readonly ReportEntry[],
): boolean {
  return previous.length === current.length &&
    previous.every((entry, i) =>
      entry.slice(0, -1).every((value, field) => value === current[i][field])
    );
}

function decodeReport(report: unknown): Map<string, ServerEvidence> {
  if (!Array.isArray(report) || report.length > MAX_ENTRIES) {
    throw new NoticeSectionError(
      `The report must be an array of at most ${MAX_ENTRIES} entries`,
    );
  }
  return new Map(report.map((entry) => decodeEntry(entry)));
}

function decodeEntry(entry: unknown): [string, ServerEvidence] {
  const [key, ...sums] = Array.isArray(entry) ? entry : [];
  const isKey = typeof key === "string" && key.length > 0 &&
    key.length <= MAX_KEY_LENGTH;
  const areSums = sums.length === 6 &&
    sums.every((sum) =>
      typeof sum === "number" && Number.isFinite(sum) && sum >= 0
    );
  if (!isKey || !areSums) {
    throw new NoticeSectionError(
      "An entry must have a key and six numbers that are not negative",
    );
  }
  const [weight, expected, ratios, squares, loads, ageMs] = sums as number[];
  const isConsistent = weight > 0 && weight <= MAX_ENTRY_WEIGHT &&
    expected > 0 && expected <= MAX_ENTRY_WEIGHT * MAX_EXPECTED_SHARE &&
    ratios <= expected * MAX_ENTRY_RATIO &&
    squares <= expected * MAX_ENTRY_RATIO ** 2 &&
    loads <= weight * MAX_ENTRY_LOAD;
  if (!isConsistent) {
    throw new NoticeSectionError(
      `The sums of the entry "${key}" are outside their ranges`,
    );
  }
  return [key, {
    evidence: { weight, expected, ratios, squares, loads },
    observedAtMs: performance.now() - ageMs,
  }];
}
