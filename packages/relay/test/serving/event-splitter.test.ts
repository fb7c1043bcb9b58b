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
  const cutPositions = [...new Set(cuts.map((cut) => cut % bytes.length))]
    .sort((a, b) => a - b);
  let out = "";
  let begin = 0;
  for (const end of [...cutPositions, bytes.length]) {
    const block = splitter.push(bytes.subarray(begin, end));
    out += block?.bytes.toString() ?? "";
    begin = end;
  }
  return { out, splitter };
}

describe("EventSplitter", () => {
  describe("complete streams", () => {
    it("pass unchanged, wherever the bytes are cut", () => {
      fc.assert(fc.property(fc.array(fc.nat(), { maxLength: 20 }), (cuts) => {
        const { out, splitter } = split(STREAM, cuts);
        expect(out).toBe(STREAM);
        expect(splitter.pendingBytes).toBe(0);
      }));
    });
  });

  describe("interrupted streams", () => {
    it("never yield a partial event", () => {
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

  describe("resumed streams", () => {
    it("drop events that were already forwarded", () => {
      const { out } = split(STREAM, [], "6");
      expect(out.match(/id: \d+/g)).toEqual(["id: 7", "id: 8"]);
    });
  });

  describe("an endless event", () => {
    it("is rejected, as it would fill the memory until the deadline", () => {
      const splitter = new EventSplitter(undefined);
      const filler = Buffer.alloc(64 * 1024, "a");
      expect(() => {
        for (let chunk = 0; chunk < 64; chunk++) {
          splitter.push(filler);
        }
      }).toThrow("too large");
    });
  });

  describe("anything else where an event is due", () => {
    const FIRST = "id: 1\ndata: piece 1\n\n";
    const others: Readonly<Record<string, string>> = {
      "a text": "Internal Server Error\n\n",
      "a body": '{"error": "boom"}\n\n',
      "a head": "HTTP/1.1 500 Internal Server Error\r\nx-a: b\r\n\r\nboom\n\n",
      "a head and an event": "HTTP/1.1 500 Oh\r\n\r\nid: 2\ndata: boom\n\n",
      "an event without an id": "data: boom\n\n",
    };

    // Guards against an error's text within a caller's stream.
    // Guards against bytes that are no events, which were forwarded until the
    // deadline, and to which another upstream's events were appended.
    it("is refused before the first id, too", () => {
      expect(() => split("x".repeat(1022) + "\n\n", []))
        .toThrow(/an event was due/);
      expect(() => split("Internal Server Error\n\n", []))
        .toThrow(/an event was due/);
    });

    it.each(Object.entries(others))("is refused: %s", (_name, other) => {
      expect(() => split(FIRST + other, [])).toThrow(/an event was due/);
      expect(() => split(other, [], "1")).toThrow(/an event was due/);
    });

    it("passes if it is a comment or a field of the upstream's own", () => {
      const text = `${FIRST}: still there\n\n` +
        "x-weight-versions:7\nid: 2\ndata: a\ndata\n\n";
      expect(split(text, []).out).toBe(text);
    });

    it("passes in a stream whose events have no ids", () => {
      const text = "data: a\n\ndata: b\n\n";
      expect(split(text, []).out).toBe(text);
    });
  });

  describe("events without end", () => {
    it("are refused once there are more than were asked for", () => {
      const splitter = new EventSplitter(undefined, 8);
      expect(splitter.push(Buffer.from(STREAM))?.count).toBe(8);
      expect(() => splitter.push(Buffer.from(": more\n\n")))
        .toThrow(/more events/);
    });
  });

  // Guards against a process that is held for seconds by one answer.
  describe("empty lines without end", () => {
    it("are refused, before and after the first event", () => {
      const lines = "\n".repeat(4096);
      expect(() => split(lines, [])).toThrow(/empty lines/);
      expect(() => split("id: 1\ndata: a\n\n" + lines, []))
        .toThrow(/empty lines/);
    });

    it("pass unchanged if there are a few", () => {
      const text = "\n\n\nid: 1\ndata: a\n\n\n\n\nid: 2\ndata: b\n\n";
      fc.assert(fc.property(fc.array(fc.nat(), { maxLength: 8 }), (cuts) => {
        expect(split(text, cuts).out).toBe(text);
      }));
    });
  });

  describe("an event in pieces of one byte", () => {
    it("takes work in proportion to its length", () => {
      const splitter = new EventSplitter(undefined);
      const byte = Buffer.from("a");
      expect(() => {
        for (;;) {
          splitter.push(byte);
        }
      }).toThrow("too large");
    });
  });

  describe("events that no other upstream can follow", () => {
    it("are those without an id, but for comments", () => {
      const hasUnidentified = (text: string) =>
        new EventSplitter(undefined).push(Buffer.from(text))!.hasUnidentified;
      expect(hasUnidentified(": still there\n\nid: 1\ndata: a\n\n"))
        .toBe(false);
      expect(hasUnidentified("data: a\n\n")).toBe(true);
    });
  });

  describe("a last id that is no number", () => {
    it("does not make the events look known", () => {
      expect(split(STREAM, [], "abc").out).toBe(STREAM);
    });
  });
});
