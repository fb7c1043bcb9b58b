import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { encodePeerMessage, type PeerMessage } from "@zinniahill/schema";
import { Fleet, type FleetNode, listGroups, listServable } from "./fleet.ts";

/** Probe interval and probe timeout, the longest way to a first miss. */
const DETECTION_LIMIT_MS = 3000;
const SETTLE_MS = 2000;

describe("Evidence", () => {
  let fleet: Fleet;
  let holder: FleetNode;
  let reader: FleetNode;

  beforeEach(async () => {
    fleet = new Fleet();
    fleet.addHosts(["h1", "h2", "h3", "h4"], "fd-1");
    fleet.publish("model chat version=1 hosts=4 replicas=1");
    holder = await fleet.start("n1");
    await fleet.untilServed(holder);
    reader = await fleet.start("n2");
    await fleet.untilServed(reader);
    await fleet.clock.advance(3000);
  });

  afterEach(() => fleet.stop());

  describe("a host that is missing", () => {
    for (const host of ["h1", "h2", "h4"]) {
      for (const mode of ["silent", "refuse"] as const) {
        it(`stops the group on every node when ${host} is ${mode}`, async () => {
          fleet.setHost(host, mode);
          await fleet.clock.advance(DETECTION_LIMIT_MS);
          await fleet.during(10_000, () => {
            expect(listServable(holder)).toEqual([]);
            expect(listServable(reader)).toEqual([]);
          });
        });
      }
    }

    it("stops the group when only the lead misses it", async () => {
      const lead = fleet.address("h1");
      fleet.platform.network.setMode(lead, fleet.address("h3"), "silent");
      await fleet.clock.advance(DETECTION_LIMIT_MS);
      expect(listServable(reader)).toEqual([]);
      expect(listServable(holder)).toEqual([]);
    });

    it("stops the group when it restarts without its role", async () => {
      fleet.engine("h3").reset();
      await fleet.until(
        DETECTION_LIMIT_MS,
        () => listServable(reader).length === 0,
      );
      const load = fleet.engine("h3").options.loadMs;
      await fleet.during(load / 2, () => {
        expect(listServable(reader)).toEqual([]);
      });
    });

    it("stops the group at once when a peer says so, before the next probe", async () => {
      await fleet.clock.advance(40);
      fleet.platform.network.setMode("n2", fleet.address("h1"), "silent");
      sendEvidence(holder, "h1");
      await fleet.clock.advance(1);
      expect(listServable(reader)).toEqual([]);
    });

    it("stops the group as soon as the host list no longer has it, also while the log is down", async () => {
      fleet.platform.log.faults.isDown = true;
      fleet.platform.hosts.delete("h2");
      await fleet.clock.advance(1100);
      expect(listServable(reader)).toEqual([]);
      expect(listServable(holder)).toEqual([]);
    });

    it("stops the group while a member has a role that the lead does not see", async () => {
      holder.process.pause();
      const [group] = listServable(reader);
      fleet.engine("h3").carryOut({
        id: "late",
        order: "drain",
        fence: group!.fence,
        group: group!.group,
        model: "chat",
        version: "1",
        hosts: [],
        rank: 2,
      });
      reader.kernel.find("evidence").noteSuspect(group!.group);
      await fleet.during(4000, () => {
        expect(listServable(reader)).toEqual([]);
      });
    });

    it("stops the group at a broken stream until a probe answers", async () => {
      const [group] = listServable(reader);
      fleet.setHost("h1", "silent");
      reader.kernel.find("evidence").noteSuspect(group!.group);
      expect(listServable(reader)).toEqual([]);
      await fleet.during(10_000, () => {
        expect(listServable(reader)).toEqual([]);
      });
    });
  });

  describe("a suspicion that is wrong", () => {
    it("is cleared by the probe that it causes, not by the next regular one", async () => {
      const [group] = listServable(reader);
      reader.kernel.find("evidence").noteSuspect(group!.group);
      await fleet.clock.advance(5);
      expect(listServable(reader)).toHaveLength(1);
    });

    it("of a peer with a broken link does not take the group away for long", async () => {
      sendEvidence(holder, "h2");
      await fleet.clock.advance(5);
      expect(listServable(reader)).toHaveLength(1);
    });

    it("does not let a storm of messages cause a storm of probes", async () => {
      const clients = fleet.platform.network;
      const call = clients.call.bind(clients);
      let probes = 0;
      clients.call = (from, to, ...rest) => {
        probes += from === "n2" && to === fleet.address("h1") ? 1 : 0;
        return call(from, to, ...rest);
      };
      const stormMs = 2000;
      for (let passed = 0; passed < stormMs; passed += 5) {
        sendEvidence(holder, "h2");
        await fleet.clock.advance(5);
      }
      expect(probes).toBeLessThanOrEqual(stormMs / 100 + 3);
    });
  });

  describe("evidence that is stale", () => {
    it("does not serve after a pause until a probe has answered again", async () => {
      reader.process.pause();
      await fleet.clock.advance(4000);
      expect(listServable(reader)).toEqual([]);
      reader.process.resume();
      await fleet.clock.advance(1500);
      expect(listServable(reader)).toHaveLength(1);
    });

    it("does not serve while no probe of the node comes through", async () => {
      fleet.platform.network.setMode("n2", fleet.address("h1"), "silent");
      await fleet.clock.advance(3500);
      expect(listServable(reader)).toEqual([]);
      expect(listServable(holder)).toHaveLength(1);
    });
  });

  describe("a host that comes and goes", () => {
    it("is served again only after it was seen for the settled time", async () => {
      fleet.setHost("h2", "silent");
      await fleet.until(
        DETECTION_LIMIT_MS,
        () => listServable(reader).length === 0,
      );
      fleet.setHost("h2", "pass");
      await fleet.during(SETTLE_MS, () => {
        expect(listServable(reader)).toEqual([]);
      });
      await fleet.until(
        DETECTION_LIMIT_MS,
        () => listServable(reader).length === 1,
      );
    });

    it("causes no reload when each absence is short", async () => {
      const orders = () => fleet.engine("h2").orders.length;
      const before = orders();
      for (let round = 0; round < 4; round++) {
        fleet.setHost("h2", "silent");
        await fleet.clock.advance(3000);
        fleet.setHost("h2", "pass");
        await fleet.clock.advance(6000);
      }
      expect(orders()).toBe(before);
      expect(listGroups(reader).map(({ phase }) => phase)).toEqual(["ready"]);
      expect(listServable(reader)).toHaveLength(1);
    });
  });

  describe("messages to peers", () => {
    it("are sent for changes only, so a healthy fleet sends none", async () => {
      const sent: PeerMessage[] = [];
      const peers = holder.kernel.find("peers");
      const broadcast = peers.broadcast.bind(peers);
      peers.broadcast = (message) => {
        sent.push(message);
        broadcast(message);
      };
      await fleet.clock.advance(5000);
      expect(sent).toEqual([]);
      fleet.setHost("h2", "silent");
      await fleet.clock.advance(4000);
      expect(sent).toEqual([{
        kind: "evidence",
        hosts: [{ host: "h2", missing: true, ageMs: 0 }],
      }]);
    });
  });
});

