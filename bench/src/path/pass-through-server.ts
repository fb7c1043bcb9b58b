/**
 * A plain pass-through of the same HTTP libraries as a node: the baseline of
 * the cost of a node's path.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import process from "node:process";
import polka from "polka";
import { Agent, request } from "undici";
import * as z from "zod";

const Body = z.looseObject({
  messages: z.array(z.looseObject({ role: z.string() })),
  max_tokens: z.number(),
});
const MICROSECONDS_PER_MS = 1000;

const [engine = "", group = ""] = process.argv.slice(2);
const dispatcher = new Agent({ bodyTimeout: 0, headersTimeout: 0 });
const server = createServer();
let nextRequest = 0;

polka({ server })
  .get("/usage", (_request, response) => {
    const { user, system } = process.cpuUsage();
    response.end(
      JSON.stringify({ cpuMs: (user + system) / MICROSECONDS_PER_MS }),
    );
  })
  .post("/v1/chat/completions", async (call, response) => {
    const body = Body.parse(JSON.parse(await readText(call)));
    const reply = await request(`http://${engine}/generate`, {
      dispatcher,
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify({
        request: `plain-${nextRequest++}`,
        group,
        model: "chat",
        messages: body.messages,
        maxTokens: body.max_tokens,
        priority: 1,
        offset: 0,
      }),
    });
    response.writeHead(reply.statusCode, {
      "content-type": "text/event-stream",
    });
    for await (const chunk of reply.body) {
      response.write(chunk);
    }
    response.end();
  })
  .listen(0, "127.0.0.1", () => {
    const { port } = server.address() as AddressInfo;
    console.log(JSON.stringify({ address: `127.0.0.1:${port}` }));
  });

async function readText(call: IncomingMessage): Promise<string> {
  let text = "";
  for await (const chunk of call) {
    text += String(chunk);
  }
  return text;
}
