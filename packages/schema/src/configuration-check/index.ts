/**
 * Check of a configuration before it is published.
 *
 * @module
 */
export { CHECKS } from "./checks.ts";
export {
  checkConfiguration,
  type ConfigurationSource,
} from "./configuration-check.ts";
export {
  Change,
  CheckName,
  ConfigurationReport,
  Difference,
  Finding,
  FindingKind,
} from "./report.ts";
