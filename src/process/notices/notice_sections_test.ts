import { describe, expect, it, vi } from "vitest";
import { NoticeSectionError } from "./notice_section.ts";
import { NoticeSections } from "./notice_sections.ts";

function createSection(name: string, report: unknown) {
  return {
    name,
    getReport: () => report,
    applyReport: vi.fn(),
    removePartner: vi.fn(),
  };
}

describe("NoticeSections", () => {
  it("leaves out sections without a report", () => {
    const sections = new NoticeSections({ logger: { write: vi.fn() } });
    sections.add(createSection("a", { n: 1 }));
    sections.add(createSection("b", undefined));
    expect([...sections.getReports("equal")]).toEqual([["a", { n: 1 }]]);
  });

  // One invalid report must not close the link or hide the reports of other parts.
  it("applies the other sections of a notice with an invalid one, and logs it once", () => {
    const write = vi.fn();
    const sections = new NoticeSections({ logger: { write } });
    const invalid = createSection("a", undefined);
    invalid.applyReport.mockImplementation(() => {
      throw new NoticeSectionError("The report must be an object");
    });
    const valid = createSection("b", undefined);
    sections.add(invalid);
    sections.add(valid);
    sections.applyReports("entry-2", "hub", { a: 1, unknown: 2, b: 3 });
    sections.applyReports("entry-2", "hub", { a: 1 });
    expect(valid.applyReport).toHaveBeenCalledWith("entry-2", "hub", 3);
    expect(write).toHaveBeenCalledTimes(1);
    expect(write.mock.calls[0][1]).toBe("notice-section-invalid");
  });

  it("forgets a partner in all sections", () => {
    const sections = new NoticeSections({ logger: { write: vi.fn() } });
    const section = createSection("a", undefined);
    sections.add(section);
    sections.removePartner("entry-2");
    expect(section.removePartner).toHaveBeenCalledWith("entry-2");
  });
});
