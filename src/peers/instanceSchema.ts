/** Schemas of the fields by which processes name instances to each other; values are checked where they enter. */
import { z } from "zod";
import { type InstanceRecord, InstanceState, Role } from "../core/types.js";
import { isFieldValue } from "../wire/httpSyntax.js";

const maxIdLength = 100;
const maxUrlLength = 200;

/** Id of an instance, which headers carry. */
export const InstanceIdSchema = z.string().min(1).max(maxIdLength).refine(isFieldValue);

/** Base URL of an instance's internal server. */
export const InstanceUrlSchema = z.url({ protocol: /^https?$/ }).max(maxUrlLength);

/** Entry of the platform's instance list. */
export const InstanceRecordSchema: z.ZodType<InstanceRecord> = z.object({
    instance: InstanceIdSchema,
    role: z.enum(Role),
    dataCentre: z.string(),
    url: InstanceUrlSchema,
    state: z.enum(InstanceState),
    pool: z.string().optional(),
    group: z.string().optional(),
    rank: z.number().int().nonnegative().optional(),
});
