/** Upstreams that an entry can choose from: their load reports, and the entry's own work since each report. */
import type { InstanceRecord, LoadReport } from "../core/types.js";
import { type AttemptOutcome, createHealth, recordOutcome, type UpstreamHealth } from "./ejection.js";

/** Tokens that this entry had in flight at an upstream from `at` until the next sample. */
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
    /** Time of the report, in milliseconds; 0 before the first one. */
    reportedAt: number;
    /** Tokens of this entry's unfinished requests at the upstream. */
    ownTokens: number;
    /** Value of `ownTokens` at the time of the report. */
    ownTokensAtReport: number;
    /** Recent values of `ownTokens`, oldest first; a report may arrive after they have changed. */
    ownHistory: OwnSample[];
    /** Time until which the upstream counts as unreachable unless it reports earlier, in milliseconds. */
    unreachableUntil: number;
    /** Time of the last failed connection, in milliseconds. */
    unreachableSince: number;
    /** Outcomes of this entry's requests, for outlier detection. */
    health: UpstreamHealth;
}

export interface UpstreamTable {
    upstreams: Map<string, UpstreamState>;
}

/** Time for which values of `ownTokens` are kept to correct late reports, in milliseconds. */
const ownHistoryMs = 10_000;
/** Minimum time between two samples, in milliseconds; closer changes are merged into one. */
const ownHistoryResolutionMs = 50;
/** Time after a failed connection for which an upstream that does not report is excluded, in milliseconds. */
const unreachableMs = 15_000;

/** Creates an empty table. */
export function createUpstreamTable(): UpstreamTable {
    return { upstreams: new Map() };
}

/**
 * Replaces the set of upstreams by the slots of the instance list and keeps the state of those that remain. An unlisted
 * upstream is removed once this entry has no tokens in flight there.
 */
export function updateInstances(table: UpstreamTable, instances: InstanceRecord[]): void {
    const listed = new Set<string>();
    for (const record of instances) {
        if (record.role !== "slot" || record.pool === undefined) {
            continue;
        }
        listed.add(record.instance);
        const known = table.upstreams.get(record.instance);
        if (known === undefined) {
            table.upstreams.set(record.instance, createUpstreamState(record, record.pool));
            continue;
        }
        if (known.url !== record.url) {
            updateAddress(known, record.url);
        }
        known.leaving = record.state === "leaving" || known.report?.state === "leaving";
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

/**
 * Updates the load report of an upstream; `takenAt` is in milliseconds. A report older than the known one is ignored.
 */
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

/** Records tokens that this entry has sent. */
export function recordSentTokens(table: UpstreamTable, instance: string, tokens: number, now: number): void {
    const upstream = table.upstreams.get(instance);
    if (upstream !== undefined) {
        setOwnTokens(upstream, upstream.ownTokens + tokens, now);
    }
}

/** Records that tokens which this entry had sent are finished. */
export function recordFinishedTokens(table: UpstreamTable, instance: string, tokens: number, now: number): void {
    const upstream = table.upstreams.get(instance);
    if (upstream !== undefined) {
        setOwnTokens(upstream, Math.max(0, upstream.ownTokens - tokens), now);
    }
}

/** Marks an upstream as unreachable, until it reports or some time has passed. */
export function markUnreachable(table: UpstreamTable, instance: string, now: number): void {
    const upstream = table.upstreams.get(instance);
    if (upstream !== undefined) {
        upstream.unreachableSince = now;
        upstream.unreachableUntil = now + unreachableMs;
    }
}

/** Records the outcome of a request; returns whether the upstream was ejected for it. */
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

/**
 * Changes the address of an upstream, at which it has not failed yet. Its report stays: a run names the slot and its
 * incarnation, so that another process at the address refuses it.
 */
function updateAddress(upstream: UpstreamState, url: string): void {
    upstream.url = url;
    upstream.unreachableUntil = 0;
    upstream.health = createHealth();
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
