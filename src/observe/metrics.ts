/** Prometheus metrics of a process. */
import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from "prom-client";

export interface Metrics {
    registry: Registry;
    requests: Counter<"outcome">;
    retries: Counter<"reason">;
    droppedFrames: Counter<string>;
    resumes: Counter<string>;
    upstreamCrashes: Counter<string>;
    quarantineRejections: Counter<string>;
    controlBytes: Counter<"direction" | "kind">;
    controlMessages: Counter<"kind">;
    revision: Gauge<string>;
    firstByteSeconds: Histogram<string>;
    /** Errors that have ended one request, message or interval. */
    faults: Counter<string>;
}

/** Creates the metrics of a process, including the default metrics of Node.js. */
export function createMetrics(): Metrics {
    const registry = new Registry();
    collectDefaultMetrics({ register: registry, eventLoopMonitoringPrecision: 1000 });
    const registers = [registry];
    return {
        registry,
        requests: new Counter({
            name: "beechdock_requests_total",
            help: "Requests by outcome.",
            labelNames: ["outcome"],
            registers,
        }),
        retries: new Counter({
            name: "beechdock_retries_total",
            help: "Attempts after the first, by reason.",
            labelNames: ["reason"],
            registers,
        }),
        faults: new Counter({
            name: "beechdock_faults_total",
            help: "Errors in this process that have ended one request, message or interval.",
            registers,
        }),
        droppedFrames: new Counter({
            name: "beechdock_dropped_frames_total",
            help: "Frames of abandoned attempts.",
            registers,
        }),
        resumes: new Counter({
            name: "beechdock_resumes_total",
            help: "Answers resumed on a new connection.",
            registers,
        }),
        upstreamCrashes: new Counter({
            name: "beechdock_upstream_crashes_total",
            help: "Crashes of upstreams with requests of this entry, counted anew for each further lost request.",
            registers,
        }),
        quarantineRejections: new Counter({
            name: "beechdock_quarantine_rejections_total",
            help: "Requests answered as not run because their prompt contains quarantined parts.",
            registers,
        }),
        controlBytes: new Counter({
            name: "beechdock_control_bytes_total",
            help: "Bytes of control traffic.",
            labelNames: ["direction", "kind"],
            registers,
        }),
        controlMessages: new Counter({
            name: "beechdock_control_messages_total",
            help: "Control messages sent or answered.",
            labelNames: ["kind"],
            registers,
        }),
        revision: new Gauge({ name: "beechdock_config_revision", help: "Configuration revision in force.", registers }),
        firstByteSeconds: new Histogram({
            name: "beechdock_first_byte_seconds",
            help: "Time to the first byte of an answer.",
            buckets: [0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 0.49, 1, 3, 10],
            registers,
        }),
    };
}