describe("Evidence at the size of the target", () => {
  it("asks one host of a fixed number of groups in one interval", async () => {
    const fleet = new Fleet();
    for (let domain = 1; domain <= 12; domain++) {
      const names = [1, 2, 3, 4].map((host) => `h${domain}-${host}`);
      fleet.addHosts(names, `fd-${domain}`);
    }
    fleet.publish("model chat version=1 hosts=4 replicas=12");
    const holder = await fleet.start("n1");
    await fleet.untilServed(holder, 12);
    const reader = await fleet.start("n2");
    await fleet.untilServed(reader, 8);
    await fleet.clock.advance(2000);
    let probes = 0;
    const { network } = fleet.platform;
    const call = network.call.bind(network);
    network.call = (from, to, ...rest) => {
      probes += from === "n2" && to.startsWith("10.0.") ? 1 : 0;
      return call(from, to, ...rest);
    };
    await fleet.clock.advance(10_000);
    expect(probes / 10).toBeLessThanOrEqual(8);
    await fleet.stop();
  });
});

/** Sends a peer's word that a host is missing. */
function sendEvidence(from: FleetNode, host: string): void {
  const message: PeerMessage = {
    kind: "evidence",
    hosts: [{ host, missing: true, ageMs: 0 }],
  };
  expect(encodePeerMessage(message).length).toBeLessThan(200);
  from.kernel.find("peers").broadcast(message);
}
