import { describe, expect, it } from "vitest";
import { Kernel, KernelError, type Service } from "../src/index.ts";

class Recorder implements Service {
  #events: string[];
  #name: string;

  constructor(name: string, events: string[]) {
    this.#name = name;
    this.#events = events;
  }

  start(): void {
    this.#events.push(`start ${this.#name}`);
  }

  stop(): void {
    this.#events.push(`stop ${this.#name}`);
  }

  dump(): unknown {
    return { name: this.#name };
  }
}

interface Directory {
  first: Recorder;
  second: Recorder;
}

describe("Kernel", () => {
  describe("start and stop", () => {
    it("starts a service after its dependencies and stops it before them", async () => {
      const events: string[] = [];
      const kernel = new Kernel<Directory>()
        .provide("second", ["first"], () => new Recorder("second", events))
        .provide("first", [], () => new Recorder("first", events));
      await kernel.start();
      await kernel.stop();
      expect(events).toEqual([
        "start first",
        "start second",
        "stop second",
        "stop first",
      ]);
    });
  });

  describe("invalid providers", () => {
    it("refuses a name that is provided twice", () => {
      const kernel = new Kernel<Directory>()
        .provide("first", [], () => new Recorder("first", []));
      expect(() => kernel.provide("first", [], () => new Recorder("", [])))
        .toThrow(KernelError);
    });

    it("refuses to start when a dependency is missing", async () => {
      const kernel = new Kernel<Directory>()
        .provide("second", ["first"], () => new Recorder("second", []));
      await expect(kernel.start()).rejects.toThrow(
        "missing service: second > first",
      );
    });

    it("refuses to start on a circular dependency", async () => {
      const kernel = new Kernel<Directory>()
        .provide("first", ["second"], () => new Recorder("first", []))
        .provide("second", ["first"], () => new Recorder("second", []));
      await expect(kernel.start()).rejects.toThrow(
        "circular dependency: first > second > first",
      );
    });
  });

  describe("state dump", () => {
    it("holds the state of every service under its name", async () => {
      const kernel = new Kernel<Directory>()
        .provide("first", [], () => new Recorder("first", []));
      await kernel.start();
      expect(kernel.dump()).toEqual({ first: { name: "first" } });
    });
  });
});
