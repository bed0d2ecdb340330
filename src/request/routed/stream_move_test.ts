import { Buffer } from "node:buffer";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createRequestScope } from "../../../tests/support/routed_requests.ts";
import {
  type BackendCall,
  BackendError,
  type BackendResponse,
  type BackendTarget,
} from "../../connection/backend_transport.ts";
import type { ReplicaGroup } from "../../process/fleet/group_table.ts";
import { StreamAttempts } from "../../process/fleet/stream_attempts.ts";
import { RequestError } from "../../shared/errors.ts";
import { NullLogger } from "../../shared/logger.ts";
import type { EngineProfile } from "../../version/routing_config.ts";
import { ModelStreamForwarder } from "./model_stream_forwarder.ts";

const SILENCE = "a member is silent";
/** Time without an event after which a stream moves, in milliseconds. */
const MOVE_SILENCE_MS = 300;
/** Time for which callers of the route wait for an event: eight pause objectives. */
const CALLER_WAIT_MS = 2_400;
/** Time after that in which a caller that waits no longer has closed its connection, in milliseconds. */
const CLOSE_MS = 500;
const NO_CAPACITY = new RequestError("No group has a free slot", {
  code: "no-capacity",
  verdict: "not-run",
  status: 503,
});

/** Group whose responses a test controls. */
class TestGroup {
  readonly group: ReplicaGroup;
  /** Calls in the order in which the group received them. */
  readonly calls: BackendCall[] = [];
  isReleased = false;
  readonly #chunks: (Buffer | "end" | Error)[] = [];
  #onChunk = () => {};
  #onResponse = (_: BackendResponse | Error) => {};

  constructor(name: string) {
    this.group = {
      key: `${name}/1`,
      name,
      generation: 1,
      head: { id: name, address: "127.0.0.1:1", startedAtMs: 1 },
      members: [],
    } as unknown as ReplicaGroup;
  }

  get isAborted(): boolean {
    return this.calls[0].signal.aborted;
  }

  receive(call: BackendCall): Promise<BackendResponse> {
    this.calls.push(call);
    this.#chunks.length = 0;
    call.signal.addEventListener("abort", () => this.abort("aborted"));
    return new Promise((resolve, reject) => {
      this.#onResponse = (response) =>
        response instanceof Error ? reject(response) : resolve(response);
    });
  }

  /** Responds with a status; a stream follows the status 200. */
  answer(status = 200): void {
    this.#onResponse({
      status,
      headers: [],
      verdict: status === 503 ? "not-run" : "ran",
      requestLimit: "unlimited",
      isServerLeaving: false,
      pause: "none",
      isConnectionReused: false,
      body: status === 200 ? this.#readChunks() : createEmptyBody(),
    });
  }

  stream(...ids: number[]): void {
    for (const id of ids) {
      this.#pushChunk(Buffer.from(`id: ${id}\ndata: ${id}\n\n`));
    }
  }

  finish(): void {
    this.#pushChunk("end");
  }

  abort(kind: "aborted" | "reset"): void {
    const error = new BackendError(`The attempt was ${kind}`, {
      kind,
      verdict: "may-have-run",
    });
    this.#onResponse(error);
    this.#pushChunk(error);
  }

  /** Fails with an error that says nothing about the server. */
  abortRequest(error: Error): void {
    this.#onResponse(error);
  }

  /** Ends the stream with an error that says nothing about the server. */
  abortStream(error: Error): void {
    this.#pushChunk(error);
  }

  #pushChunk(chunk: Buffer | "end" | Error): void {
    this.#chunks.push(chunk);
    this.#onChunk();
  }

  async *#readChunks(): AsyncGenerator<Buffer> {
    for (;;) {
      const chunk = this.#chunks.shift();
      if (chunk === undefined) {
        await new Promise<void>((resolve) => this.#onChunk = resolve);
      } else if (chunk instanceof Error) {
        throw chunk;
      } else if (chunk === "end") {
        return;
      } else {
        yield chunk;
      }
    }
  }
}

async function* createEmptyBody(): AsyncGenerator<Buffer> {}

