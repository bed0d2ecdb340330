import { afterEach, describe, expect, it, vi } from "vitest";
import { Metrics } from "../metrics.ts";
import { createConcurrencyPart } from "./concurrency_part.ts";

describe("createConcurrencyPart", () => {
  afterEach(() => {
    vi.useRealTimers();
  });

  // Guards against metrics that a scraper cannot read, and against values of servers that do not deviate.
  it("renders the estimate of each server that deviates", () => {
    vi.useFakeTimers();
    const onReportChange = vi.fn();
    const { concurrency, sections, addGauges } = createConcurrencyPart({
      logger: { write: () => {} },
      getLoad: () => 4,
      onReportChange,
    });
    const metrics = new Metrics();
    addGauges(metrics);
    sections[0].applyReport("peer", "equal", [
      ['a"b/1', 8, 1.6, 8, 40, 32, 500],
      ["usual/1", 8, 8, 8, 8, 32, 500],
    ]);
    concurrency.runPeriod();
    expect(metrics.render()).toContain("tarragontally_slow_servers 1\n");
    const lines = metrics.render().split("\n")
      .filter((line) => line.startsWith("tarragontally_server_"));
    expect(lines).toEqual([
      'tarragontally_server_speed{server="a\\"b/1"} 0.2',
      'tarragontally_server_concurrency_limit{server="a\\"b/1"} 2.8',
      'tarragontally_server_evidence{server="a\\"b/1"} 8',
      'tarragontally_server_evidence_age_seconds{server="a\\"b/1"} 0.5',
    ]);
  });
});
