import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { createWholeText, StreamWorld, type Tamper } from "./fixture.ts";

const TOKENS = 50;
const WHOLE_TEXT = createWholeText(TOKENS);

describe("Streams", () => {
  let world: StreamWorld;

  beforeEach(async () => {
    world = new StreamWorld();
    await world.start();
    expect(world.servable).toBe(2);
  });

  afterEach(() => world.stop());

  describe("an undisturbed answer", () => {
    it("delivers every token once and in order", async () => {
      const received = world.begin();
      await world.clock.advance(2000);
      expect(received.outcome).toBe("complete");
      expect(received.text).toBe(WHOLE_TEXT);
      expect(world.asked).toHaveLength(1);
    });
  });

  describe("a stall", () => {
    it("resumes on the same group from the last token with the text so far", async () => {
      world.tamper = stallAfter(20);
      const received = world.begin();
      await world.clock.advance(10_000);
      expect(received.text).toBe(WHOLE_TEXT);
      expect(received.outcome).toBe("complete");
      const [first, second] = world.asked;
      expect(second).toEqual({
        address: first!.address,
        offset: 20,
        prefix: createWholeText(20),
      });
    });

    it("stays on a group that brings tokens, whose engine has the prefix", async () => {
      world.tamper = cutEvery(5);
      const received = world.begin();
      await world.clock.advance(30_000);
      expect(received.text).toBe(WHOLE_TEXT);
      const addresses = new Set(world.asked.map(({ address }) => address));
      expect(world.asked).toHaveLength(TOKENS / 5);
      expect(addresses.size).toBe(1);
    });

    it("is not ended by the late cancel of the connection before", async () => {
      world.tamper = stallAfter(20);
      world.cancelDelayMs = 50;
      const received = world.begin();
      await world.clock.advance(20_000);
      expect(received.text).toBe(WHOLE_TEXT);
      expect(world.asked).toHaveLength(2);
    });

    it("resumes on another group when the host is gone", async () => {
      const received = world.begin();
      await world.clock.advance(200);
      world.platform.network.setModeOfEnd(world.findRunning(), "silent");
      await world.clock.advance(15_000);
      expect(received.text).toBe(WHOLE_TEXT);
      const addresses = new Set(world.asked.map(({ address }) => address));
      expect(addresses.size).toBe(2);
    });

    it("leaves a group whose host goes before the first token", async () => {
      world.tamper = stallAfter(0);
      const received = world.begin({ rank: "batch" });
      await world.clock.advance(100);
      const { address } = world.asked[0]!;
      world.platform.network.setModeOfEnd(address, "silent");
      world.tamper = undefined;
      await world.clock.advance(8000);
      expect(received.text).toBe(WHOLE_TEXT);
      expect(world.asked[1]?.address).not.toBe(address);
    });

    it("waits longer for the first token than between tokens", async () => {
      world.tamper = delayFirst(world, 8000);
      const received = world.begin();
      await world.clock.advance(9000);
      expect(received.text).toBe(WHOLE_TEXT);
      expect(world.asked).toHaveLength(1);
    });

    it("counts a connection that repeats old tokens as silent", async () => {
      world.tamper = repeatFrom(world, 10);
      const received = world.begin();
      await world.clock.advance(12_000);
      expect(received.text).toBe(WHOLE_TEXT);
    });
  });

  describe("wrong events", () => {
    it.each<[string, (events: Uint8Array[]) => Uint8Array[]]>([
      ["duplicates", (events) => events.flatMap((event) => [event, event])],
      ["a gap", (events) => events.filter((_, index) => index !== 7)],
      ["a missing last token", (events) => events.toSpliced(TOKENS - 1, 1)],
      ["two reordered events", (events) => swap(events, 5)],
      ["an event of another request", (events) =>
        events.with(
          9,
          new TextEncoder().encode(
            'id: 9\ndata: {"id":"chatcmpl-other","choices":[]}\n\n',
          ),
        )],
      [
        "text that is no event",
        (events) => events.with(9, new TextEncoder().encode("oops\n\n")),
      ],
    ])("resumes after %s without a wrong token", async (_name, change) => {
      world.tamper = changeFirstAttempt(change);
      const received = world.begin();
      await world.clock.advance(10_000);
      expect(received.text).toBe(WHOLE_TEXT);
      expect(received.tokens).toBe(TOKENS);
      expect(received.outcome).toBe("complete");
    });

    it("resumes after a gap without reading the rest of the connection", async () => {
      world.tamper = async function* (events, attempt) {
        let index = 0;
        for await (const event of events) {
          if (attempt > 1 || index !== 7) {
            yield event;
          }
          index++;
        }
      };
      const received = world.begin();
      await world.clock.advance(700);
      expect(received.text).toBe(WHOLE_TEXT);
    });

    it("ends a whole answer whose end event is lost", async () => {
      world.tamper = changeFirstAttempt((events) => events.slice(0, TOKENS));
      const received = world.begin();
      await world.clock.advance(5000);
      expect(received.outcome).toBe("complete");
      expect(world.asked).toHaveLength(1);
    });

    it("forwards several events of one chunk with one write", async () => {
      world.tamper = changeFirstAttempt((events) => [joinAll(events)]);
      const received = world.begin();
      await world.clock.advance(5000);
      expect(received.text).toBe(WHOLE_TEXT);
      expect(received.writes).toBe(1);
    });
  });

  describe("ends", () => {
    it("cancels on the engine when the caller goes away", async () => {
      const received = world.begin();
      await world.clock.advance(100);
      const address = world.findRunning();
      received.stop.abort();
      await world.clock.advance(10);
      expect(world.cancelled).toEqual(["req1"]);
      expect(world.platform.engines.get(address)?.batch.running).toBe(0);
      expect(world.asked).toHaveLength(1);
    });

    it("is not-run when no engine has taken the request", async () => {
      for (const address of world.platform.engines.keys()) {
        world.platform.network.setMode("n1", address, "refuse");
      }
      const received = world.begin();
      await world.clock.advance(60_000);
      expect(received.outcome).toMatchObject({ verdict: "not-run" });
      expect(countRuns(world)).toBe(0);
    });

    it("is may-have-run when an engine may have taken the request", async () => {
      world.tamper = stallAfter(0);
      const received = world.begin({ deadline: world.clock.now() + 3000 });
      await world.clock.advance(4000);
      expect(received.outcome).toMatchObject({
        verdict: "may-have-run",
        code: "deadline",
      });
    });

    it("is ran when tokens were delivered", async () => {
      world.tamper = stallAfter(5);
      const received = world.begin({ deadline: world.clock.now() + 1000 });
      await world.clock.advance(2000);
      expect(received.outcome).toMatchObject({ verdict: "ran" });
      expect(received.tokens).toBe(5);
    });

    it("makes no further attempt when the retry budget forbids it", async () => {
      exhaustRetries(world);
      world.tamper = stallAfter(0);
      const received = world.begin();
      await world.clock.advance(40_000);
      expect(received.outcome).toMatchObject({ verdict: "may-have-run" });
      expect(world.asked).toHaveLength(1);
    });

    it("completes an answer that has begun without a retry budget", async () => {
      exhaustRetries(world);
      world.tamper = stallAfter(5);
      const received = world.begin();
      await world.clock.advance(20_000);
      expect(received.text).toBe(WHOLE_TEXT);
      expect(world.asked).toHaveLength(2);
    });

    it("makes the engine's stream wait for a slow caller", async () => {
      let release = () => {};
      let writes = 0;
      const received = world.begin({
        sink: {
          write: () => {
            writes++;
            return new Promise<void>((resolve) => release = resolve);
          },
        },
      });
      await world.clock.advance(20_000);
      expect(writes).toBe(1);
      expect(received.outcome).toBeUndefined();
      while (received.outcome === undefined && writes < TOKENS + 1) {
        release();
        await world.clock.advance(1);
      }
      expect(received.outcome).toBe("complete");
      expect(world.asked).toHaveLength(1);
    });
  });
});

