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

describe("TokenSplitter", () => {
  describe("chunk boundaries", () => {
    it("finds the same events wherever the network cuts the stream", () => {
      fc.assert(
        fc.property(
          fc.array(fc.nat(STREAM.length), { maxLength: 20 }),
          (places) => {
            const cuts = [
              0,
              ...places.toSorted((a, b) => a - b),
              STREAM.length,
            ];
            const splitter = new TokenEventSplitter();
            const indices: number[] = [];
            let text = "";
            for (let cut = 1; cut < cuts.length; cut++) {
              const chunk = STREAM.subarray(cuts[cut - 1], cuts[cut]);
              const block = splitter.push(chunk);
              indices.push(...block.tokenIndices);
              text += block.bytes.toString();
            }
            expect(text).toBe(EVENTS.join(""));
            expect(indices).toEqual([...Array(12).keys(), END_INDEX]);
          },
        ),
        { seed: 21, numRuns: 500 },
      );
    });
  });

  describe("wrong formats", () => {
    it.each([
      ["no id", "data: {}\n\n"],
      ["an id without digits", "id: x\ndata: {}\n\n"],
      ["an id with other text", "id: 1x\ndata: {}\n\n"],
      ["an event without end", "id: 1\ndata: ".padEnd(2 * 1024 * 1024, "x")],
    ])("refuses %s", (_name, text) => {
      const splitter = new TokenEventSplitter();
      expect(() => splitter.push(Buffer.from(text))).toThrow(TokenFormatError);
    });
  });
});
