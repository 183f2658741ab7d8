/** Metrics that only slots have. */
import { Counter, Gauge, type Registry } from "prom-client";
import type { RunStore } from "./runStore.js";

export interface SlotMetrics {
    claims: Counter<"verdict">;
    upstreamTimeouts: Counter<string>;
}

/** Registers the metrics of a slot; sizes are read when metrics are. */
export function createSlotMetrics(registry: Registry, ledger: RunStore): SlotMetrics {
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
    addGauge("beechdock_answer_buffer_bytes", "Bytes of buffered answers.", () => ledger.bufferedBytes);
    addGauge("beechdock_run_records", "Run records, tombstones included.", () => ledger.records.size);
    return {
        claims: new Counter({
            name: "beechdock_claims_total",
            help: "Claims of idempotency keys by verdict.",
            labelNames: ["verdict"],
            registers,
        }),
        upstreamTimeouts: new Counter({
            name: "beechdock_upstream_silences_total",
            help: "Upstream connections given up for silence.",
            registers,
        }),
    };
}
