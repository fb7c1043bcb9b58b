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

/**
 * The routes of one host. Prefixes that end with a slash are looked up, so that
 * thousands of routes cost no more than a few.
 */
class HostRoutes {
  #byPrefix = new Map<string, Route>();
  #maxPrefixLength = 0;
  /** Routes whose prefix may end within a part of the path, longest first. */
  #others: Route[] = [];

  add(route: Route): void {
    const { pathPrefix } = route;
    if (!pathPrefix.endsWith("/")) {
      this.#others.push(route);
      this.#others.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    } else if (!this.#byPrefix.has(pathPrefix)) {
      this.#byPrefix.set(pathPrefix, route);
      this.#maxPrefixLength = Math.max(
        this.#maxPrefixLength,
        pathPrefix.length,
      );
    }
  }

  find(path: string): Route | undefined {
    const route = this.#findByPrefix(path);
    const minLength = route?.pathPrefix.length ?? -1;
    return this.#others.find(({ pathPrefix }) =>
      pathPrefix.length > minLength && path.startsWith(pathPrefix)
    ) ?? route;
  }

  #findByPrefix(path: string): Route | undefined {
    for (
      let end = path.lastIndexOf("/", this.#maxPrefixLength - 1);
      end !== -1;
      end = end === 0 ? -1 : path.lastIndexOf("/", end - 1)
    ) {
      const route = this.#byPrefix.get(path.slice(0, end + 1));
      if (route !== undefined) {
        return route;
      }
    }
    return undefined;
  }
}

/** Looks up the routes, services and accounts of one configuration. */
export class RouteTable {
  readonly configuration: Configuration;
  /** Routes of each host, the longest prefix first. */
  #routes = new Map<string, HostRoutes>();
  #services: ReadonlyMap<string, ServiceProfile>;
  #accounts = new Map<string, Account>();

  constructor(configuration: Configuration) {
    this.configuration = configuration;
    for (const route of configuration.routes) {
      const host = route.host.toLowerCase();
      const routes = this.#routes.get(host) ?? new HostRoutes();
      this.#routes.set(host, routes);
      routes.add(route);
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
    return routes?.find(path);
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
