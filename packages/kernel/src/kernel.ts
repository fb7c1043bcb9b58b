/**
 * The micro-kernel: services that find each other by name.
 *
 * @module
 */
import type { Service } from "./service.ts";

/** A service is missing, provided twice or in a circular dependency. */
export class KernelError extends Error {
  override name = "KernelError";
}

/** How one service is created, and the services that it depends on. */
export interface Provider<Directory, Name extends keyof Directory> {
  readonly dependencies: readonly (keyof Directory & string)[];
  readonly create: (kernel: Kernel<Directory>) => Directory[Name];
}

type AnyProvider<Directory> = Provider<Directory, keyof Directory>;

/**
 * Holds services by name, starts them in dependency order and stops them in
 * reverse order. `Directory` maps each service name to its type.
 */
export class Kernel<Directory> {
  #providers = new Map<keyof Directory & string, AnyProvider<Directory>>();
  #services = new Map<keyof Directory & string, Service>();
  #started: (keyof Directory & string)[] = [];

  /** Registers how a service is created. A name can be provided once. */
  provide<Name extends keyof Directory & string>(
    name: Name,
    dependencies: readonly (keyof Directory & string)[],
    create: (kernel: Kernel<Directory>) => Directory[Name],
  ): this {
    if (this.#providers.has(name)) {
      throw new KernelError(`service "${name}" is already provided`);
    }
    this.#providers.set(name, { dependencies, create });
    return this;
  }

  /** Returns the service of that name; throws if it does not exist yet. */
  find<Name extends keyof Directory & string>(name: Name): Directory[Name] {
    const service = this.#services.get(name);
    if (service === undefined) {
      throw new KernelError(`service "${name}" is not available`);
    }
    return service as Directory[Name];
  }

  /** Creates every service in dependency order, then starts each one. */
  async start(): Promise<void> {
    const order = this.#sortByDependency();
    for (const name of order) {
      const provider = this.#providers.get(name)!;
      this.#services.set(name, provider.create(this) as Service);
    }
    for (const name of order) {
      this.#started.push(name);
      await this.#services.get(name)!.start?.();
    }
  }

  /** Stops started services in reverse order, even if some fail to stop. */
  async stop(): Promise<void> {
    const failures: unknown[] = [];
    for (const name of this.#started.splice(0).reverse()) {
      try {
        await this.#services.get(name)!.stop?.();
      } catch (failure) {
        failures.push(failure);
      }
    }
    if (failures.length > 0) {
      throw new AggregateError(failures, "some services failed to stop");
    }
  }

  /** Collects the state of every service under its name. */
  dump(): Record<string, unknown> {
    const state: Record<string, unknown> = {};
    for (const [name, service] of this.#services) {
      if (service.dump) {
        state[name] = service.dump();
      }
    }
    return state;
  }

  #sortByDependency(): (keyof Directory & string)[] {
    const order: (keyof Directory & string)[] = [];
    const visiting = new Set<string>();
    const visit = (name: keyof Directory & string, path: string[]): void => {
      if (order.includes(name)) {
        return;
      }
      const chain = [...path, name];
      if (visiting.has(name)) {
        throw new KernelError(`circular dependency: ${chain.join(" > ")}`);
      }
      const provider = this.#providers.get(name);
      if (provider === undefined) {
        throw new KernelError(`missing service: ${chain.join(" > ")}`);
      }
      visiting.add(name);
      for (const dependency of provider.dependencies) {
        visit(dependency, chain);
      }
      visiting.delete(name);
      order.push(name);
    };
    for (const name of this.#providers.keys()) {
      visit(name, []);
    }
    return order;
  }
}
