/**
 * Demo, fault matrix and measurements.
 *
 * @module
 */
export {
  type CallerAnswer,
  type CallerRequest,
  type RecordCall,
  recordCall,
  streamChat,
} from "./caller.ts";
export {
  DEMO_SIZE,
  type Deployment,
  type DeploymentSize,
  poll,
  readGroups,
  type ReportedGroup,
  type RunningEngine,
  type RunningNode,
  startDeployment,
  stopDeployment,
  waitForGroups,
} from "./deployment.ts";
export {
  runCommand,
  type RunningProcess,
  type RunningStandIn,
  startNode,
  startStandIn,
} from "./processes.ts";