/** Streaming request whose first group has sent two events and is silent. */
class SilentStream {
  groups = [new TestGroup("s1"), new TestGroup("s2")];
  maxAttempts = 2;
  /** Keys of the groups that were excluded from each grant, in the order of the requests for one. */
  readonly excludedKeys: string[][] = [];
  /** Number of slots that were granted. */
  grantCount = 0;
  readonly attempts = new StreamAttempts();
  text = "";
  /** Resolves when the caller reads on; undefined while it reads at once. */
  writable: Promise<void> | undefined;
  isFinished = false;
  retryPermits = 1;
  /** Whether the second group has a free slot. */
  hasFreeSlot = true;
  acquireSignal: AbortSignal | undefined;
  /** Grants the slot for which the request waits. */
  grantSlot = () => {};
  result: Promise<unknown> = Promise.resolve();

  async start(): Promise<void> {
    const freeGroups = [...this.groups];
    let hasStarted = false;
    const scope = createRequestScope({
      context: {
        logger: new NullLogger(),
        metrics: { record: () => {}, count: () => {} },
        attempts: this.attempts,
        crashes: {
          isRefused: () => false,
          recordCrash: () => {},
          countCrashes: () => 0,
          recordSuccess: () => {},
        },
        promptParts: {
          findRefusedPart: () => undefined,
          recordSuccess: () => {},
        },
        serverLimits: { recordResponse: () => {} },
        serverStatements: { recordResponse: () => {} },
        groupFailureDetector: { checkGroup: () => Promise.resolve() },
        directory: { findServer: (id: string) => ({ id, startedAtMs: 1 }) },
        admission: {
          acquire: (
            { signal, excludedGroups }: {
              signal: AbortSignal;
              excludedGroups: ReadonlySet<string>;
            },
          ) => {
            this.excludedKeys.push([...excludedGroups]);
            const isFirst = freeGroups.length === this.groups.length;
            const takeSlot = () => {
              this.grantCount++;
              const testGroup = freeGroups.shift()!;
              return {
                group: testGroup.group,
                release: () => testGroup.isReleased = true,
              };
            };
            if (freeGroups.length > 0 && (isFirst || this.hasFreeSlot)) {
              return Promise.resolve(takeSlot());
            }
            this.acquireSignal = signal;
            return new Promise((resolve, reject) => {
              this.grantSlot = () => resolve(takeSlot());
              signal.addEventListener("abort", () => reject(NO_CAPACITY));
            });
          },
        },
        getRetryBudget: () => ({
          hasPermit: () => this.retryPermits > 0,
          tryAcquire: () => this.retryPermits-- > 0,
        }),
        transport: {
          isAccepting: () => Promise.resolve(false),
          send: ({ serverId }: BackendTarget, call: BackendCall) =>
            this.groups.find(({ group }) => group.head.id === serverId)!
              .receive(call),
        },
      },
      route: {
        maxAttempts: this.maxAttempts,
        isResumable: true,
        latencyObjectiveMs: 100,
        pauseObjectiveMs: 300,
      },
      writer: {
        hasStarted: () => hasStarted,
        openStream: () => hasStarted = true,
        write: (chunk) => {
          this.text += chunk;
          return this.writable;
        },
        finish: () => this.isFinished = true,
      },
    });
    const forwarder = new ModelStreamForwarder(scope, {
      engine: { models: [], slots: 1 } as unknown as EngineProfile,
      modelRequest: {
        model: "m",
        promptTokens: 1,
        maxOutputTokens: 1,
        promptParts: [],
      },
    });
    this.result = forwarder.run().catch((error: unknown) => error);
    await runTasks();
    this.groups[0].answer();
    this.groups[0].stream(1, 2);
    await runTasks();
  }

  /** Reports the silence of the first group. */
  async reportSilence(key = "s1/1"): Promise<void> {
    this.attempts.abandonGroup(key, SILENCE);
    await runTasks();
  }

