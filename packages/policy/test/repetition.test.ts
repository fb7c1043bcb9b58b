import { describe, expect, it } from "vitest";
import { deriveRepetition, mayRunAgain } from "../src/index.ts";

describe("deriveRepetition", () => {
  // Guards against TWICE: of the kinds that may not be repeated, only a stream
  // can be resumed.
  it.each(["idempotent", "once"] as const)(
    "does not depend on the mark for kind %s",
    (kind) => {
      expect(deriveRepetition(kind, true)).toBe(deriveRepetition(kind, false));
    },
  );

  it("lets no request run again that must run once at most", () => {
    expect(mayRunAgain(deriveRepetition("once", true))).toBe(false);
    expect(mayRunAgain(deriveRepetition("stream", false))).toBe(false);
  });

  it("lets other requests run again", () => {
    expect(mayRunAgain(deriveRepetition("idempotent", false))).toBe(true);
    expect(mayRunAgain(deriveRepetition("stream", true))).toBe(true);
  });
});
