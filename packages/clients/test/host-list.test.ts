import { SystemClock } from "@zinniahill/kernel";
import type { Host } from "@zinniahill/schema";
import { HostListStandIn } from "@zinniahill/stand-ins";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { HostListClient, TrafficCounter } from "../src/index.ts";

function createHost(number: number): Host {
  return {
    host: `host-${number}`,
    address: `127.0.0.1:${number}`,
    dataCentre: "dc-1",
    fabricDomain: "fabric-1",
    accelerators: 8,
    state: "live",
  };
}

describe("HostListClient", () => {
  let standIn: HostListStandIn;
  let traffic: TrafficCounter;
  let client: HostListClient;

  beforeEach(async () => {
    standIn = new HostListStandIn();
    for (let number = 1; number <= 100; number++) {
      standIn.set(createHost(number));
    }
    traffic = new TrafficCounter();
    client = new HostListClient(
      new SystemClock(),
      await standIn.listen(),
      traffic,
    );
  });

  afterEach(async () => {
    await client.stop();
    await standIn.close();
  });

  describe("an unchanged list", () => {
    // Sending it on every read costs more than all other control traffic.
    it("is not sent again", async () => {
      const first = await client.list();
      const bytes = traffic.getCounts("host-list").receivedBytes;
      const second = await client.list();
      const repeated = traffic.getCounts("host-list").receivedBytes - bytes;
      expect(second.isOk && second.value).toEqual(first.isOk && first.value);
      expect(repeated).toBeLessThan(bytes / 10);
    });
  });

  describe("a changed list", () => {
    it("is read again, also if a host was removed", async () => {
      await client.list();
      standIn.remove("host-1");
      const hosts = await client.list();
      expect(hosts.isOk && hosts.value).toHaveLength(99);
    });
  });
});
