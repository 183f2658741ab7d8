/** What bounds the callers of a process: its memory and its descriptors. */
import { Gauge, type Registry } from "prom-client";
import { computeCallerBytes } from "../routing/memoryAccount.js";
import { type CallerMemory, createCallerMemory } from "./callerMemory.js";
import { type ConnectionGuard, createConnectionGuard } from "./connectionGuard.js";
import type { MachineLimits } from "./machineLimits.js";

/** Limits that all servers of a process share. */
export interface CallerLimits {
    memory: CallerMemory;
    guard: ConnectionGuard;
}

/** Where the metrics of the limits are registered, and what their names begin with. */
export interface LimitMetrics {
    registry: Registry;
    prefix: string;
}

/** Creates the limits of a process on a machine; `now` returns milliseconds. */
export function createCallerLimits(
    { memoryBytes, descriptors }: MachineLimits,
    now: () => number,
    metrics?: LimitMetrics,
): CallerLimits {
    const memory = createCallerMemory(computeCallerBytes(memoryBytes), now);
    const limits = { memory, guard: createConnectionGuard(descriptors, memory, now) };
    if (metrics !== undefined) {
        registerMetrics(metrics, limits);
    }
    return limits;
}

function registerMetrics({ registry, prefix }: LimitMetrics, { memory, guard }: CallerLimits): void {
    const gauges: [name: string, help: string, read: () => number][] = [
        ["caller_memory_bytes", "Memory held for callers.", memory.getUsedBytes],
        [
            "evicted_requests",
            "Requests and responses given up for want of memory, since the start.",
            memory.countEvicted,
        ],
        [
            "closed_connections",
            "Callers' connections closed for want of descriptors, since the start.",
            guard.countClosed,
        ],
    ];
    for (const [name, help, read] of gauges) {
        new Gauge({
            name: `${prefix}_${name}`,
            help,
            registers: [registry],
            collect() {
                this.set(read());
            },
        });
    }
}
