/**
 * The micro-kernel and the services that every process has.
 *
 * @module
 */
export { BoundedSink } from "./bounded-sink.ts";
export { type Clock, sleepUsing, SystemClock } from "./clock.ts";
export { Condition } from "./condition.ts";
export { DeadlineError, withDeadline } from "./deadline.ts";
export { Kernel, KernelError, type Provider } from "./kernel.ts";
export {
  type Fields,
  type FieldValue,
  formatLine,
  formatValue,
  type Level,
  LineLogger,
  type Logger,
  type LoggerOptions,
} from "./logger.ts";
export { ManualClock } from "./manual-clock.ts";
export { type Random, SeededRandom, SystemRandom } from "./random.ts";
export { type Service } from "./service.ts";
export {
  describeError,
  StoppedError,
  type TaskBody,
  TaskGroup,
} from "./tasks.ts";
