import { Buffer } from "node:buffer";
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { collectBody, Exchange } from "../../src/serving/exchange.ts";

const HEAD = "HTTP/1.1 200 OK\r\nx-attempt-id: a\r\n";
const DONE = new Error("the test has ended");

let server: Server | undefined;

/** Listens and answers each connection's first bytes. */
async function listen(onRequest: (socket: Socket) => void): Promise<string> {
  server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => onRequest(socket));
  });
  await new Promise<void>((resolve) => server!.listen(0, "127.0.0.1", resolve));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function send(address: string) {
  const exchange = new Exchange(address);
  const sent = await exchange.send({
    address,
    method: "POST",
    target: "/path/",
    headers: ["host", "a.example", "content-length", "2"],
    body: Buffer.from("{}"),
  });
  return { exchange, sent };
}

async function read(address: string): Promise<string> {
  const { exchange, sent } = await send(address);
  try {
    const chunks = await collectBody(
      sent.unwrapOrElse((fault) => {
        throw new Error(fault.message);
      }).body,
    );
    return Buffer.concat(chunks).toString();
  } finally {
    exchange.close(DONE);
  }
}

afterEach(() => {
  server?.close();
  server = undefined;
});

describe("Exchange", () => {
  describe("bodies without a length", () => {
    it("are complete when the upstream ends the connection", async () => {
      const address = await listen((socket) => {
        socket.end(`${HEAD}\r\nwhole`);
      });
      expect(await read(address)).toBe("whole");
    });

    it("are broken when the connection is reset after the body began", async () => {
      const address = await listen((socket) => {
        socket.write(`${HEAD}\r\npart`, () => {
          setTimeout(() => socket.resetAndDestroy(), 20);
        });
      });
      await expect(read(address)).rejects.toThrow("reset");
    });

    it("are broken when the reset follows the bytes at once", async () => {
      const address = await listen((socket) => {
        socket.write(`${HEAD}\r\npart`, () => socket.resetAndDestroy());
      });
      await expect(read(address)).rejects.toThrow();
    });
  });

  describe("bodies with a length", () => {
    it("are complete although the connection is reset after the last byte", async () => {
      const address = await listen((socket) => {
        socket.write(`${HEAD}content-length: 5\r\n\r\nwhole`, () => {
          setTimeout(() => socket.resetAndDestroy(), 20);
        });
      });
      expect(await read(address)).toBe("whole");
    });

    it("are broken when bytes are missing", async () => {
      const address = await listen((socket) => {
        socket.end(`${HEAD}content-length: 9\r\n\r\npart`);
      });
      await expect(read(address)).rejects.toThrow();
    });
  });

  describe("verdicts", () => {
    it("say not-run where no connection was made", async () => {
      const address = await listen(() => {});
      server!.close();
      const { exchange, sent } = await send(address);
      exchange.close(DONE);
      expect(sent.isErr && sent.error.verdict).toBe("not-run");
    });

    it("say may-have-run where the upstream closed without an answer", async () => {
      const address = await listen((socket) => socket.end());
      const { exchange, sent } = await send(address);
      exchange.close(DONE);
      expect(sent.isErr && sent.error.verdict).toBe("may-have-run");
    });
  });
});
