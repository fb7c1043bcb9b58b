import { mkdtempSync, writeFileSync } from "node:fs";
import { createServer, type Server } from "node:net";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { NodeExitCode, runNode } from "../src/run-node.ts";

const directory = mkdtempSync(join(tmpdir(), "zinniahill-run-"));

function listen(): Promise<{ server: Server; address: string }> {
  const server = createServer();
  return new Promise((resolve) => {
    server.listen(0, "127.0.0.1", () => {
      const { port } = server.address() as AddressInfo;
      resolve({ server, address: `127.0.0.1:${port}` });
    });
  });
}

async function findFreeAddress(): Promise<string> {
  const { server, address } = await listen();
  server.close();
  return address;
}

async function writeSettings(publicAddress: string): Promise<string> {
  const file = join(directory, "node.ini");
  writeFileSync(
    file,
    `[node]
name = node-1
data-centre = dc-1
public-address = ${publicAddress}
admin-address = ${await findFreeAddress()}
peer-address = ${await findFreeAddress()}
admin-token = test-admin-token-01
peer-token = test-peer-token-001
[platform]
log = 127.0.0.1:9
host-list = 127.0.0.1:9
weight-store = 127.0.0.1:9
[timing]
lookup-validity = 20ms
heartbeat-interval = 20ms
[output]
log-level = silent
`,
  );
  return file;
}

describe("runNode", () => {
  const lines: string[] = [];
  const never = new AbortController().signal;

  beforeEach(() => {
    lines.length = 0;
    vi.spyOn(console, "error").mockImplementation((line) => {
      lines.push(String(line));
    });
  });

  afterEach(() => {
    vi.restoreAllMocks();
  });

  describe("a start that is not possible", () => {
    it("says how it is called when no file is given", async () => {
      expect(await runNode([], never)).toBe(NodeExitCode.settings);
      expect(lines).toEqual(["usage: zinniahilld <settings.ini>"]);
    });

    it("names the file that cannot be read", async () => {
      const file = join(directory, "absent.ini");
      expect(await runNode([file], never)).toBe(NodeExitCode.settings);
      expect(lines[0]).toContain(file);
    });

    it("names every wrong setting, not only the first", async () => {
      const file = join(directory, "wrong.ini");
      writeFileSync(file, "[node]\nname = node-1\n[platform]\n");
      expect(await runNode([file], never)).toBe(NodeExitCode.settings);
      expect(lines.length).toBeGreaterThan(5);
    });

    it("says that an address is in use", async () => {
      const { server, address } = await listen();
      const file = await writeSettings(address);
      expect(await runNode([file], never)).toBe(NodeExitCode.start);
      expect(lines[0]).toContain("EADDRINUSE");
      server.close();
    });
  });

  describe("a planned stop", () => {
    it("also follows a signal that came during the start", async () => {
      const file = await writeSettings(await findFreeAddress());
      const requested = new AbortController();
      requested.abort();
      expect(await runNode([file], requested.signal))
        .toBe(NodeExitCode.stopped);
    });
  });
});
