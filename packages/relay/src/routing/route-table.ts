/**
 * Lookup of a request's route, service and account.
 *
 * @module
 */
import type { Random } from "@zinniahill/kernel";
import type {
  Account,
  Configuration,
  Route,
  ServiceProfile,
} from "../model/configuration.ts";

/** Looks up the routes, services and accounts of one configuration. */
export class RouteTable {
  readonly configuration: Configuration;
  /** Routes of each host, the longest prefix first. */
  #routes = new Map<string, Route[]>();
  #services: ReadonlyMap<string, ServiceProfile>;
  #accounts = new Map<string, Account>();

  constructor(configuration: Configuration) {
    this.configuration = configuration;
    for (const route of configuration.routes) {
      const host = route.host.toLowerCase();
      this.#routes.set(host, [...this.#routes.get(host) ?? [], route]);
    }
    for (const routes of this.#routes.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    this.#services = new Map(
      configuration.services.map((service) => [service.name, service]),
    );
    for (const account of configuration.accounts ?? []) {
      account.keys.forEach((key) => this.#accounts.set(key, account));
    }
  }

  /** The route with the longest path prefix that matches. */
  findRoute(host: string, path: string): Route | undefined {
    const hostname = host.toLowerCase();
    const routes = this.#routes.get(hostname) ??
      this.#routes.get(hostname.replace(/:\d+$/, ""));
    return routes?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
  }

  /** The account that holds a key. */
  findAccount(key: string): Account | undefined {
    return this.#accounts.get(key);
  }

  findService(name: string): ServiceProfile | undefined {
    return this.#services.get(name);
  }

  /** Picks one of a route's services at random, by weight. */
  pickService(route: Route, random: Random): ServiceProfile | undefined {
    const total = route.destinations.reduce(
      (sum, { weight }) => sum + weight,
      0,
    );
    let remaining = random.fraction() * total;
    for (const { service, weight } of route.destinations) {
      remaining -= weight;
      if (remaining < 0) {
        return this.findService(service);
      }
    }
    return this.findService(route.destinations[0]?.service ?? "");
  }
}
