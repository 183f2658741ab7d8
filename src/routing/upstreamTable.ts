/** What an entry knows of the upstreams that it may choose: reports, their age, and its own work since. */
import type { InstanceRecord, LoadReport } from "../core/types.js";
import { type AttemptOutcome, createHealth, recordOutcome, type UpstreamHealth } from "./ejection.js";

/** Tokens that this entry had in flight at an upstream from a time on. */
export interface OwnSample {
    /** Time in milliseconds. */
    at: number;
    tokens: number;
}

export interface UpstreamState {
    instance: string;
    url: string;
    pool: string;
    dataCentre: string;
    leaving: boolean;
    report: LoadReport | undefined;
    /** Time at which the report was taken, in milliseconds. */
    reportedAt: number;
    /** Tokens that this entry has sent and that are not finished. */
    ownTokens: number;
    /** Value of `ownTokens` when the report was taken. */
    ownTokensAtReport: number;
    /** Changes of `ownTokens` that a coming report may be older than, oldest first. */
    ownHistory: OwnSample[];
    /** Time until which the upstream counts as unreachable, unless it reports before, in milliseconds. */
    unreachableUntil: number;
    /** Time of the last failed connection, in milliseconds. */
    unreachableSince: number;
    /** Outcomes of this entry's requests. */
    health: UpstreamHealth;
}

export interface UpstreamTable {
    upstreams: Map<string, UpstreamState>;
}

/** Age up to which reports are corrected by this entry's own work, in milliseconds. */
const ownHistoryMs = 10_000;
/** Changes closer together than this share a sample, in milliseconds. */
const ownHistoryResolutionMs = 50;
/** Time after a failed connection after which a request may try again without a report, in milliseconds. */
const unreachableMs = 15_000;

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
            table.upstreams.set(record.instance, createUpstreamState(record, record.pool));
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

/** Takes in a load report that was taken at `takenAt`, in milliseconds; an older one than known is dropped. */
export function updateReport(table: UpstreamTable, instance: string, report: LoadReport, takenAt: number): void {
    const upstream = table.upstreams.get(instance);
    if (upstream === undefined || (upstream.report !== undefined && takenAt < upstream.reportedAt)) {
        return;
    }
    upstream.report = report;
    upstream.reportedAt = takenAt;
    upstream.ownTokensAtReport = findOwnTokens(upstream, takenAt);
    upstream.leaving = upstream.leaving || report.state === "leaving";
    if (takenAt > upstream.unreachableSince) {
        upstream.unreachableUntil = 0;
    }
}

/** Notes work that this entry sends. */
export function recordSentTokens(table: UpstreamTable, instance: string, tokens: number, now: number): void {
    const upstream = table.upstreams.get(instance);
    if (upstream !== undefined) {
        setOwnTokens(upstream, upstream.ownTokens + tokens, now);
    }
}

/** Notes that work which this entry sent is finished. */
export function recordFinishedTokens(table: UpstreamTable, instance: string, tokens: number, now: number): void {
    const upstream = table.upstreams.get(instance);
    if (upstream !== undefined) {
        setOwnTokens(upstream, Math.max(0, upstream.ownTokens - tokens), now);
    }
}

/** Leaves out an upstream that could not be reached, until it reports or some time has passed. */
export function markUnreachable(table: UpstreamTable, instance: string, now: number): void {
    const upstream = table.upstreams.get(instance);
    if (upstream !== undefined) {
        upstream.unreachableSince = now;
        upstream.unreachableUntil = now + unreachableMs;
    }
}

/** Takes in the outcome of a request; returns whether the upstream is ejected for it. */
export function recordUpstreamOutcome(
    table: UpstreamTable,
    instance: string,
    outcome: AttemptOutcome,
    now: number,
): boolean {
    const upstream = table.upstreams.get(instance);
    if (upstream === undefined) {
        return false;
    }
    const peers = [...table.upstreams.values()].filter(u => u.pool === upstream.pool && !u.leaving);
    return recordOutcome(upstream.health, peers.map(peer => peer.health), outcome, now);
}

function setOwnTokens(upstream: UpstreamState, tokens: number, now: number): void {
    upstream.ownTokens = tokens;
    const { ownHistory } = upstream;
    const last = ownHistory.at(-1);
    if (last !== undefined && now - last.at < ownHistoryResolutionMs) {
        last.tokens = tokens;
        return;
    }
    ownHistory.push({ at: now, tokens });
    while (ownHistory.length > 1 && ownHistory[1].at < now - ownHistoryMs) {
        ownHistory.shift();
    }
}

function findOwnTokens({ ownHistory }: UpstreamState, at: number): number {
    return ownHistory.findLast(s => s.at <= at)?.tokens ?? 0;
}

function createUpstreamState(record: InstanceRecord, pool: string): UpstreamState {
    return {
        instance: record.instance,
        url: record.url,
        pool,
        dataCentre: record.dataCentre,
        leaving: record.state === "leaving",
        report: undefined,
        reportedAt: 0,
        ownTokens: 0,
        ownTokensAtReport: 0,
        ownHistory: [],
        unreachableUntil: 0,
        unreachableSince: 0,
        health: createHealth(),
    };
}
