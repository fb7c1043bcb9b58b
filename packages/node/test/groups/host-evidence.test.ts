import { describe, expect, it } from "vitest";
import { HostEvidenceTable } from "../../src/groups/host-evidence.ts";

const SETTLE_MS = 2000;

describe("HostEvidenceTable", () => {
  describe("replies that overtake each other", () => {
    it("keep a host missing when an earlier probe answers late", () => {
      const table = new HostEvidenceTable(SETTLE_MS);
      table.noteMissing("h1", 1000);
      table.notePresent("h1", { heardIn: "g1", ageMs: 0 }, 900);
      expect(table.find("h1").missingSince).toBe(1000);
    });

    it("keep the later sighting", () => {
      const table = new HostEvidenceTable(SETTLE_MS);
      table.notePresent("h1", { heardIn: "g2", ageMs: 0 }, 1000);
      table.notePresent("h1", { heardIn: "g1", ageMs: 0 }, 900);
      expect(table.find("h1").heardIn).toBe("g2");
    });
  });

  describe("a sighting by the lead", () => {
    it("is as old as the lead says, not as young as the probe", () => {
      const table = new HostEvidenceTable(SETTLE_MS);
      table.notePresent("h1", { heardIn: "g1", ageMs: 400 }, 1000);
      expect(table.find("h1").seenAt).toBe(600);
    });
  });

  describe("an absence", () => {
    it("that begins again starts the settled time anew", () => {
      const table = new HostEvidenceTable(SETTLE_MS);
      const sighting = { heardIn: "g1", ageMs: 0 };
      table.noteMissing("h1", 1000);
      table.notePresent("h1", sighting, 2000);
      table.noteMissing("h1", 3000);
      table.notePresent("h1", sighting, 3500);
      table.notePresent("h1", sighting, 3500 + SETTLE_MS - 1);
      expect(table.find("h1").returnedAt).toBe(3500);
      expect(table.find("h1").unsettledSince).toBe(1000);
      table.notePresent("h1", sighting, 3500 + SETTLE_MS);
      expect(table.find("h1").returnedAt).toBeUndefined();
      expect(table.find("h1").unsettledSince).toBeUndefined();
    });
  });
});
