/**
 * HTTP API for operators.
 *
 * @module
 */
import { hashSecret, isSameHash, readBearerToken } from "@zinniahill/clients";
import type { Random, Service } from "@zinniahill/kernel";
import {
  type ControlRecord,
  parseRules,
  Refusal,
  type Settings,
} from "@zinniahill/schema";
import * as z from "zod";
import type { Evidence } from "../groups/evidence.ts";
import type { Lifecycle } from "../lifecycle.ts";
import type { Peers } from "../peers/peers.ts";
import type { NodeKernel } from "../services.ts";
import {
  HttpListener,
  readJson,
  type RequestTask,
  type RoutedRequest,
  sendJson,
} from "../serving/http.ts";
import type { ControlState } from "../state/control-state.ts";

const OK_STATUS = 200;
const CONFLICT_STATUS = 409;

const PublishBody = z.object({
  basis: z.number().int().min(0),
  text: z.string(),
  author: z.string().min(1),
});
const CheckBody = z.object({ text: z.string() });
const DrainBody = z.object({
  drained: z.boolean(),
  author: z.string().default("operator"),
});

/** Serves the administration API on its own listener. */
export class AdministrationApi implements Service {
  #kernel: NodeKernel;
  #random: Random;
  #settings: Settings;
  #state: ControlState;
  #evidence: Evidence;
  #peers: Peers;
  #lifecycle: Lifecycle;
  #listener: HttpListener;
  #stopController = new AbortController();

  constructor(kernel: NodeKernel) {
    this.#kernel = kernel;
    this.#random = kernel.find("random");
    this.#settings = kernel.find("settings");
    this.#state = kernel.find("state");
    this.#evidence = kernel.find("evidence");
    this.#peers = kernel.find("peers");
    this.#lifecycle = kernel.find("lifecycle");
    const { endpoint, headBytes } = kernel.find("connectionLimits");
    const appliedLimits = kernel.find("appliedLimits");
    this.#listener = new HttpListener({
      intake: kernel.find("requestIntake"),
      limit: {
        maxConnections: endpoint,
        maxHeadBytes: headBytes,
        onClose: (address, open) =>
          appliedLimits.record("endpoint-connections", { address, open }),
      },
    });
  }

  async start(): Promise<void> {
    this.#addRoute(
      "POST",
      "/admin/configuration",
      async (request, response) => {
        const body = await this.#readBody(request, PublishBody);
        const result = await this.#publish(body);
        sendJson(response, result.status, result.body);
      },
    );
    this.#addRoute(
      "POST",
      "/admin/configuration/check",
      async (request, response) => {
        const { text } = await this.#readBody(request, CheckBody);
        const faults = parseRules(text).match({
          Ok: () => [],
          Err: (ruleFaults) => ruleFaults,
        });
        sendJson(response, OK_STATUS, { faults });
      },
    );
    this.#addRoute(
      "GET",
      "/admin/configuration",
      async (_request, response) => {
        await Promise.resolve();
        sendJson(response, OK_STATUS, this.#state.control.configuration);
      },
    );
    this.#addRoute("GET", "/admin/status", async (_request, response) => {
      await Promise.resolve();
      sendJson(response, OK_STATUS, this.#createStatus());
    });
    this.#addRoute("GET", "/admin/groups", async (_request, response) => {
      await Promise.resolve();
      sendJson(response, OK_STATUS, { groups: this.#listGroups() });
    });
    this.#addRoute(
      "POST",
      "/admin/hosts/:host/drain",
      async (request, response) => {
        const body = await this.#readBody(request, DrainBody);
        await this.#propose({
          kind: "host-drained",
          ...this.#createRecordHeader(),
          host: String(request.params.host),
          ...body,
        });
        sendJson(response, OK_STATUS, {});
      },
    );
    this.#addRoute("POST", "/admin/drain", async (_request, response) => {
      await Promise.resolve();
      this.#lifecycle.drain();
      sendJson(response, OK_STATUS, {});
    });
    this.#addRoute("GET", "/admin/dump", async (_request, response) => {
      await Promise.resolve();
      sendJson(response, OK_STATUS, this.#kernel.dump());
    });
    await this.#listener.listen(this.#settings.node["admin-address"]);
  }

  stop(): Promise<void> {
    this.#stopController.abort();
    return this.#listener.close();
  }

  #addRoute(method: "GET" | "POST", path: string, handler: RequestTask): void {
    const expected = hashSecret(this.#settings.node["admin-token"]);
    this.#listener.on(method, path, async (request, response) => {
      if (!isSameHash(hashSecret(readBearerToken(request)), expected)) {
        throw new Refusal(
          "unauthorized",
          "not-run",
          "the administration token is missing or invalid",
        );
      }
      await handler(request, response);
    });
  }

  #readBody<Body>(
    request: RoutedRequest,
    schema: z.ZodType<Body>,
  ): Promise<Body> {
    return readJson(request, this.#settings.limits["body-bytes"], schema);
  }

  #createRecordHeader(): { id: string; node: string } {
    return { id: this.#random.id(), node: this.#settings.node.name };
  }

  async #publish(
    body: z.infer<typeof PublishBody>,
  ): Promise<{ status: number; body: unknown }> {
    const faults = parseRules(body.text).match({
      Ok: () => [],
      Err: (ruleFaults) => ruleFaults,
    });
    const [fault] = faults;
    if (fault !== undefined) {
      throw new Refusal(
        "bad-request",
        "not-run",
        `line ${fault.line}: ${fault.message}`,
      );
    }
    const record: ControlRecord = {
      kind: "configuration",
      ...this.#createRecordHeader(),
      ...body,
    };
    const isAccepted = await this.#propose(record);
    const { version, text } = this.#state.control.configuration;
    return isAccepted
      ? { status: OK_STATUS, body: { version } }
      : { status: CONFLICT_STATUS, body: { version, text } };
  }

  async #propose(record: ControlRecord): Promise<boolean> {
    const proposal = await this.#state.propose(
      record,
      this.#stopController.signal,
    );
    if (proposal.isErr) {
      throw proposal.error;
    }
    return proposal.value.accepted;
  }

  #createStatus(): unknown {
    return {
      node: this.#settings.node.name,
      version: this.#state.control.configuration.version,
      logReachable: this.#state.isLogReachable,
      stopping: this.#lifecycle.isStopping,
      peers: this.#peers.list().map(({ hello, heartbeat }) => ({
        node: hello.node,
        version: heartbeat?.configurationVersion ?? 0,
        logReachable: heartbeat?.logReachable ?? false,
        stopping: heartbeat?.stopping ?? false,
      })),
    };
  }

  #listGroups(): unknown[] {
    return [...this.#state.control.groups.values()].map((group) => ({
      ...group,
      obstacle: this.#evidence.findObstacle(group) ?? null,
    }));
  }
}
