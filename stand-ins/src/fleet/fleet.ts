/**
 * A small deployment: a store, runners in fabric domains and a plain service.
 *
 * @module
 */
import type { LinkQuality } from "../delayed-link.ts";
import { FleetRunner } from "./runner.ts";
import { FleetStore } from "./store.ts";

/** What a deployment consists of. */
export interface FleetOptions {
  readonly domains: number;
  readonly runnersPerDomain: number;
  /** Hosts of one replica. */
  readonly modelHosts: number;
  /** Hosts of one replica of a second model, if there is one. */
  readonly secondModelHosts?: number;
  readonly loadMs?: number;
  /** Requests a second that a cold runner takes, if runners start cold. */
  readonly coldPerS?: number;
  /** Each has every so many-th domain and plain service; `z1` if absent. */
  readonly dataCentres?: readonly string[];
  /** The links by which nodes reach the runners, if they are not direct. */
  readonly link?: LinkQuality;
  /**
   * Whether routes of all kinds bear the mark and the attempts of a stream's
   * that is resumed.
   */
  readonly marksAllRoutes?: boolean;
  /** Largest body of a request. */
  readonly maxBodyBytes?: number;
}

export const FLEET_HOST = "calls.example";
export const FLEET_MODEL = "m1";
export const SECOND_FLEET_MODEL = "m2";
export const FLEET_KEY = "key-of-north";
/** After this time without a member, a lead ends its group. */
const STALL_MS = 5000;
const COLD_START_S = 3;
const DEFAULT_BODY_BYTES = 65_536;
/** The part of the hosts that the larger of two models has at the start. */
const LARGER_SHARE = 0.8;
const ENGINES = "engines";
const RECORDS = "records";
const PLAIN_SERVICES = 2;
const OPERATOR_TOPIC = "keyed.op";
const DEFAULT_DATA_CENTRES = ["z1"];

/** A deployment whose parts a test may break. */
export class Fleet {
  readonly store = new FleetStore();
  readonly runners: FleetRunner[] = [];
  readonly records: FleetRunner[] = [];
  #options: FleetOptions;
  #version = 0;
  #keys = [FLEET_KEY];
  #addedRoutes: string[] = [];
  /** What the operator last wrote by key; undefined if it deleted the key. */
  #operatorRecords = new Map<string, object | undefined>();
  #address = "";

  constructor(options: FleetOptions) {
    this.#options = options;
  }

  /** The version of the newest configuration. */
  get version(): number {
    return this.#version;
  }

  /** The store's address. */
  get address(): string {
    return this.#address;
  }

  async start(): Promise<void> {
    this.#address = await this.store.start();
    const { domains, runnersPerDomain, loadMs = 0 } = this.#options;
    for (let domain = 0; domain < domains; domain++) {
      for (let place = 0; place < runnersPerDomain; place++) {
        await this.#add(this.runners, ENGINES, loadMs, domain, `d${domain}`);
      }
    }
    const plainServices = Math.max(PLAIN_SERVICES, this.dataCentres.length);
    for (let index = 0; index < plainServices; index++) {
      await this.addRecordRunner();
    }
    this.publish();
  }

  /** Starts one more runner of the plain service. */
  async addRecordRunner(): Promise<FleetRunner> {
    const { loadMs = 0 } = this.#options;
    const index = this.records.length;
    return await this.#add(this.records, RECORDS, loadMs, index, undefined);
  }

  stop(): void {
    [...this.runners, ...this.records].forEach((runner) => runner.stop());
    this.store.stop();
  }

  get dataCentres(): readonly string[] {
    return this.#options.dataCentres ?? DEFAULT_DATA_CENTRES;
  }

  /** Runners that lead an open group. */
  listLeads(): FleetRunner[] {
    return this.runners.filter(({ membership }) =>
      membership?.rank === 0 && membership.State === "open"
    );
  }

  /** Adds a key and publishes the change. */
  accept(key: string): void {
    this.#keys = [...this.#keys, key];
    this.publish();
  }

  /** Adds a route of the plain service, `/NAME/`, and publishes the change. */
  addRoute(name: string): void {
    this.#addedRoutes.push(name);
    this.publish();
  }

  /** Takes a key away and publishes the change. */
  revoke(key: string): void {
    this.#keys = this.#keys.filter((other) => other !== key);
    this.publish();
  }

  /** Publishes a new version of the configuration. */
  publish(): void {
    this.#version += 3;
    this.#write("config", this.#createConfiguration());
  }