  listEventIds(): number[] {
    return [...this.text.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
  }
}

/** Lets all tasks run that wait for no timer. */
async function runTasks(): Promise<void> {
  await vi.advanceTimersByTimeAsync(0);
}

describe("StreamMove", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  /** Starts a stream whose first group falls silent. */
  async function startStream(
    options: Partial<
      Pick<
        SilentStream,
        "retryPermits" | "hasFreeSlot" | "groups" | "maxAttempts"
      >
    > = {},
  ) {
    const stream = Object.assign(new SilentStream(), options);
    await stream.start();
    await vi.advanceTimersByTimeAsync(MOVE_SILENCE_MS);
    await stream.reportSilence();
    const [silentGroup, otherGroup] = stream.groups;
    return { stream, silentGroup, otherGroup };
  }

  /** Lets the silent group go on, and expects the whole response. */
  async function checkWholeResponse(stream: SilentStream): Promise<void> {
    const [silentGroup] = stream.groups;
    silentGroup.stream(3, 4);
    silentGroup.finish();
    await runTasks();
    expect(await stream.result).toBeUndefined();
    expect(stream.isFinished).toBe(true);
    expect(stream.listEventIds()).toEqual([1, 2, 3, 4]);
    expect(silentGroup.isReleased).toBe(true);
  }

  it("continues the stream at another group once that group responds", async () => {
    const { stream, silentGroup, otherGroup } = await startStream();
    expect(otherGroup.calls[0].resumeAfter).toBe(2);
    expect(silentGroup.isAborted).toBe(false);
    otherGroup.answer();
    otherGroup.stream(3);
    await runTasks();
    expect(silentGroup.isAborted).toBe(true);
    expect(silentGroup.isReleased).toBe(true);
    otherGroup.stream(4);
    otherGroup.finish();
    await runTasks();
    expect(await stream.result).toBeUndefined();
    expect(stream.listEventIds()).toEqual([1, 2, 3, 4]);
    expect(otherGroup.isReleased).toBe(true);
  });

  // Guards against a stream that is cut because its retries are used up, although its silent server goes on.
  it("lets the silent group go on without a retry budget", async () => {
    const { stream, otherGroup } = await startStream({ retryPermits: 0 });
    expect(otherGroup.calls).toHaveLength(0);
    expect(stream.grantCount).toBe(1);
    await checkWholeResponse(stream);
  });

  // Guards against a stream that waits for another group until its deadline, although its silent server goes on.
  it("lets the silent group go on while no other group has a free slot", async () => {
    const { stream } = await startStream({ hasFreeSlot: false });
    await checkWholeResponse(stream);
    expect(stream.acquireSignal?.aborted).toBe(true);
  });

  // Guards against a stream that is cut because the groups that were to continue it are closing or full.
  it("lets the silent group go on when the other group declines", async () => {
    const { stream, otherGroup } = await startStream();
    otherGroup.answer(503);
    await runTasks();
    expect(otherGroup.isReleased).toBe(true);
    await checkWholeResponse(stream);
  });

  it("lets the silent group go on when the other group fails", async () => {
    const { stream, otherGroup } = await startStream();
    otherGroup.abort("reset");
    await runTasks();
    expect(otherGroup.isReleased).toBe(true);
    await checkWholeResponse(stream);
  });

  it("is cancelled when the silent group goes on first", async () => {
    const { stream, silentGroup, otherGroup } = await startStream();
    silentGroup.stream(3);
    await runTasks();
    expect(otherGroup.isAborted).toBe(true);
    expect(otherGroup.isReleased).toBe(true);
    silentGroup.stream(4);
    silentGroup.finish();
    await runTasks();
    expect(await stream.result).toBeUndefined();
    expect(stream.listEventIds()).toEqual([1, 2, 3, 4]);
  });

  it("continues the stream when the silent group fails before the other one responds", async () => {
    const { stream, silentGroup, otherGroup } = await startStream();
    silentGroup.abort("reset");
    await runTasks();
    otherGroup.answer();
    otherGroup.stream(3, 4);
    otherGroup.finish();
    await runTasks();
    expect(await stream.result).toBeUndefined();
    expect(stream.listEventIds()).toEqual([1, 2, 3, 4]);
  });

  it("sends the request to one other group for repeated reports of the silence", async () => {
    const { stream, otherGroup } = await startStream();
    await stream.reportSilence();
    await stream.reportSilence();
    expect(otherGroup.calls).toHaveLength(1);
    await checkWholeResponse(stream);
  });

  // Guards against a group that keeps a slot and an unread response after the other group of a move fell silent too.
  it("continues the stream at a third group when the second one falls silent after the first one failed", async () => {
    const groups = ["s1", "s2", "s3", "s4"].map((name) => new TestGroup(name));
    const { stream } = await startStream({
      groups,
      maxAttempts: 3,
      retryPermits: 3,
    });
    groups[0].abort("reset");
    await runTasks();
    await vi.advanceTimersByTimeAsync(MOVE_SILENCE_MS);
    await stream.reportSilence("s2/1");
    groups[2].answer();
    groups[2].stream(3, 4);
    groups[2].finish();
    await runTasks();
    expect(groups[3].calls).toHaveLength(0);
    expect(await stream.result).toBeUndefined();
    expect(stream.listEventIds()).toEqual([1, 2, 3, 4]);
    expect(groups.slice(0, 3).map(({ isReleased }) => isReleased))
      .toEqual([true, true, true]);
  });

  // Guards against a slot that is never released because its request has failed meanwhile.
  it("releases the slot of a move that nothing waits for when the request fails", async () => {
    const groups = ["s1", "s2", "s3"].map((name) => new TestGroup(name));
    const { stream } = await startStream({
      groups,
      maxAttempts: 3,
      retryPermits: 2,
    });
    groups[0].abort("reset");
    await runTasks();
    await vi.advanceTimersByTimeAsync(MOVE_SILENCE_MS);
    await stream.reportSilence("s2/1");
    groups[2].answer();
    groups[2].stream(3);
    await runTasks();
    await vi.advanceTimersByTimeAsync(20_000);
    await stream.result;
    expect(groups.map(({ isReleased }) => isReleased))
      .toEqual([true, true, true]);
    expect(stream.attempts.listByGroup()).toEqual([]);
  });

  // Guards against a sound group that no longer takes the stream because an earlier move to it was cancelled.
  it("may choose the group of a cancelled move again", async () => {
    const { stream, silentGroup } = await startStream({
      maxAttempts: 3,
      retryPermits: 3,
    });
    silentGroup.stream(3);
    await runTasks();
    silentGroup.abort("reset");
    await runTasks();
    expect(stream.excludedKeys.at(-1)).toEqual(["s1/1"]);
  });

  // Guards against requests that are counted towards the limits of a server without being sent.
  it("takes no slot while the retry budget is exhausted", async () => {
    const { stream } = await startStream({
      groups: ["s1", "s2", "s3", "s4"].map((name) => new TestGroup(name)),
      retryPermits: 0,
    });
    await stream.reportSilence();
    await stream.reportSilence();
    expect(stream.grantCount).toBe(1);
  });

  // Guards against a request that runs on although its move was cancelled between the grant of the slot and the sending.
  it("ends the request to the other group whenever the silent group goes on", async () => {
    for (let turns = 0; turns < 20; turns++) {
      const { stream, silentGroup, otherGroup } = await startStream({
        hasFreeSlot: false,
      });
      stream.grantSlot();
      for (let turn = 0; turn < turns; turn++) {
        await Promise.resolve();
      }
      silentGroup.stream(3);
      await runTasks();
      expect(
        otherGroup.calls.filter(({ signal }) => !signal.aborted),
        `after ${turns} turns`,
      ).toEqual([]);
      expect(otherGroup.isReleased).toBe(true);
    }
  });

  // Guards against a stream that is cut because a move that was cancelled counts as an attempt. MaxAttempts limits the number of servers, and the other group has been sent the request already.
  it("continues the stream at the group of a cancelled move when the silent group is lost later", async () => {
    const firstGroup = new TestGroup("s1");
    const secondGroup = new TestGroup("s2");
    const { stream } = await startStream({
      groups: [firstGroup, secondGroup, secondGroup],
      retryPermits: 2,
    });
    firstGroup.stream(3);
    await runTasks();
    firstGroup.abort("reset");
    await runTasks();
    expect(secondGroup.calls).toHaveLength(2);
    secondGroup.answer();
    secondGroup.stream(4);
    secondGroup.finish();
    await runTasks();
    expect(await stream.result).toBeUndefined();
    expect(stream.listEventIds()).toEqual([1, 2, 3, 4]);
  });

  // Guards against an unhandled rejection, which ends the process with all of its requests.
  it("lets the silent group go on when the move fails unexpectedly", async () => {
    const { stream, otherGroup } = await startStream();
    otherGroup.abortRequest(new TypeError("unexpected"));
    await runTasks();
    expect(otherGroup.isReleased).toBe(true);
    await checkWholeResponse(stream);
  });

  // Guards against a request to another group that goes on after the stream has failed unexpectedly.
  it("is cancelled when the stream fails unexpectedly", async () => {
    const { stream, silentGroup, otherGroup } = await startStream();
    silentGroup.abortStream(new TypeError("unexpected"));
    await runTasks();
    expect(await stream.result).toBeInstanceOf(TypeError);
    expect(otherGroup.isAborted).toBe(true);
    expect(otherGroup.isReleased).toBe(true);
  });

  // Guards against a stream that holds its caller until the deadline, because no group can continue it, and against one that the daemon ends just before its caller does: a caller counts a pause from the arrival of the last event.
  it("ends the attempt when callers have ceased to wait for the silent group", async () => {
    const { stream, silentGroup } = await startStream({ retryPermits: 0 });
    await vi.advanceTimersByTimeAsync(
      CALLER_WAIT_MS + CLOSE_MS - MOVE_SILENCE_MS - 100,
    );
    await stream.reportSilence();
    expect(silentGroup.isAborted).toBe(false);
    await vi.advanceTimersByTimeAsync(100);
    await stream.reportSilence();
    expect(silentGroup.isAborted).toBe(true);
    expect(await stream.result).toBeInstanceOf(RequestError);
  });

  // Guards against a stream that uses up its attempts because another daemon, whose own connection is broken, reports the loss of its group.
  it("does not begin while events arrive", async () => {
    const stream = new SilentStream();
    await stream.start();
    await stream.reportSilence();
    const [group, otherGroup] = stream.groups;
    await vi.advanceTimersByTimeAsync(MOVE_SILENCE_MS - 50);
    group.stream(3);
    await runTasks();
    await vi.advanceTimersByTimeAsync(MOVE_SILENCE_MS - 50);
    await stream.reportSilence();
    expect(otherGroup.calls).toHaveLength(0);
    group.stream(4);
    group.finish();
    await runTasks();
    expect(await stream.result).toBeUndefined();
    expect(stream.listEventIds()).toEqual([1, 2, 3, 4]);
  });

  // Guards against a stream that is cut although its group has sent all of it, because its caller reads slowly while the group is closed or silent.
  it("does not begin while the caller reads slowly", async () => {
    const stream = new SilentStream();
    let continueReading = () => {};
    stream.writable = new Promise((resolve) => continueReading = resolve);
    await stream.start();
    const [group, otherGroup] = stream.groups;
    group.stream(3, 4);
    group.finish();
    await vi.advanceTimersByTimeAsync(2 * CALLER_WAIT_MS);
    await stream.reportSilence();
    expect(otherGroup.calls).toHaveLength(0);
    expect(group.isAborted).toBe(false);
    continueReading();
    await runTasks();
    expect(await stream.result).toBeUndefined();
    expect(stream.listEventIds()).toEqual([1, 2, 3, 4]);
  });

  // Guards against a stream that waits for the prompt to be read again, although its silent server goes on first.
  it("waits for the first bytes of the other group's response", async () => {
    const { stream, otherGroup } = await startStream();
    otherGroup.answer();
    await runTasks();
    await checkWholeResponse(stream);
    expect(otherGroup.isReleased).toBe(true);
  });
});
