/**
 * Values shared by several schemas.
 *
 * @module
 */
import { isIP } from "node:net";
import * as z from "zod";

/** A name in rules, settings and records. */
export const Name = z.string().regex(
  /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/,
  "expected a name of letters, digits, '.', '_' or '-'",
);

/** The ranks of work, most urgent first. */
export const RANKS = ["urgent", "normal", "batch"] as const;

/** How urgent a request is. */
export const Rank = z.enum(RANKS);
/** How urgent a request is. */
export type Rank = z.infer<typeof Rank>;

/** An IP literal with a port, such as `127.0.0.1:8080` or `[::1]:8080`. */
export const Address = z.string().refine(
  isAddress,
  "expected an IP literal with a port, such as 127.0.0.1:8080",
);

const MAX_PORT = 65_535;

function isAddress(text: string): boolean {
  const colon = text.lastIndexOf(":");
  const port = text.slice(colon + 1);
  const host = text.slice(0, colon).replace(/^\[(.*)\]$/, "$1");
  return colon > 0 && /^\d{1,5}$/.test(port) && Number(port) <= MAX_PORT &&
    isIP(host) !== 0;
}

const MS_PER_UNIT = { ms: 1, s: 1000, m: 60_000, h: 3_600_000 } as const;

/** A duration with its unit (`ms`, `s`, `m` or `h`), in milliseconds. */
export const Duration = z.string().regex(
  /^\d+(\.\d+)?(ms|s|m|h)$/,
  "expected a duration with its unit, such as 750ms, 5s, 2m or 1h",
).transform((text) => {
  const unit = text.match(/(ms|s|m|h)$/)![0] as keyof typeof MS_PER_UNIT;
  return Number.parseFloat(text) * MS_PER_UNIT[unit];
});

/** A percentage such as `20%`, as a fraction of 1. */
export const Percentage = z.string().regex(
  /^\d+(\.\d+)?%$/,
  "expected a percentage, such as 20%",
).transform((text) => Number.parseFloat(text) / 100)
  .refine((fraction) => fraction <= 1, "expected at most 100%");

/** A rate such as `50/s`, in units per second. */
export const Rate = z.string().regex(
  /^\d+(\.\d+)?\/s$/,
  "expected a rate per second, such as 50/s",
).transform((text) => Number.parseFloat(text));

/** A whole number of at least 0, written in digits. */
export const Count = z.string().regex(/^\d+$/, "expected a whole number")
  .transform(Number);

/** A positive number, written in digits. */
export const PositiveNumber = z.string().regex(
  /^\d+(\.\d+)?$/,
  "expected a positive number",
).transform(Number).refine((number) => number > 0, "expected more than 0");

/** A comma-separated list of at least one item. */
export function createListSchema<Item extends z.ZodType<unknown, string>>(
  item: Item,
) {
  return z.string().transform((text) => text.split(",")).pipe(
    z.array(item).min(1),
  );
}