function exhaustRetries(world: StreamWorld): void {
  const admission = world.node.find("admission");
  while (admission.mayRetry("normal")) {
    // Each call takes one retry.
  }
}

function countRuns(world: StreamWorld): number {
  return [...world.platform.engines.values()]
    .reduce((sum, { runs }) => sum + runs.length, 0);
}

/** The first attempt sends nothing after some tokens. */
function stallAfter(tokens: number): Tamper {
  return async function* (events, attempt) {
    let sent = 0;
    for await (const event of events) {
      if (attempt > 1 || sent < tokens) {
        sent++;
        yield event;
      }
    }
    if (attempt === 1) {
      await new Promise(() => {});
    }
  };
}

/** Every connection ends after some tokens. */
function cutEvery(tokens: number): Tamper {
  return async function* (events) {
    let sent = 0;
    for await (const event of events) {
      yield event;
      sent++;
      if (sent === tokens) {
        return;
      }
    }
  };
}

function delayFirst(world: StreamWorld, ms: number): Tamper {
  return async function* (events) {
    await world.clock.sleep(ms);
    yield* events;
  };
}

/** The first attempt repeats one token for ever. */
function repeatFrom(world: StreamWorld, token: number): Tamper {
  return async function* (events, attempt) {
    let sent = 0;
    for await (const event of events) {
      while (attempt === 1 && sent === token) {
        yield event;
        await world.clock.sleep(500);
      }
      sent++;
      yield event;
    }
  };
}

function changeFirstAttempt(
  change: (events: Uint8Array[]) => Uint8Array[],
): Tamper {
  return async function* (events, attempt) {
    if (attempt > 1) {
      yield* events;
      return;
    }
    const all: Uint8Array[] = [];
    for await (const event of events) {
      all.push(event);
    }
    yield* change(all);
  };
}

function swap(events: Uint8Array[], index: number): Uint8Array[] {
  const [first, second] = [events[index]!, events[index + 1]!];
  return events.with(index, second).with(index + 1, first);
}

function joinAll(events: Uint8Array[]): Uint8Array {
  return new Uint8Array(events.flatMap((event) => [...event]));
}
