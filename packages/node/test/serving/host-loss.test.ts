import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { createWholeText, StreamWorld } from "./fixture.ts";

const TOKENS = 400;
const WHOLE_TEXT = createWholeText(TOKENS);
const STEP_MS = 10;

describe("a host that goes missing while a stream runs", () => {
  let world: StreamWorld;

  beforeEach(async () => {
    world = new StreamWorld();
    await world.start();
    expect(world.servable).toBe(2);
  });

  afterEach(() => world.stop());

  /**
   * How long after the evidence the stream has asked another group. The gap
   * that the caller sees also depends on when the next probe is due.
   */
  async function measureDelay(lost: string): Promise<number> {
    const evidence = world.node.find("evidence");
    const end = world.clock.now() + 5000;
    while (world.asked.length < 2 && world.clock.now() < end) {
      await world.clock.advance(STEP_MS);
    }
    return world.clock.now() - evidence.find(lost).missingSince!;
  }

  describe.each([0, 250, 500, 750])("%i ms into a probe interval", (ms) => {
    it.each(["lead", "member"])(
      "leaves when the %s is found missing",
      async (role) => {
        const received = world.begin({ maxTokens: TOKENS });
        await world.clock.advance(200 + ms);
        const lead = world.findRunning();
        const lost = role === "lead" ? lead : findMember(world, lead);
        world.platform.network.setModeOfEnd(lost, "silent");
        const delayMs = await measureDelay(findHost(world, lost));
        await world.clock.advance(20_000);
        expect(received.text).toBe(WHOLE_TEXT);
        expect(world.asked).toHaveLength(2);
        expect(delayMs).toBeLessThanOrEqual(STEP_MS);
      },
    );
  });

  describe("that only drains", () => {
    it("keeps its stream, as a planned stop interrupts nothing", async () => {
      const received = world.begin({ maxTokens: TOKENS });
      await world.clock.advance(200);
      const lead = world.findRunning();
      const host = findHost(world, lead);
      world.platform.log.append("control", [{
        kind: "host-drained",
        id: "drain",
        node: "operator",
        host,
        drained: true,
        author: "tests",
      }]);
      await world.clock.advance(20_000);
      expect(received.text).toBe(WHOLE_TEXT);
      expect(world.asked).toHaveLength(1);
    });
  });
});

function findHost(world: StreamWorld, address: string): string {
  const { all } = world.node.find("hosts");
  return [...all.values()].find((host) => host.address === address)!.host;
}

/** Address of another host of the lead's group. */
function findMember(world: StreamWorld, lead: string): string {
  const host = findHost(world, lead);
  const group = world.node.find("evidence").listServable("chat")
    .find(({ hosts }) => hosts[0] === host)!;
  return world.node.find("hosts").findAddress(group.hosts[1]!)!;
}
