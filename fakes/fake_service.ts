import express, { type Express, type Request, type Response } from "express";
import {
  applyFaultsBeforeRequest,
  type CommonFaults,
  createCommonFaults,
  takeDroppedResponse,
} from "./fault_switches.ts";
import { HttpListener } from "./http_listener.ts";

/** Record of one executed request. */
export interface RecordedRun {
  readonly method: string;
  readonly path: string;
  readonly idempotencyKey: string | undefined;
  readonly requestId: string | undefined;
  readonly body: string;
  readonly atMs: number;
}

/** Fake of a plain service that records every request that it executes. */
export class FakeService {
  readonly faults: CommonFaults = createCommonFaults();
  readonly runs: RecordedRun[] = [];
  readonly #listener: HttpListener;

  constructor() {
    this.#listener = new HttpListener(this.#createApp());
  }

  /** Returns the address as `host:port`. */
  get address(): string {
    return this.#listener.address;
  }

  /** Starts the server and returns its address. */
  start(port = 0): Promise<string> {
    return this.#listener.listen(port);
  }

  async dispose(): Promise<void> {
    await this.#listener.close();
  }

  /** Returns how many requests with the idempotency key were executed. */
  getRunCount(idempotencyKey: string): number {
    return this.runs.filter((r) => r.idempotencyKey === idempotencyKey).length;
  }

  #createApp(): Express {
    const app = express();
    app.disable("x-powered-by");
    app.post("/control/faults", express.json(), (req, res) => {
      Object.assign(this.faults, req.body);
      res.json(this.faults);
    });
    app.get("/control/runs", (_req, res) => {
      res.json(this.runs);
    });
    app.use(express.text({ type: () => true, limit: "4mb" }));
    app.use((req, res) => this.#handleRequest(req, res));
    return app;
  }

  async #handleRequest(req: Request, res: Response): Promise<void> {
    const isUnavailable = this.faults.down || this.faults.refuseNext > 0;
    if (isUnavailable) {
      await applyFaultsBeforeRequest(this.faults);
      res.status(503).json({ message: "The service is unavailable" });
      return;
    }
    const run: RecordedRun = {
      method: req.method,
      path: req.originalUrl,
      idempotencyKey: req.header("idempotency-key"),
      requestId: req.header("x-request-id"),
      body: typeof req.body === "string" ? req.body : "",
      atMs: Date.now(),
    };
    this.runs.push(run);
    await applyFaultsBeforeRequest(this.faults);
    if (takeDroppedResponse(this.faults)) {
      res.destroy();
      return;
    }
    res.status(200).json({
      run: this.runs.indexOf(run) + 1,
      method: run.method,
      path: run.path,
      echo: run.body,
    });
  }
}
