import { Buffer } from "node:buffer";
import { describe, expect, it } from "vitest";
import { ResponseBody } from "../../src/serving/response-body.ts";

function createBody() {
  const source = {
    isPaused: false,
    pause() {
      source.isPaused = true;
    },
    resume() {
      source.isPaused = false;
    },
  };
  const memory = { add() {}, remove() {} };
  return { source, body: new ResponseBody(source, memory) };
}

async function readAll(body: ResponseBody): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of body) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString();
}

describe("ResponseBody", () => {
  describe("a complete body", () => {
    it("is read in order, whether chunks come before or after the reader", async () => {
      const { body } = createBody();
      body.push(Buffer.from("a"));
      const read = readAll(body);
      await Promise.resolve();
      body.push(Buffer.from("b"));
      body.push(Buffer.from("c"));
      body.complete();
      expect(await read).toBe("abc");
      expect(body.isRead).toBe(true);
    });

    it("is not read while chunks are left", () => {
      const { body } = createBody();
      body.push(Buffer.from("a"));
      body.complete();
      expect(body.isRead).toBe(false);
    });
  });

  describe("a body that fails", () => {
    it("yields what came before and then throws", async () => {
      const { body } = createBody();
      body.push(Buffer.from("a"));
      body.fail(new Error("reset"));
      expect((await body.next()).value?.toString()).toBe("a");
      await expect(body.next()).rejects.toThrow("reset");
      expect(body.isRead).toBe(false);
    });
  });

  // Guards against requests that wait for seconds while one body is read.
  describe("a body that arrives faster than it is read", () => {
    it("leaves turns of the event loop to others", async () => {
      const { body } = createBody();
      for (let index = 0; index < 16; index++) {
        body.push(Buffer.alloc(64 * 1024));
      }
      let readInTurn = 0;
      const mostInTurn: number[] = [];
      const countTurns = () => {
        mostInTurn.push(readInTurn);
        readInTurn = 0;
        turn = setImmediate(countTurns);
      };
      let turn = setImmediate(countTurns);
      for (let index = 0; index < 16; index++) {
        const { value } = await body.next();
        readInTurn += value!.length;
      }
      clearImmediate(turn);
      mostInTurn.push(readInTurn);
      expect(Math.max(...mostInTurn)).toBeLessThanOrEqual(512 * 1024);
    });
  });

  describe("a reader that falls behind", () => {
    it("pauses the source until it has caught up", async () => {
      const { body, source } = createBody();
      for (let index = 0; index < 5; index++) {
        body.push(Buffer.alloc(64 * 1024));
      }
      expect(source.isPaused).toBe(true);
      for (let index = 0; index < 5; index++) {
        await body.next();
      }
      expect(source.isPaused).toBe(false);
    });
  });
});
