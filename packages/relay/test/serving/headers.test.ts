import { describe, expect, it } from "vitest";
import { countHeaderBytes, filterHeaders } from "../../src/serving/headers.ts";

describe("headers", () => {
  describe("filterHeaders", () => {
    it("drops hop-by-hop headers and those that Connection names", () => {
      const raw = [
        "Connection",
        "close, X-Hop",
        "X-Hop",
        "1",
        "Transfer-Encoding",
        "chunked",
        "X-Kept",
        "a",
        "X-Kept",
        "b",
      ];
      expect(filterHeaders(raw, new Set()))
        .toEqual(["X-Kept", "a", "X-Kept", "b"]);
    });

    it("drops the given headers, in upper or lower case", () => {
      expect(filterHeaders(["X-TENANT", "forged"], new Set(["x-tenant"])))
        .toEqual([]);
    });
  });

  describe("countHeaderBytes", () => {
    it("counts names and values with their separators", () => {
      expect(countHeaderBytes(["ab", "cde"])).toBe(9);
    });
  });
});
