/** What an entry knows of the upstreams that it may choose: reports, their age, and its own work since. */
import type { InstanceRecord, LoadReport } from "../core/types.js";

export interface UpstreamEntry {
    instance: string;
    url: string;
    pool: string;
    dataCentre: string;
    leaving: boolean;
    report: LoadReport | undefined;
    /** Time of the report, in milliseconds. */
    reportedAt: number;
    /** Tokens that this entry has sent and that are not finished. */
    ownTokens: number;
    /** Tokens that this entry has sent since the last report. */
    sentSinceReport: number;
    /** Time until which the upstream is left out after failures, in milliseconds. */
    ejectedUntil: number;
}

export interface UpstreamTable {
    upstreams: Map<string, UpstreamEntry>;
}

/** Creates an empty table. */
export function createUpstreamTable(): UpstreamTable {
    return { upstreams: new Map() };
}

/** Replaces the set of upstreams by the slots of the instance list; what is known of those that stay is kept. */
export function updateInstances(table: UpstreamTable, instances: InstanceRecord[]): void {
    const listed = new Set<string>();
    for (const record of instances) {
        if (record.role !== "slot" || record.pool === undefined) {
            continue;
        }
        listed.add(record.instance);
        const known = table.upstreams.get(record.instance);
        if (known === undefined || known.url !== record.url) {
            table.upstreams.set(record.instance, createUpstreamEntry(record, record.pool));
        }
        else {
            known.leaving = record.state === "leaving" || known.report?.state === "leaving";
        }
    }
    for (const [instance, upstream] of table.upstreams) {
        if (!listed.has(instance) && upstream.ownTokens === 0) {
            table.upstreams.delete(instance);
        }
        else if (!listed.has(instance)) {
            upstream.leaving = true;
        }
    }
}

/** Takes in a load report. */
export function noteReport(table: UpstreamTable, instance: string, report: LoadReport, now: number): void {
    const upstream = table.upstreams.get(instance);
    if (upstream === undefined) {
        return;
    }
    upstream.report = report;
    upstream.reportedAt = now;
    upstream.sentSinceReport = 0;
    upstream.leaving = upstream.leaving || report.state === "leaving";
}

/** Notes work that this entry sends. */
export function noteSent(table: UpstreamTable, instance: string, tokens: number): void {
    const upstream = table.upstreams.get(instance);
    if (upstream !== undefined) {
        upstream.ownTokens += tokens;
        upstream.sentSinceReport += tokens;
    }
}

/** Notes that work which this entry sent is finished. */
export function noteDone(table: UpstreamTable, instance: string, tokens: number): void {
    const upstream = table.upstreams.get(instance);
    if (upstream !== undefined) {
        upstream.ownTokens = Math.max(0, upstream.ownTokens - tokens);
    }
}

/** Leaves an upstream out for a while after a failure. */
export function ejectUpstream(table: UpstreamTable, instance: string, until: number): void {
    const upstream = table.upstreams.get(instance);
    if (upstream !== undefined) {
        upstream.ejectedUntil = until;
    }
}

function createUpstreamEntry(record: InstanceRecord, pool: string): UpstreamEntry {
    return {
        instance: record.instance,
        url: record.url,
        pool,
        dataCentre: record.dataCentre,
        leaving: record.state === "leaving",
        report: undefined,
        reportedAt: 0,
        ownTokens: 0,
        sentSinceReport: 0,
        ejectedUntil: 0,
    };
}
