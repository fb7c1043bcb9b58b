import { ManualClock } from "@zinniahill/kernel";
import type { EngineOrder, GenerateRequest } from "@zinniahill/schema";
import {
  createToken,
  hashMessages,
  MemoryPlatform,
} from "@zinniahill/stand-ins";
import { beforeEach, describe, expect, it } from "vitest";
import type { Evidence } from "../src/matrix/evidence.ts";
import { CONFIGURATION_BOUND_MS } from "../src/matrix/judge-configurations.ts";
import {
  LEAVING_BOUND_MS,
  MISSING_HOST_BOUND_MS,
} from "../src/matrix/judge-hosts.ts";
import { type Guarantee, judge } from "../src/matrix/judgements.ts";
import { openSpan, Records } from "../src/matrix/records.ts";

const END_MS = 30_000;
const SERVICE = "127.0.0.1:9001";
const TOKENS = 3;

class Scene {
  readonly clock = new ManualClock();
  readonly platform = new MemoryPlatform(this.clock);
  readonly records = new Records();
  readonly service = this.platform.addRecordService(SERVICE);

  constructor() {
    for (const [index, host] of ["a", "b", "c"].entries()) {
      this.platform.addHost({
        host,
        address: createAddress(index),
        dataCentre: "dc-1",
        fabricDomain: "fabric-1",
        accelerators: 8,
        state: "live",
      }, { batchSize: 4, stepMs: 10, checksFence: true, loadMs: 10 });
    }
  }

  get evidence(): Evidence {
    const { records, platform, service } = this;
    return { records, platform, recordServices: [service], endedAt: END_MS };
  }

  find(guarantee: Guarantee): string {
    return judge(guarantee, this.evidence).state;
  }

  engine(index: number) {
    return this.platform.engines.get(createAddress(index))!;
  }

  load(index: number, group: string, hosts: readonly string[]): void {
    this.engine(index).carryOut(
      {
        id: `${group}/${index}`,
        order: "load",
        fence: 1,
        group,
        model: "chat",
        version: "1",
        hosts: hosts.map((host, rank) => ({
          host,
          address: createAddress(rank),
        })),
        rank: hosts.indexOf("abc"[index]!),
      } satisfies EngineOrder,
    );
  }

  begin(request: string, group: string): void {
    const body: GenerateRequest = {
      request,
      group,
      model: "chat",
      messages: [{ role: "user", content: request }],
      maxTokens: TOKENS,
      priority: 0,
      offset: 0,
    };
    this.engine(0).generate(body, {
      write: () => {},
      end: () => {},
      drop: () => {},
    });
  }

  publish(id: string, basis: number): number {
    return this.platform.log.append("control", [{
      kind: "configuration",
      id,
      node: "node-1",
      basis,
      text: "",
      author: "operator",
    }]);
  }

  sample(node: string, version: number): void {
    const at = this.clock.now();
    this.records.versions.push({ node, start: 1, at, version });
  }
}

function createAddress(index: number): string {
  return `127.0.0.1:${9101 + index}`;
}

const NODE = { node: "node-1", start: 1, from: 0 };

