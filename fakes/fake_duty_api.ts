import type { IncomingMessage, ServerResponse } from "node:http";
import { delay } from "../src/shared/delay.ts";
import { readJson, sendJson } from "./fake_object_store.ts";
import { HttpListener } from "./http_listener.ts";

/** Call that the fake has carried out. */
export interface DutyCall {
  readonly path: string;
  readonly holder: string;
  readonly token: number;
  readonly body: unknown;
  readonly atMs: number;
}

/** Fault of the API: with `down` it refuses calls with status 503, with `lost` it gives no response and carries the calls out later. */
export type FakeDutyFault = "none" | "down" | "lost";

const CALLS_PER_SECOND = 50;
const RATE_PERIOD_MS = 1_000;

/** Fake of the platform's API for calls that are the duty of one daemon at a time. It checks the fencing token when it carries out a call. */
export class FakeDutyApi {
  readonly #listener = new HttpListener((req, res) => this.#handle(req, res));
  /** Highest token by subject. */
  readonly #tokens = new Map<string, number>();
  readonly #receivedAtMs: number[] = [];
  readonly calls: DutyCall[] = [];
  /** Accepted counts by window. */
  readonly usage = new Map<number, Record<string, number>>();
  /** Rules of the API that accepted calls have broken. */
  readonly violations: string[] = [];
  fencedCount = 0;
  limitedCount = 0;
  fault: FakeDutyFault = "none";
  /** Time after which a call without a response is carried out, in milliseconds. */
  lateMs = 1_000;

  /** Returns the address as `host:port`. */
  get address(): string {
    return this.#listener.address;
  }

  /** Starts listening. */
  async start(): Promise<void> {
    await this.#listener.listen();
  }

  /** Stops listening. */
  async dispose(): Promise<void> {
    await this.#listener.close();
  }

  #handle(req: IncomingMessage, res: ServerResponse): void {
    readJson(req).then(async (body) => {
      if (this.fault === "down") {
        sendJson(res, 503, {});
        return;
      }
      const isLost = this.fault === "lost";
      if (isLost) {
        await delay(this.lateMs);
      }
      const status = this.#applyCall({
        path: req.url ?? "",
        holder: String(req.headers["duty-holder"]),
        token: Number(req.headers["fencing-token"]),
        body,
        atMs: Date.now(),
      });
      if (isLost) {
        res.destroy();
      } else {
        sendJson(res, status, {});
      }
    }).catch(() => res.destroy());
  }

  /** Carries out a call and returns its status. */
  #applyCall(call: DutyCall): number {
    const { path, holder, token, body, atMs } = call;
    const recentCount =
      this.#receivedAtMs.filter((receivedAtMs) =>
        atMs - receivedAtMs < RATE_PERIOD_MS
      ).length;
    if (recentCount >= CALLS_PER_SECOND) {
      this.limitedCount++;
      return 429;
    }
    this.#receivedAtMs.push(atMs);
    const { Service, Zone, WindowId, Counts } = body as {
      Service?: string;
      Zone?: string;
      WindowId: number;
      Counts: Record<string, number>;
    };
    const subject = `${path} ${Service ?? ""} ${Zone ?? ""}`;
    const highestToken = this.#tokens.get(subject) ?? 0;
    if (token < highestToken) {
      this.fencedCount++;
      return 409;
    }
    const isShared = this.calls.some((other) =>
      other.path === path && other.token === token && other.holder !== holder
    );
    if (isShared) {
      this.violations.push(`two holders have used the token ${token}`);
    }
    this.#tokens.set(subject, token);
    this.calls.push(call);
    if (path === "/usage") {
      const accepted = this.usage.get(WindowId);
      if (accepted === undefined) {
        this.usage.set(WindowId, Counts);
      } else if (JSON.stringify(accepted) !== JSON.stringify(Counts)) {
        this.violations.push(`window ${WindowId} has two different counts`);
      }
    }
    return 200;
  }
}
