import { describe, expect, it } from "vitest";
import { describeSettingsFault, parseSettings } from "../src/index.ts";

const VALID = `[node]
name = node-1
data-centre = dc-1
public-address = 127.0.0.1:7001
admin-address = 127.0.0.1:7101
peer-address = [::1]:7201
admin-token = 0123456789abcdef
peer-token = 0123456789abcdef
[platform]
log = 127.0.0.1:7301
host-list = 127.0.0.1:7302
weight-store = 127.0.0.1:7303
`;

function findFaults(text: string): string[] {
  return parseSettings("node.ini", text).match({
    Ok: () => [],
    Err: (faults) => faults.map(describeSettingsFault),
  });
}

describe("parseSettings", () => {
  describe("a valid file", () => {
    it("fills in every default", () => {
      const settings = parseSettings("node.ini", VALID);
      expect(settings.isOk && settings.value.timing["lease-term"]).toBe(6000);
    });

    it("reads the unit m as minutes, not as milliseconds", () => {
      const text = `${VALID}[timing]\nstop-bound = 2m\n`;
      const settings = parseSettings("node.ini", text);
      expect(settings.isOk && settings.value.timing["stop-bound"])
        .toBe(120_000);
    });
  });

  describe("faults", () => {
    it("refuses an unknown key, which may be a misspelled one", () => {
      expect(findFaults(`${VALID}[timing]\nlease-therm = 6s\n`)).toEqual([
        "node.ini:14: [timing] lease-therm: unknown key",
      ]);
    });

    it("refuses an unknown section", () => {
      expect(findFaults(`${VALID}[timings]\nlease-term = 6s\n`)).toEqual([
        "node.ini:13: [timings]: unknown section",
      ]);
    });

    it("refuses a duration without its unit", () => {
      expect(findFaults(`${VALID}[timing]\nlease-term = 6\n`)).toEqual([
        "node.ini:14: [timing] lease-term: expected a duration with its " +
        "unit, such as 750ms, 5s, 2m or 1h",
      ]);
    });

    it("refuses a host name where an IP literal is needed", () => {
      const text = VALID.replace("127.0.0.1:7301", "log.example:7301");
      expect(findFaults(text)).toEqual([
        "node.ini:10: [platform] log: expected an IP literal with a port, " +
        "such as 127.0.0.1:8080",
      ]);
    });

    it("reports the section and key of a missing value", () => {
      const text = VALID.replace("name = node-1\n", "");
      expect(findFaults(text)).toEqual([
        "node.ini:1: [node] name: missing; expected a value",
      ]);
    });

    it("refuses a duplicate key", () => {
      const text = VALID.replace("[platform]", "name = node-2\n[platform]");
      expect(findFaults(text)).toEqual([
        "node.ini:9: [node] name: duplicate key",
      ]);
    });

    it("does not repeat a secret that is too short", () => {
      const text = VALID.replace(
        "admin-token = 0123456789abcdef",
        "admin-token = hunter2",
      );
      const [fault] = findFaults(text);
      expect(fault).toContain("expected at least 16 characters");
      expect(fault).not.toContain("hunter2");
    });
  });
});
