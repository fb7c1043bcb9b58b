import { ManualClock, SeededRandom } from "@zinniahill/kernel";
import { describe, expect, it } from "vitest";
import { CrashEvidence } from "../../src/routing/crash-evidence.ts";

const SHARED = "shared";
const HARMFUL = "harmful";
/** Longer than the time within which crashes count as one. */
const GAP_MS = 500;
/** Time that requests have run when their process ends. */
const RUN_MS = 20;

/** A node's evidence, and a short way to let upstreams crash. */
function create() {
  const clock = new ManualClock();
  const evidence = new CrashEvidence(clock);
  let processCount = 0;
  return {
    clock,
    evidence,
    /** Ends a process with requests, each given by its id and its parts. */
    crash: (suspects: Readonly<Record<string, readonly string[]>>) => {
      processCount++;
      evidence.recordCrash(
        `p${processCount}`,
        clock.now(),
        Object.entries(suspects).map(([id, parts]) => ({
          id,
          parts,
          sentAt: clock.now() - RUN_MS,
        })),
      );
    },
    answer: (...parts: string[]) => evidence.recordAnswer(parts, clock.now()),
    isHarmful: (...parts: string[]) =>
      evidence.findHarmful(parts) !== undefined,
  };
}

type Cluster = ReturnType<typeof create>;

/** Lets three requests with the harmful part crash a process each. */
async function crashThrice(
  { clock, crash }: Cluster,
  createParts = (_round: number): string[] => [SHARED, HARMFUL],
): Promise<void> {
  for (let round = 0; round < 3; round++) {
    await clock.advance(GAP_MS);
    crash({ [`r${round}`]: createParts(round) });
  }
}

