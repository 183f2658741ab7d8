/**
 * Audit trail of what the system does of its own accord, in a stream of the log.
 * Best effort: while the log is down, a bounded number of records waits; what is dropped is counted and said.
 * Promotions are not repeated here, since the configuration stream itself tells them.
 */
import { randomUUID } from "node:crypto";
import { z } from "zod";
import { createAppender } from "../log/appender.js";
import type { LogClient } from "../log/types.js";

export const auditStream = "beechdock-audit";

export const AuditKind = {
    start: "start",
    stop: "stop",
    leaving: "leaving",
    revisionInForce: "revision-in-force",
    revisionRefused: "revision-refused",
    ejection: "ejection",
    readmission: "readmission",
    mapSwitch: "map-switch",
    takeover: "takeover",
    generation: "generation",
    straggler: "straggler",
    dropped: "dropped",
} as const;
export type AuditKind = (typeof AuditKind)[keyof typeof AuditKind];

export interface AuditEvent {
    kind: AuditKind;
    /** What the act concerns, for example an instance, a group or a revision. */
    subject: string;
    reason: string;
}

export const AuditRecordSchema = z.object({
    id: z.string(),
    /** Time of the act by the instance's clock, in milliseconds since 1970. */
    time: z.number(),
    environment: z.string(),
    instance: z.string(),
    kind: z.string(),
    subject: z.string(),
    reason: z.string(),
});
export type AuditRecord = z.infer<typeof AuditRecordSchema>;

export interface Audit {
    record: (event: AuditEvent) => void;
    /** Records dropped so far. */
    dropped: () => number;
    /** Appends what waits, for a bounded time. */
    stop: () => Promise<void>;
}

export interface AuditOptions {
    log: LogClient;
    environment: string;
    instance: string;
    onError: (error: Error) => void;
}

const maxWaiting = 1000;
const maxBatch = 200;
const delayMs = 500;
const jitterMs = 5000;
const stopTimeoutMs = 2000;
const maxTextLength = 500;

/** Creates the audit trail of a process. */
export function createAudit(options: AuditOptions): Audit {
    const { log, environment, instance, onError } = options;
    const appender = createAppender(log, auditStream, {
        maxWaiting,
        maxBatch,
        delayMs,
        jitterMs,
        onError,
        getRandom: Math.random,
    });
    let reportedDrops = 0;
    const createRecord = ({ kind, subject, reason }: AuditEvent): AuditRecord => ({
        id: randomUUID(),
        time: Date.now(),
        environment,
        instance,
        kind,
        subject: subject.slice(0, maxTextLength),
        reason: reason.slice(0, maxTextLength),
    });
    const pushEvent = (event: AuditEvent) => {
        const data = createRecord(event);
        return appender.push({ id: data.id, data });
    };
    const reportDropped = () => {
        const dropped = appender.dropped();
        if (dropped > reportedDrops && appender.waiting() < maxWaiting) {
            const reason = `${dropped - reportedDrops} records were dropped while the log could not be reached`;
            pushEvent({ kind: AuditKind.dropped, subject: instance, reason });
            reportedDrops = dropped;
        }
    };
    return {
        record: event => {
            reportDropped();
            pushEvent(event);
        },
        dropped: appender.dropped,
        stop: async () => {
            reportDropped();
            await appender.stop(stopTimeoutMs);
        },
    };
}
