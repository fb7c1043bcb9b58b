/**
 * Services whose engines placement groups.
 *
 * @module
 */
import type {
  EngineProfile,
  ModelProfile,
  ServiceProfile,
} from "../model/configuration.ts";

/** A service with engines. */
export interface EngineService {
  readonly name: string;
  readonly engine: EngineProfile;
}

/** Lists the services that have engines. */
export function listEngineServices(
  services: readonly ServiceProfile[],
): EngineService[] {
  return services.flatMap(({ name, engine }) =>
    engine === undefined ? [] : [{ name, engine }]
  );
}

/** Finds a model of a service by its name. */
export function findModel(
  { engine }: EngineService,
  name: string,
): ModelProfile | undefined {
  return engine.models.find((model) => model.name === name);
}