describe("evidence of crashes", () => {
  describe("of a part that crashes upstreams", () => {
    // Guards against requests with the part that end upstream after upstream.
    it("holds the part back whatever else a prompt holds", async () => {
      const cluster = create();
      await crashThrice(cluster, (round) => [`first${round}`, HARMFUL]);
      expect(cluster.isHarmful("first9", HARMFUL)).toBe(true);
    });

    it("does not hold back what innocent requests share with it", async () => {
      const cluster = create();
      for (let round = 0; round < 3; round++) {
        await cluster.clock.advance(GAP_MS);
        cluster.crash({ [`r${round}`]: [SHARED, HARMFUL] });
        await cluster.clock.advance(GAP_MS);
        cluster.answer(SHARED);
      }
      expect(cluster.isHarmful(SHARED, "other")).toBe(false);
      expect(cluster.isHarmful("other", HARMFUL)).toBe(true);
    });

    it("holds back only both of two parts that always came together", async () => {
      const cluster = create();
      await crashThrice(cluster);
      expect(cluster.isHarmful(SHARED, HARMFUL)).toBe(true);
      expect(cluster.isHarmful(SHARED, "other")).toBe(false);
      await cluster.clock.advance(GAP_MS);
      cluster.answer(SHARED, "other");
      expect(cluster.isHarmful("other", HARMFUL)).toBe(true);
    });

    // Guards against an outage that goes on because all requests are held back.
    it("does not hold back a part of all requests that none could answer", async () => {
      const cluster = create();
      for (let round = 0; round < 4; round++) {
        await cluster.clock.advance(GAP_MS);
        cluster.crash({
          [`r${round}`]: [SHARED, HARMFUL],
          [`bystander${round}`]: [SHARED],
        });
      }
      expect(cluster.isHarmful(SHARED)).toBe(false);
      expect(cluster.isHarmful(SHARED, HARMFUL)).toBe(true);
    });

    it("finds two such parts that crash different upstreams", async () => {
      const cluster = create();
      for (let round = 0; round < 3; round++) {
        await cluster.clock.advance(GAP_MS);
        cluster.crash({ [`a${round}`]: [SHARED, HARMFUL], x: [SHARED] });
        await cluster.clock.advance(GAP_MS);
        cluster.crash({ [`b${round}`]: [SHARED, "second"], y: [SHARED] });
      }
      expect(cluster.isHarmful(SHARED, HARMFUL)).toBe(true);
      expect(cluster.isHarmful(SHARED, "second")).toBe(true);
      expect(cluster.isHarmful(SHARED)).toBe(false);
    });

    it("is released some time after the last crashes", async () => {
      const cluster = create();
      await crashThrice(cluster);
      await cluster.clock.advance(11 * 60_000);
      expect(cluster.isHarmful(SHARED, HARMFUL)).toBe(false);
      expect(cluster.evidence.list()).toEqual([]);
    });
  });

  // Guards against one request that callers send again and again, which ended
  // nine upstreams as only the parts that it shares with others counted.
  describe("of one request that crashes upstreams", () => {
    it("holds it back after three crashes, and nothing that it shares", async () => {
      const cluster = create();
      for (let round = 0; round < 3; round++) {
        await cluster.clock.advance(GAP_MS);
        expect(cluster.isHarmful(SHARED, "own")).toBe(false);
        cluster.crash({
          own: [SHARED, "own"],
          [`bystander${round}`]: [SHARED, `bystander${round}`],
        });
      }
      expect(cluster.isHarmful(SHARED, "own")).toBe(true);
      expect(cluster.isHarmful(SHARED, "other")).toBe(false);
    });

    it("keeps it back when requests with its shared parts are answered", async () => {
      const cluster = create();
      for (let round = 0; round < 3; round++) {
        await cluster.clock.advance(GAP_MS);
        cluster.crash({ own: [SHARED, "own"] });
        cluster.answer(SHARED, "other");
      }
      await cluster.clock.advance(GAP_MS);
      cluster.answer(SHARED, "other");
      expect(cluster.isHarmful(SHARED, "own")).toBe(true);
    });

    it("counts each crash that follows a repeat, however soon", async () => {
      const cluster = create();
      await cluster.clock.advance(GAP_MS);
      for (let repeat = 0; repeat < 3; repeat++) {
        await cluster.clock.advance(RUN_MS + 1);
        cluster.crash({ own: ["own"] });
      }
      expect(cluster.isHarmful("own")).toBe(true);
    });

    it("counts crashes once at which copies of it were sent before", async () => {
      const cluster = create();
      await cluster.clock.advance(GAP_MS);
      for (let copy = 0; copy < 5; copy++) {
        await cluster.clock.advance(2);
        cluster.crash({ own: ["own"] });
      }
      expect(cluster.isHarmful("own")).toBe(false);
    });

    it("does not acquit a shared part with which others crash, too", async () => {
      const cluster = create();
      for (let repeat = 0; repeat < 3; repeat++) {
        await cluster.clock.advance(GAP_MS);
        cluster.crash({ own: [HARMFUL, "own"] });
      }
      expect(cluster.isHarmful(HARMFUL, "other")).toBe(false);
      await cluster.clock.advance(GAP_MS);
      cluster.crash({ other: [HARMFUL, "other"] });
      expect(cluster.isHarmful(HARMFUL, "third")).toBe(true);
    });
  });

  describe("of failures without a harmful part", () => {
    it("counts processes that end together once", async () => {
      const cluster = create();
      await cluster.clock.advance(GAP_MS);
      for (let process = 0; process < 12; process++) {
        cluster.crash({ [`r${process}`]: [SHARED] });
      }
      expect(cluster.isHarmful(SHARED)).toBe(false);
    });

    it("does not hold back the repeats of one unlucky request", async () => {
      const cluster = create();
      for (let repeat = 0; repeat < 4; repeat++) {
        await cluster.clock.advance(GAP_MS);
        cluster.crash({ same: ["session"] });
      }
      expect(cluster.isHarmful("session")).toBe(false);
      expect(cluster.evidence.isSuspect(["session"])).toBe(true);
    });

    it("starts anew after an answer to a request with the part", async () => {
      const cluster = create();
      await crashThrice(cluster);
      await cluster.clock.advance(GAP_MS);
      expect(cluster.answer(SHARED, HARMFUL)).toEqual([SHARED, HARMFUL]);
      expect(cluster.isHarmful(SHARED, HARMFUL)).toBe(false);
      expect(cluster.evidence.isSuspect([HARMFUL])).toBe(false);
    });

    it("suspects what is left once one of two parts was answered", async () => {
      const cluster = create();
      await crashThrice(cluster);
      await cluster.clock.advance(GAP_MS);
      cluster.answer(HARMFUL);
      expect(cluster.isHarmful(SHARED, "other")).toBe(true);
      expect(cluster.isHarmful(HARMFUL)).toBe(false);
    });

    it("ignores an answer that began before the crashes", async () => {
      const cluster = create();
      const beganAt = cluster.clock.now();
      await crashThrice(cluster);
      cluster.evidence.recordAnswer([HARMFUL], beganAt);
      expect(cluster.isHarmful(SHARED, HARMFUL)).toBe(true);
    });

    it.each([1, 2, 3, 4, 5, 6, 7, 8])(
      "holds back no part that upstreams answer between random crashes (seed %i)",
      async (seed) => {
        const random = new SeededRandom(seed);
        const cluster = create();
        const drawParts =
          () => [`a${random.below(60)}`, `b${random.below(60)}`];
        for (let crash = 0; crash < 40; crash++) {
          for (let answer = 0; answer < 60; answer++) {
            await cluster.clock.advance(10);
            cluster.answer(...drawParts());
          }
          cluster.crash(Object.fromEntries(
            Array.from(
              { length: 8 },
              (_, index) => [`r${crash}-${index}`, drawParts()],
            ),
          ));
        }
        expect(cluster.evidence.list()).toEqual([]);
      },
    );
  });

  describe("from other nodes", () => {
    it("merges what they saw of one crash", async () => {
      const { clock, evidence, isHarmful } = create();
      await clock.advance(GAP_MS);
      for (let node = 0; node < 4; node++) {
        evidence.recordCrash("p1", clock.now(), [
          { id: `r${node}`, parts: [HARMFUL], sentAt: 0 },
        ]);
        await clock.advance(GAP_MS);
      }
      expect(isHarmful(HARMFUL)).toBe(false);
    });

    it("is in force at a node that was away", async () => {
      const cluster = create();
      await crashThrice(cluster);
      const restarted = create();
      await restarted.clock.advance(GAP_MS);
      for (const { parts } of cluster.evidence.list()) {
        restarted.evidence.adopt(parts, restarted.clock.now());
      }
      expect(restarted.isHarmful(SHARED, HARMFUL)).toBe(true);
      expect(restarted.isHarmful(SHARED)).toBe(false);
    });

    // Guards against nodes that keep a finding alive by passing it to and fro.
    it("expires although each report makes it look a little younger", async () => {
      const { clock, evidence, isHarmful } = create();
      await clock.advance(GAP_MS);
      evidence.adopt([HARMFUL], clock.now());
      for (let report = 0; report < 12 * 60; report++) {
        await clock.advance(1000);
        const [known] = evidence.list();
        if (known !== undefined) {
          evidence.adopt([HARMFUL], known.lastCrashAt + 900);
        }
      }
      expect(isHarmful(HARMFUL)).toBe(false);
    });

    it("is not adopted again once the part was answered", async () => {
      const { clock, evidence, isHarmful } = create();
      await clock.advance(GAP_MS);
      const crashedAt = clock.now();
      evidence.adopt([HARMFUL], crashedAt);
      await clock.advance(GAP_MS);
      evidence.recordAnswer([HARMFUL], clock.now());
      evidence.adopt([HARMFUL], crashedAt + 900);
      expect(isHarmful(HARMFUL)).toBe(false);
    });
  });
});
