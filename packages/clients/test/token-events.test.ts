import { Buffer } from "node:buffer";
import {
  END_INDEX,
  TokenEventSplitter,
  TokenFormatError,
} from "@zinniahill/clients";
import fc from "fast-check";
import { describe, expect, it } from "vitest";

const EVENTS = Array.from(
  { length: 12 },
  (_, index) => `id: ${index}\ndata: {"content":"wörd ${index}"}\n\n`,
).concat("data: [DONE]\n\n");
const STREAM = Buffer.from(EVENTS.join(""));

describe("TokenEventSplitter", () => {
  describe("chunk boundaries", () => {
    it("do not change the events that are found", () => {
      fc.assert(
        fc.property(
          fc.array(fc.nat(STREAM.length), { maxLength: 20 }),
          (positions) => {
            const boundaries = [
              0,
              ...positions.toSorted((a, b) => a - b),
              STREAM.length,
            ];
            const splitter = new TokenEventSplitter();
            const tokenIndices: number[] = [];
            let text = "";
            for (let index = 1; index < boundaries.length; index++) {
              const chunk = STREAM.subarray(
                boundaries[index - 1],
                boundaries[index],
              );
              const batch = splitter.push(chunk);
              tokenIndices.push(...batch.tokenIndices);
              text += batch.bytes.toString();
            }
            expect(text).toBe(EVENTS.join(""));
            expect(tokenIndices).toEqual([...Array(12).keys(), END_INDEX]);
          },
        ),
        { seed: 21, numRuns: 500 },
      );
    });
  });

  describe("invalid formats", () => {
    it.each([
      ["an event without an id", "data: {}\n\n"],
      ["an id without digits", "id: x\ndata: {}\n\n"],
      ["an id with other text", "id: 1x\ndata: {}\n\n"],
      [
        "an event that never ends",
        "id: 1\ndata: ".padEnd(2 * 1024 * 1024, "x"),
      ],
    ])("are rejected: %s", (_name, text) => {
      const splitter = new TokenEventSplitter();
      expect(() => splitter.push(Buffer.from(text))).toThrow(TokenFormatError);
    });
  });
});