  /** Evacuates a data centre. */
  evacuate(dataCentre: string): void {
    this.#write(`evacuate/${dataCentre}`, {});
  }

  /** Ends the evacuation of a data centre. */
  endEvacuation(dataCentre: string): void {
    this.#write(`evacuate/${dataCentre}`, undefined);
  }

  /**
   * Lets the operator and the runners write their records again, as they do
   * when the store has come back from an older copy.
   */
  writeAgain(): void {
    this.#operatorRecords.forEach((value, key) => this.#write(key, value));
    [...this.runners, ...this.records].forEach((runner) => runner.writeAgain());
  }

  /** All upstreams of a data centre. */
  listUpstreams(dataCentre: string): FleetRunner[] {
    return [...this.runners, ...this.records]
      .filter((runner) => runner.dataCentre === dataCentre);
  }

  #write(key: string, value: object | undefined): void {
    this.#operatorRecords.set(key, value);
    this.store.put(OPERATOR_TOPIC, key, value);
  }

  async #add(
    list: FleetRunner[],
    service: string,
    loadMs: number,
    index: number,
    domain: string | undefined,
  ): Promise<FleetRunner> {
    const { link } = this.#options;
    const runner: FleetRunner = new FleetRunner({
      store: this.store,
      service,
      zone: this.dataCentres[index % this.dataCentres.length]!,
      loadMs,
      onLeft: (group) => this.#breakLater(group, runner),
      ...(domain === undefined ? {} : { domain }),
      ...(link === undefined ? {} : { link }),
    });
    await runner.start();
    list.push(runner);
    return runner;
  }

  /** Lets the lead of a group end it, unless the member is back by then. */
  #breakLater(group: string, member: FleetRunner): void {
    setTimeout(() => {
      if (member.membership?.Name !== group) {
        this.runners.forEach((runner) => runner.breakGroup(group));
      }
    }, STALL_MS).unref();
  }

  #createConfiguration(): object {
    const { marksAllRoutes = false } = this.#options;
    const route = (
      Name: string,
      PathPrefix: string,
      Kind: string,
      Service: string,
    ) => ({
      Name,
      Host: FLEET_HOST,
      PathPrefix,
      Kind,
      Service,
      TimeoutMs: 4000,
      TargetLatencyMs: 400,
      Priority: 0,
      MaxAttempts: Kind === "unsafe" && !marksAllRoutes ? 1 : 2,
      AllowAnonymous: false,
      Resumable: Kind === "stream" || marksAllRoutes,
    });
    const { coldPerS } = this.#options;
    const start = coldPerS === undefined
      ? { MaxConns: 100 }
      : { MaxConns: 100, ColdStartS: COLD_START_S, ColdPerS: coldPerS };
    return {
      Version: this.#version,
      Routes: [
        route("chat", "/chat/", "stream", ENGINES),
        route("stamp", "/stamp/", "unsafe", RECORDS),
        route("look", "/look/", "safe", RECORDS),
        ...this.#addedRoutes.map((name) =>
          route(name, `/${name}/`, "safe", RECORDS)
        ),
      ],
      Services: [
        { Name: ENGINES, ...start, Engine: this.#createEngine() },
        { Name: RECORDS, ...start },
      ],
      Limits: {
        MaxHeaderBytes: 16_384,
        MaxBodyBytes: this.#options.maxBodyBytes ?? DEFAULT_BODY_BYTES,
        HeaderTimeoutMs: 3000,
        IdleTimeoutMs: 15_000,
      },
      Tenants: [{ Name: "north", ApiKeys: this.#keys, Priority: 1 }],
    };
  }

  #createEngine(): object {
    const { modelHosts, secondModelHosts, loadMs = 0 } = this.#options;
    const model = (name: string, size: number, share: number) => ({
      Name: name,
      size,
      Share: share,
      pace: 1,
      LoadS: loadMs / 1000,
      WarmS: 0.02,
    });
    return {
      Slots: 8,
      KvCapacityTokens: 100_000,
      Stride: 6,
      step_ms: 6,
      per_seq_ms: 0.1,
      context_per_k: 0.004,
      read_per_s: 56_000,
      pairs_per_m: 0.3,
      chunk: 2048,
      LoadsPerS: 50,
      loads_at_once: 8,
      FormMs: 10,
      Models: secondModelHosts === undefined
        ? [model(FLEET_MODEL, modelHosts, 1)]
        : [
          model(FLEET_MODEL, modelHosts, LARGER_SHARE),
          model(SECOND_FLEET_MODEL, secondModelHosts, 1 - LARGER_SHARE),
        ],
    };
  }
}
