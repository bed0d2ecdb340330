import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { ConfigHolder } from "./config_holder.ts";
import { configSchema, type QuietHours } from "./config_schema.ts";
import { getQuietSpans } from "./quiet_hours.ts";
import { ConfigZonePolicy, isZoneOpen } from "./zone_policy.ts";

const EVERY_DAY: QuietHours["weekdays"] = [
  "monday",
  "tuesday",
  "wednesday",
  "thursday",
  "friday",
  "saturday",
  "sunday",
];

function createPolicy(
  quietHours: QuietHours[],
  options: { marginMs?: number; takenOut?: boolean } = {},
): ConfigZonePolicy {
  const configHolder = new ConfigHolder();
  configHolder.offer({
    version: 1,
    document: configSchema.parse({
      schemaVersion: 1,
      zones: [{
        name: "zone-a",
        region: "region-1",
        quietHours,
        takenOut: options.takenOut ?? false,
      }],
      clientAccounts: [{ name: "account-1", apiKeySha256: ["0".repeat(64)] }],
      clockSkewMarginMs: options.marginMs ?? 0,
    }),
  });
  return new ConfigZonePolicy(configHolder);
}

describe("getQuietSpans", () => {
  const cases = [
    {
      name: "a window within a day",
      timeZone: "Asia/Tokyo",
      from: "13:00",
      to: "15:00",
      around: "2026-06-01T00:00:00Z",
      start: "2026-06-01T04:00:00Z",
      end: "2026-06-01T06:00:00Z",
    },
    {
      name: "a window over midnight",
      timeZone: "Europe/Berlin",
      from: "22:00",
      to: "06:00",
      around: "2026-06-01T12:00:00Z",
      start: "2026-06-01T20:00:00Z",
      end: "2026-06-02T04:00:00Z",
    },
    {
      name: "a window over the change to summer time",
      timeZone: "Europe/Berlin",
      from: "22:00",
      to: "06:00",
      around: "2026-03-28T12:00:00Z",
      start: "2026-03-28T21:00:00Z",
      end: "2026-03-29T04:00:00Z",
    },
    {
      name: "a window over the change to winter time",
      timeZone: "Europe/Berlin",
      from: "22:00",
      to: "06:00",
      around: "2026-10-24T12:00:00Z",
      start: "2026-10-24T20:00:00Z",
      end: "2026-10-25T05:00:00Z",
    },
    {
      name: "a start that the change to summer time skips",
      timeZone: "Europe/Berlin",
      from: "02:30",
      to: "05:00",
      around: "2026-03-29T00:00:00Z",
      start: "2026-03-29T01:00:00Z",
      end: "2026-03-29T03:00:00Z",
    },
    {
      name: "an end that the change to summer time skips",
      timeZone: "America/New_York",
      from: "01:00",
      to: "02:30",
      around: "2026-03-08T06:00:00Z",
      start: "2026-03-08T06:00:00Z",
      end: "2026-03-08T07:00:00Z",
    },
    {
      name: "a start that occurs twice",
      timeZone: "Europe/Berlin",
      from: "02:30",
      to: "04:00",
      around: "2026-10-25T00:00:00Z",
      start: "2026-10-25T00:30:00Z",
      end: "2026-10-25T03:00:00Z",
    },
    {
      name: "an end that occurs twice",
      timeZone: "America/New_York",
      from: "00:30",
      to: "01:30",
      around: "2026-11-01T05:00:00Z",
      start: "2026-11-01T04:30:00Z",
      end: "2026-11-01T06:30:00Z",
    },
    {
      name: "a change of half an hour",
      timeZone: "Australia/Lord_Howe",
      from: "22:00",
      to: "06:00",
      around: "2026-04-04T12:00:00Z",
      start: "2026-04-04T11:00:00Z",
      end: "2026-04-04T19:30:00Z",
    },
  ];
  for (const test of cases) {
    // Guards against quiet hours that start late or end early on days on which the clocks change.
    it(`covers ${test.name}`, () => {
      const spans = getQuietSpans([{
        timeZone: test.timeZone,
        weekdays: EVERY_DAY,
        from: test.from,
        to: test.to,
      }], Date.parse(test.around));
      expect(spans).toContainEqual({
        startMs: Date.parse(test.start),
        endMs: Date.parse(test.end),
      });
    });
  }

  // Guards against assigning a window that crosses midnight to the weekday on which it ends.
  it("assigns a window to the weekday on which it starts", () => {
    const spans = getQuietSpans([{
      timeZone: "Asia/Tokyo",
      weekdays: ["friday"],
      from: "23:00",
      to: "01:00",
    }], Date.parse("2026-06-05T00:00:00Z"));
    expect(spans[0].startMs).toBe(Date.parse("2026-06-05T14:00:00Z"));
    expect(spans[1].startMs).toBe(Date.parse("2026-06-12T14:00:00Z"));
  });
});

