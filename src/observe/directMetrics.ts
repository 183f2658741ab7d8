/**
 * Prometheus metrics of the direct path (entries that send requests straight to upstreams, and their slots), without
 * the default metrics of Node.js, which cost CPU time on small machines.
 */
import { Counter, Gauge, Histogram, Registry } from "prom-client";

export interface DirectEntryMetrics {
    registry: Registry;
    requests: Counter<"outcome">;
    attempts: Counter<"end">;
    unfinishedStreams: Counter<"framing">;
    rateLimitedResponses: Counter<string>;
    rateLimitedUpstreams: Gauge<string>;
    leavingNotices: Counter<string>;
    pauseNotices: Counter<string>;
    refusals: Counter<string>;
    quarantineRejections: Counter<string>;
    upstreamCrashes: Counter<string>;
    quarantinedParts: Gauge<string>;
    retriesRefused: Counter<string>;
    revision: Gauge<string>;
    upstreams: Gauge<string>;
    silentUpstreams: Gauge<string>;
    logEra: Gauge<string>;
    logEraChanges: Counter<string>;
    responseSeconds: Histogram<string>;
    logLinesDropped: Counter<string>;
    logReads: Counter<"topic" | "reason" | "outcome">;
    sendFailures: Counter<"code">;
    faults: Counter<string>;
}

/** Creates the metrics of an entry of the direct path. */
export function createDirectEntryMetrics(): DirectEntryMetrics {
    const registry = new Registry();
    const registers = [registry];
    const createCounter = (name: string, help: string) => new Counter({ name, help, registers });
    const createGauge = (name: string, help: string) => new Gauge({ name, help, registers });
    return {
        registry,
        requests: new Counter({
            name: "beechdock_direct_requests_total",
            help: "Requests by outcome.",
            labelNames: ["outcome"],
            registers,
        }),
        attempts: new Counter({
            name: "beechdock_direct_attempts_total",
            help: "Attempts at upstreams by how they ended.",
            labelNames: ["end"],
            registers,
        }),
        unfinishedStreams: new Counter({
            name: "beechdock_direct_unfinished_streams_total",
            help: "Streams of upstreams that ended inside an event, by framing of the response.",
            labelNames: ["framing"],
            registers,
        }),
        rateLimitedResponses: createCounter(
            "beechdock_direct_rate_limited_responses_total",
            "Responses in which an upstream names a rate limit.",
        ),
        rateLimitedUpstreams: createGauge(
            "beechdock_direct_rate_limited_upstreams",
            "Upstreams with a rate limit in force.",
        ),
        leavingNotices: createCounter(
            "beechdock_direct_leaving_notices_total",
            "Upstreams that have said in a response that they leave.",
        ),
        pauseNotices: createCounter(
            "beechdock_direct_pause_notices_total",
            "Responses in which an upstream asks for a pause that ends later than the one before.",
        ),
        refusals: createCounter("beechdock_direct_refusals_total", "Requests answered as not run."),
        quarantineRejections: createCounter(
            "beechdock_direct_quarantine_rejections_total",
            "Requests answered as not run because their prompt contains quarantined parts.",
        ),
        upstreamCrashes: createCounter(
            "beechdock_direct_upstream_crashes_total",
            "Crashes of upstreams with requests of this entry, counted anew for each further lost request.",
        ),
        quarantinedParts: createGauge("beechdock_quarantined_prompt_parts", "Sets of prompt parts in quarantine."),
        retriesRefused: createCounter(
            "beechdock_direct_repeats_refused_total",
            "Repeats that the retry budget did not admit.",
        ),
        revision: createGauge("beechdock_direct_revision", "Revision of the document in force."),
        upstreams: createGauge("beechdock_direct_upstreams", "Upstreams in the instance list."),
        silentUpstreams: createGauge(
            "beechdock_direct_silent_upstreams",
            "Upstreams that have gone silent while others of their group report.",
        ),
        logEra: createGauge("beechdock_log_era", "How often the log has returned from an older copy, as last seen."),
        logEraChanges: createCounter(
            "beechdock_log_era_changes_total",
            "Returns of the log from an older copy, counted for each topic.",
        ),
        responseSeconds: new Histogram({
            name: "beechdock_direct_answer_seconds",
            help: "Time to the end of an answer.",
            buckets: [0.03, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4],
            registers,
        }),
        logLinesDropped: createCounter("beechdock_log_lines_dropped_total", "Log lines over the rate limit."),
        logReads: createLogReadCounter(registry),
        sendFailures: createSendFailureCounter(registry),
        faults: createFaultCounter(registry),
    };
}

export interface DirectSlotMetrics {
    registry: Registry;
    orders: Counter<"kind" | "outcome">;
    plans: Counter<string>;
    moves: Counter<string>;
    logReads: Counter<"topic" | "reason" | "outcome">;
    sendFailures: Counter<"code">;
    faults: Counter<string>;
}

/** Creates the metrics of a slot of the direct path. */
export function createDirectSlotMetrics(): DirectSlotMetrics {
    const registry = new Registry();
    const registers = [registry];
    return {
        registry,
        orders: new Counter({
            name: "beechdock_rank_orders_total",
            help: "Orders to ranks by kind and outcome.",
            labelNames: ["kind", "outcome"],
            registers,
        }),
        plans: new Counter({ name: "beechdock_map_plans_total", help: "Expert maps planned.", registers }),
        moves: new Counter({ name: "beechdock_map_moves_total", help: "Experts moved by planned maps.", registers }),
        logReads: createLogReadCounter(registry),
        sendFailures: createSendFailureCounter(registry),
        faults: createFaultCounter(registry),
    };
}

function createFaultCounter(registry: Registry): Counter<string> {
    return new Counter({
        name: "beechdock_faults_total",
        help: "Errors in this process that ended one request, message or interval early.",
        registers: [registry],
    });
}

function createLogReadCounter(registry: Registry): Counter<"topic" | "reason" | "outcome"> {
    return new Counter({
        name: "beechdock_log_reads_total",
        help: "Reads of the log by topic, reason and outcome.",
        labelNames: ["topic", "reason", "outcome"],
        registers: [registry],
    });
}

function createSendFailureCounter(registry: Registry): Counter<"code"> {
    return new Counter({
        name: "beechdock_datagram_failures_total",
        help: "Datagrams that could not be sent.",
        labelNames: ["code"],
        registers: [registry],
    });
}
