import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { type RunningApi, startApi } from "../serving/public-api-fixture.ts";

const ADMIN_TOKEN = "admin-token-of-tests";
const PEER_TOKEN = "peer-token-of-tests";
const RULES_TEXT =
  "model other version=1 hosts=1 replicas=0 # asked by the test";

interface AdminResponse {
  readonly status: number;
  readonly body: Record<string, unknown>;
}

describe("Administration API", () => {
  let api: RunningApi;
  beforeEach(async () => {
    api = await startApi();
  });
  afterEach(() => api.stop());

  async function call(
    method: "GET" | "POST",
    path: string,
    body?: unknown,
    token = ADMIN_TOKEN,
  ): Promise<AdminResponse> {
    const address = api.node.find("settings").node["admin-address"];
    const response = await fetch(`http://${address}${path}`, {
      method,
      headers: {
        authorization: `Bearer ${token}`,
        "content-type": "application/json",
      },
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    });
    return {
      status: response.status,
      body: (await response.json()) as AdminResponse["body"],
    };
  }

  function publish(basis: number, text: string): Promise<AdminResponse> {
    return call("POST", "/admin/configuration", { basis, text, author: "a" });
  }

  describe("authorization", () => {
    it("refuses every command with a wrong or an empty token", async () => {
      for (const token of ["", "wrong", PEER_TOKEN]) {
        for (const path of ["/admin/status", "/admin/dump", "/admin/groups"]) {
          const { status, body } = await call("GET", path, undefined, token);
          expect(status).toBe(401);
          expect(body.error).toMatchObject({ verdict: "not-run" });
        }
        const drainResponse = await call("POST", "/admin/drain", {}, token);
        expect(drainResponse.status).toBe(401);
      }
      expect(api.node.find("lifecycle").isStopping).toBe(false);
    });
  });

  describe("configuration", () => {
    it("reports the line of a fault and keeps the configuration in force", async () => {
      const before = await call("GET", "/admin/configuration");
      const basis = Number(before.body.version);
      const { status, body } = await publish(
        basis,
        `${RULES_TEXT}\nmodel broken`,
      );
      expect(status).toBe(400);
      expect(JSON.stringify(body)).toContain("line 2");
      expect(await call("GET", "/admin/configuration")).toEqual(before);
    });

    it("returns the version and text in force when the basis is outdated", async () => {
      const { body: { version } } = await call("GET", "/admin/configuration");
      const first = await publish(Number(version), RULES_TEXT);
      expect(first.status).toBe(200);
      const second = await publish(Number(version), `${RULES_TEXT} again`);
      expect(second).toEqual({
        status: 409,
        body: { version: first.body.version, text: RULES_TEXT },
      });
    });
  });

  describe("drain of a host", () => {
    it("takes effect and can be reversed", async () => {
      const { drainedHosts } = api.node.find("state").control;
      for (const drained of [true, false]) {
        const path = "/admin/hosts/h1/drain";
        expect((await call("POST", path, { drained })).status).toBe(200);
        expect(drainedHosts.has("h1")).toBe(drained);
      }
    });
  });

  describe("dump", () => {
    it("contains no token", async () => {
      const { status, body } = await call("GET", "/admin/dump");
      expect(status).toBe(200);
      const text = JSON.stringify(body);
      expect(text).toContain("isPartial");
      expect(text).not.toContain(ADMIN_TOKEN);
      expect(text).not.toContain(PEER_TOKEN);
    });
  });
});