describe("judgements of the matrix", () => {
  let scene: Scene;
  beforeEach(() => {
    scene = new Scene();
  });

  describe("P1: groups with a missing host", () => {
    beforeEach(async () => {
      scene.load(0, "g", ["a", "b"]);
      scene.load(1, "g", ["a", "b"]);
      await scene.clock.advance(100);
    });

    it("detects new work after the bound, so that stale evidence shows", async () => {
      openSpan(scene.records.missingHosts, "b", scene.clock.now());
      await scene.clock.advance(MISSING_HOST_BOUND_MS + 1);
      scene.begin("r", "g");
      expect(scene.find("P1")).toBe("broken");
    });

    it("detects new work on a group whose host came back empty", async () => {
      scene.engine(1).reset();
      await scene.clock.advance(MISSING_HOST_BOUND_MS + 1);
      scene.begin("r", "g");
      expect(scene.find("P1")).toBe("broken");
    });

    it("allows work within the bound, so that detection time is not red", async () => {
      openSpan(scene.records.missingHosts, "b", scene.clock.now());
      await scene.clock.advance(MISSING_HOST_BOUND_MS - 1);
      scene.begin("r", "g");
      expect(scene.find("P1")).toBe("not exercised");
    });
  });

  describe("P2: hosts in two groups", () => {
    it("detects an order to load for another group, also when refused", () => {
      scene.load(0, "g", ["a", "b"]);
      scene.load(0, "h", ["a", "c"]);
      expect(scene.find("P2")).toBe("broken");
    });

    it("detects a group that names a host of another one", async () => {
      scene.load(0, "g", ["a", "b"]);
      scene.load(1, "g", ["a", "b"]);
      await scene.clock.advance(100);
      scene.load(2, "h", ["c", "b"]);
      expect(scene.find("P2")).toBe("broken");
    });
  });

  describe("P3: answers", () => {
    const createCase = (tokens: string[], end: "answered" | "refused") => {
      scene.records.streams.push({
        prompt: "r",
        maxTokens: TOKENS,
        attempts: [{ ...NODE, request: "r", tokens, end }],
      });
    };
    const seed = hashMessages({
      messages: [{ role: "user", content: "r" }],
    });
    const whole = [0, 1, 2].map((index) => createToken(seed, index));

    it("keeps a whole answer, so that the check is not always red", () => {
      createCase(whole, "answered");
      expect(scene.find("P3")).toBe("kept");
    });

    it("detects a repeated token", () => {
      createCase([whole[0]!, whole[0]!, whole[1]!], "answered");
      expect(scene.find("P3")).toBe("broken");
    });

    it("detects an answer that was reported complete too early", () => {
      createCase(whole.slice(0, 2), "answered");
      expect(scene.find("P3")).toBe("broken");
    });

    it("detects an answer that was cut after its first token", () => {
      createCase(whole.slice(0, 1), "refused");
      expect(scene.find("P3")).toBe("broken");
    });

    it("detects a caller who never got an answer", () => {
      scene.records.calls.push({ key: "k", attempts: [{ ...NODE }] });
      expect(scene.find("P3")).toBe("broken");
    });
  });

  describe("P4: verdicts", () => {
    it("detects a stream told not-run that an engine ran", () => {
      scene.load(0, "g", ["a"]);
      scene.begin("r", "g");
      scene.records.streams.push({
        prompt: "r",
        maxTokens: TOKENS,
        attempts: [{
          ...NODE,
          request: "r",
          tokens: [],
          end: "refused",
          verdict: "not-run",
        }],
      });
      // The engine is still loading and refuses; only then is it a lead.
      expect(scene.find("P4")).toBe("kept");
      scene.engine(0).runs.push({
        request: "r",
        group: "g",
        offset: 0,
        startedAt: 0,
        tokens: 0,
        isComplete: false,
      });
      expect(scene.find("P4")).toBe("broken");
    });

    it("detects a call told not-run that a service ran", () => {
      scene.records.calls.push({
        key: "k",
        attempts: [{ ...NODE, end: "refused", verdict: "not-run" }],
      });
      expect(scene.find("P4")).toBe("kept");
      scene.service.writes.push({
        key: "k",
        path: "/",
        body: "",
        at: 1,
        from: "node-1",
      });
      expect(scene.find("P4")).toBe("broken");
    });
  });

  describe("P5: runs of a key", () => {
    it("detects a key that two services ran once each", () => {
      const second = scene.platform.addRecordService("127.0.0.1:9002");
      const write = { key: "k", path: "/", body: "", at: 1, from: "node-1" };
      scene.records.calls.push({
        key: "k",
        attempts: [{ ...NODE }, { ...NODE }],
      });
      scene.service.writes.push(write);
      second.writes.push(write);
      const evidence = {
        ...scene.evidence,
        recordServices: [scene.service, second],
      };
      expect(judge("P5", evidence).state).toBe("broken");
    });
  });

  describe("P6: hosts that leave", () => {
    it("detects new work after the bound on a group with a leaving host", async () => {
      scene.load(0, "g", ["a", "b"]);
      scene.load(1, "g", ["a", "b"]);
      openSpan(scene.records.leavingHosts, "b", 0);
      await scene.clock.advance(LEAVING_BOUND_MS + 1);
      scene.begin("r", "g");
      expect(scene.find("P6")).toBe("broken");
    });
  });

  describe("P7: planned stops", () => {
    it("detects a call that ended with the planned stop of its node", () => {
      scene.records.plannedStops.push({ ...NODE, from: 10, to: 20 });
      scene.records.calls.push({
        key: "k",
        attempts: [{ ...NODE, to: 20, end: "lost" }],
      });
      expect(scene.find("P7")).toBe("broken");
    });

    it("detects an answer that was cut when a host left as announced", async () => {
      scene.load(0, "g", ["a", "b"]);
      await scene.clock.advance(100);
      scene.begin("r", "g");
      openSpan(scene.records.maintainedHosts, "b", 200);
      scene.records.streams.push({
        prompt: "r",
        maxTokens: TOKENS,
        attempts: [{
          ...NODE,
          to: 300,
          request: "r",
          tokens: ["x"],
          end: "refused",
        }],
      });
      expect(scene.find("P7")).toBe("broken");
    });
  });

  describe("P8: configurations", () => {
    it("detects a node that still has the old version after the bound", async () => {
      const version = scene.publish("e1", 0);
      scene.sample("node-1", version);
      scene.publish("e2", version);
      await scene.clock.advance(CONFIGURATION_BOUND_MS);
      expect(scene.find("P8")).toBe("broken");
    });

    it("counts from the end of an outage, so that an outage is not red", async () => {
      const version = scene.publish("e1", 0);
      const close = openSpan(scene.records.cutFromLog, "node-1", 0);
      await scene.clock.advance(20_000);
      close(scene.clock.now());
      await scene.clock.advance(CONFIGURATION_BOUND_MS - 1);
      scene.sample("node-1", version);
      expect(scene.find("P8")).toBe("kept");
    });

    it("detects a node that starts again and never gets the version", async () => {
      const version = scene.publish("e1", 0);
      scene.sample("node-1", version);
      await scene.clock.advance(10_000);
      const close = openSpan(scene.records.cutFromLog, "node-1", 10_000);
      await scene.clock.advance(1000);
      close(scene.clock.now());
      scene.sample("node-1", 0);
      expect(scene.find("P8")).toBe("broken");
    });

    it("detects a version that goes back", () => {
      const version = scene.publish("e1", 0);
      scene.sample("node-1", version + 1);
      scene.sample("node-1", version);
      expect(scene.find("P8")).toBe("broken");
    });

    it("detects an operator who was told of a success that did not happen", () => {
      const version = scene.publish("e1", 0);
      scene.publish("e2", 0);
      scene.sample("node-1", version);
      scene.records.edits.push({
        id: "e2",
        node: "node-2",
        from: 0,
        isAccepted: true,
      });
      expect(scene.find("P8")).toBe("broken");
    });
  });
});