describe("ConfigZonePolicy", () => {
  const window: QuietHours = {
    timeZone: "Asia/Tokyo",
    weekdays: EVERY_DAY,
    from: "22:00",
    to: "06:00",
  };

  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  describe("takesNewWork", () => {
    function checkTakesNewWork(
      time: string,
      expected: boolean,
      marginMs = 2_000,
    ): void {
      vi.setSystemTime(Date.parse(time));
      expect(createPolicy([window], { marginMs }).takesNewWork("zone-a"))
        .toBe(expected);
    }

    // Guards against new work in quiet hours on a daemon whose clock is slow and has not reached their start.
    it("stops taking new work the clock-skew margin before the window", () => {
      checkTakesNewWork("2026-06-01T12:59:57.999Z", true);
      checkTakesNewWork("2026-06-01T12:59:58.000Z", false);
    });

    // Guards against new work in quiet hours on a daemon whose clock is fast and has already reached their end.
    it("resumes taking new work the clock-skew margin after the window", () => {
      checkTakesNewWork("2026-06-01T21:00:01.999Z", false);
      checkTakesNewWork("2026-06-01T21:00:02.000Z", true);
    });

    // Guards against cached spans that are still used after the days that they cover.
    it("applies the windows of later weeks", () => {
      vi.setSystemTime(Date.parse("2026-06-01T03:00:00Z"));
      const policy = createPolicy([window]);
      for (let hour = 0; hour < 24 * 30; hour++) {
        const localHour = new Date(Date.now() + 9 * 3_600_000).getUTCHours();
        expect(policy.takesNewWork("zone-a")).toBe(
          localHour >= 6 && localHour < 22,
        );
        vi.setSystemTime(Date.now() + 3_600_000);
      }
    });

    // Guards against ignoring that a zone is taken out of service when it has no quiet hours, and against new work in a zone that is not declared.
    it("takes no new work in a zone that is taken out of service or not declared", () => {
      expect(createPolicy([], { takenOut: true }).takesNewWork("zone-a"))
        .toBe(false);
      expect(createPolicy([]).takesNewWork("zone-a")).toBe(true);
      expect(createPolicy([]).takesNewWork("zone-x")).toBe(false);
    });
  });

  describe("getNextChange", () => {
    // Guards against preparing other zones too late, or for the wrong kind of change.
    it("returns the next start or end of quiet hours", () => {
      const policy = createPolicy([window], { marginMs: 2_000 });
      vi.setSystemTime(Date.parse("2026-06-01T12:00:00Z"));
      expect(policy.getNextChange("zone-a")).toEqual({
        atMs: Date.parse("2026-06-01T12:59:58Z"),
        takesNewWork: false,
      });
      vi.setSystemTime(Date.parse("2026-06-01T14:00:00Z"));
      expect(policy.getNextChange("zone-a")).toEqual({
        atMs: Date.parse("2026-06-01T21:00:02Z"),
        takesNewWork: true,
      });
    });
  });

  describe("isZoneOpen", () => {
    // Guards against forming groups in a zone whose quiet hours are about to start.
    it("returns false within the lead time before quiet hours", () => {
      const policy = createPolicy([window]);
      vi.setSystemTime(Date.parse("2026-06-01T12:50:00Z"));
      const zone = "zone-a";
      expect(isZoneOpen(policy, { zone, leadMs: 599_000 })).toBe(true);
      expect(isZoneOpen(policy, { zone, leadMs: 600_000 })).toBe(false);
    });
  });
});
