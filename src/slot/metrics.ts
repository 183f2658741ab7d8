/**
 * Metrics of a slot (an upstream's sidecar): claims of idempotency keys, timeouts of the upstream, and the run store,
 * which holds records of runs, tombstones of revoked ones, and buffered responses.
 */
import { Counter, Gauge, type Registry } from "prom-client";
import type { RunStore } from "./runStore.js";

export interface SlotMetrics {
    claims: Counter<"verdict">;
    /** Requests that were begun to be sent to the upstream, each on a connection of its own. */
    upstreamRuns: Counter<string>;
    /** Requests to the upstream that were aborted by an idle timeout. */
    upstreamTimeouts: Counter<string>;
    rateLimitChanges: Counter<"named">;
    /** Responses after which the upstream gets no requests, for some time or for good. */
    notices: Counter<"kind">;
}

/** Registers the metrics of a slot; gauges are read from the store when the metrics are collected. */
export function createSlotMetrics(registry: Registry, store: RunStore): SlotMetrics {
    const registers = [registry];
    const addGauge = (name: string, help: string, read: () => number) =>
        new Gauge({
            name,
            help,
            registers,
            collect() {
                this.set(read());
            },
        });
    addGauge("beechdock_answer_buffer_bytes", "Bytes of buffered answers.", () => store.bufferedBytes);
    addGauge("beechdock_run_records", "Run records, tombstones included.", () => store.records.size);
    return {
        claims: new Counter({
            name: "beechdock_claims_total",
            help: "Claims of idempotency keys by verdict.",
            labelNames: ["verdict"],
            registers,
        }),
        upstreamRuns: new Counter({
            name: "beechdock_upstream_runs_total",
            help: "Requests begun at the upstream, each on a connection of its own.",
            registers,
        }),
        upstreamTimeouts: new Counter({
            name: "beechdock_upstream_silences_total",
            help: "Upstream connections given up for silence.",
            registers,
        }),
        rateLimitChanges: new Counter({
            name: "beechdock_upstream_rate_limit_changes_total",
            help: "Changes of the rate limit that the upstream names.",
            labelNames: ["named"],
            registers,
        }),
        notices: new Counter({
            name: "beechdock_upstream_notices_total",
            help: "Responses by which the upstream says that it leaves, or begins or extends a pause.",
            labelNames: ["kind"],
            registers,
        }),
    };
}
