/**
 * Messages between entries (ingress proxies) and slots (sidecars of upstreams). Requests are JSON-RPC calls; responses
 * are streams of frame notifications.
 */
import { z } from "zod";
import { RunOutcome } from "../core/types.js";
import type { LoadReport } from "../core/types.js";

export const RunParamsSchema = z.object({
    requestId: z.string().max(100),
    attempt: z.number().int().positive(),
    /** Expected incarnation of the slot; undefined if the entry knows none. */
    incarnation: z.string().optional(),
    workspace: z.string(),
    method: z.string(),
    path: z.string(),
    headers: z.record(z.string(), z.string()),
    /** Body bytes, encoded as a Latin-1 string. */
    body: z.string(),
    idempotent: z.boolean(),
    idempotencyKey: z.string().max(200).optional(),
    /** Urgency as in RFC 9218: 0 is the most urgent. */
    urgency: z.number().int().min(0).max(7),
    /** Estimated work in tokens. */
    tokens: z.number().nonnegative(),
    /** Time left until the response must be complete, in milliseconds. */
    deadlineMs: z.number().positive(),
    /** Whether the run may wait for the end of a pause of the upstream, as the entry knows no slot without one. */
    canWaitForPause: z.boolean().optional(),
});
export type RunParams = z.infer<typeof RunParamsSchema>;

export const ResumeParamsSchema = z.object({
    requestId: z.string(),
    attempt: z.number().int().positive(),
    incarnation: z.string().optional(),
    nextSequence: z.number().int().nonnegative(),
});
export type ResumeParams = z.infer<typeof ResumeParamsSchema>;

export const RevokeParamsSchema = z.object({
    requestId: z.string(),
    attempt: z.number().int().positive(),
    incarnation: z.string().optional(),
});
export type RevokeParams = z.infer<typeof RevokeParamsSchema>;

/** Headers of a response; values that must not be joined with commas, such as `set-cookie`, are lists. */
const ResponseHeadersSchema = z.record(z.string(), z.union([z.string(), z.array(z.string())]));
export type ResponseHeaders = z.infer<typeof ResponseHeadersSchema>;

interface FrameBase {
    requestId: string;
    attempt: number;
    /** Position in the response; a keepalive frame has the sequence of the next frame and does not consume it. */
    sequence: number;
}

export type Frame =
    & FrameBase
    & (
        | { kind: "accepted"; incarnation: string; }
        | { kind: "head"; status: number; headers: ResponseHeaders; }
        /** `data` contains body bytes, encoded as a Latin-1 string. */
        | { kind: "data"; data: string; }
        /** `length` is the number of body bytes of the whole response. */
        | { kind: "end"; length: number; load: LoadReport; }
        | { kind: "keepalive"; }
        | {
            kind: "failed";
            outcome: RunOutcome;
            status: number;
            title: string;
            retryAfterSeconds?: number;
            /** Incarnation of the slot that sends the frame. */
            incarnation?: string;
            /** Names the crash of the upstream that ended the run; undefined if it has not crashed. */
            crash?: string;
            /** Load of the slot, which shows whether its upstream leaves or wants no requests for some time. */
            load?: LoadReport;
            /** Whether the upstream has asked for a pause, in which the run could not wait. */
            isPaused?: boolean;
        }
    );

/** A frame without request id, attempt and sequence. */
export type FrameBody = Frame extends infer T ? T extends Frame ? Omit<T, keyof FrameBase> : never : never;

const base = { requestId: z.string(), attempt: z.number(), sequence: z.number() };
const LoadReportSchema = z.object({
    incarnation: z.string(),
    tokensInFlight: z.number(),
    requestsInFlight: z.number(),
    queued: z.number(),
    state: z.enum(["live", "leaving"]),
    serviceMs: z.number(),
    permitWaitMs: z.optional(z.number()),
    pauseWaitMs: z.optional(z.number()),
});
export const FrameSchema = z.discriminatedUnion("kind", [
    z.object({ ...base, kind: z.literal("accepted"), incarnation: z.string() }),
    z.object({ ...base, kind: z.literal("head"), status: z.number().int(), headers: ResponseHeadersSchema }),
    z.object({ ...base, kind: z.literal("data"), data: z.string() }),
    z.object({ ...base, kind: z.literal("end"), length: z.number(), load: LoadReportSchema }),
    z.object({ ...base, kind: z.literal("keepalive") }),
    z.object({
        ...base,
        kind: z.literal("failed"),
        outcome: z.enum(RunOutcome),
        status: z.number().int(),
        title: z.string(),
        retryAfterSeconds: z.number().optional(),
        incarnation: z.string().optional(),
        crash: z.string().optional(),
        load: LoadReportSchema.optional(),
        isPaused: z.boolean().optional(),
    }),
]);

/** Paths of the internal servers of entries and slots. */
export const InternalPath = {
    run: "/run",
    resume: "/resume",
    rpc: "/rpc",
} as const;
