import { Buffer } from "node:buffer";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { EventSplitter } from "../../src/serving/event-splitter.ts";

const STREAM = Array.from(
  { length: 8 },
  (_, index) => `id: ${index + 1}\ndata: piece ${index + 1} – ü\n\n`,
).join("");

function split(
  text: string,
  cuts: readonly number[],
  lastId?: string,
): { out: string; splitter: EventSplitter } {
  const bytes = Buffer.from(text);
  const splitter = new EventSplitter(lastId);
  const places = [...new Set(cuts.map((cut) => cut % bytes.length))]
    .sort((a, b) => a - b);
  let out = "";
  let begin = 0;
  for (const end of [...places, bytes.length]) {
    const block = splitter.push(bytes.subarray(begin, end));
    out += block?.bytes.toString() ?? "";
    begin = end;
  }
  return { out, splitter };
}

describe("EventSplitter", () => {
  describe("whole streams", () => {
    it("pass unchanged, however the bytes are cut", () => {
      fc.assert(fc.property(fc.array(fc.nat(), { maxLength: 20 }), (cuts) => {
        const { out, splitter } = split(STREAM, cuts);
        expect(out).toBe(STREAM);
        expect(splitter.isInsideEvent).toBe(false);
      }));
    });
  });

  describe("streams that break", () => {
    it("never show a part of an event", () => {
      fc.assert(fc.property(
        fc.nat(Buffer.from(STREAM).length - 1),
        fc.array(fc.nat(), { maxLength: 5 }),
        (length, cuts) => {
          const part = Buffer.from(STREAM).subarray(0, length);
          const splitter = new EventSplitter(undefined);
          let out = "";
          let begin = 0;
          const ends = [...cuts.map((cut) => cut % (length + 1)), length]
            .sort((a, b) => a - b);
          for (const end of ends) {
            const block = splitter.push(part.subarray(begin, end));
            out += block?.bytes.toString() ?? "";
            begin = end;
          }
          expect(STREAM.startsWith(out)).toBe(true);
          expect(out === "" || out.endsWith("\n\n")).toBe(true);
        },
      ));
    });
  });

  describe("streams that are resumed", () => {
    it("drop events that were passed on before", () => {
      const { out } = split(STREAM, [], "6");
      expect(out.match(/id: \d+/g)).toEqual(["id: 7", "id: 8"]);
    });
  });

  describe("an event without end", () => {
    it("is refused, as it would fill the memory until the deadline", () => {
      const splitter = new EventSplitter(undefined);
      const filler = Buffer.alloc(64 * 1024, "a");
      expect(() => {
        for (let chunk = 0; chunk < 64; chunk++) {
          splitter.push(filler);
        }
      }).toThrow("too large");
    });
  });
});
