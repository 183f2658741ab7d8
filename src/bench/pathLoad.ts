/** Load generator of the path benchmark: closed-loop clients, and paired calls at a fixed rate. */
import { build, type Histogram } from "hdr-histogram-js";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { Agent, request } from "undici";

export interface Target {
    url: string;
    headers: Record<string, string>;
}

/** Totals of the streams; latencies are in microseconds. */
export interface StreamResult {
    tokens: number;
    streams: number;
    firstTokenLatency: Histogram;
    seconds: number;
}

/** Keeps connections alive between calls. */
const agent = new Agent({ connections: 1024, headersTimeout: 0, bodyTimeout: 0 });
const microsecondsPerMs = 1000;

function createHistogram(): Histogram {
    return build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 });
}

/** Returns a percentile of latencies recorded in microseconds, in milliseconds. */
export function getPercentileMs(histogram: Histogram, percentile: number): number {
    return histogram.getValueAtPercentile(percentile) / microsecondsPerMs;
}

async function measureCall(target: Target, body: string, histogram: Histogram): Promise<void> {
    const startedAt = performance.now();
    const response = await request(target.url, { method: "POST", headers: target.headers, body, dispatcher: agent });
    await response.body.text();
    if (response.statusCode !== 200) {
        throw new Error(`${target.url} responded with status ${response.statusCode}`);
    }
    histogram.recordValue(Math.max(1, Math.round((performance.now() - startedAt) * microsecondsPerMs)));
}

/** Calls both targets alternately, each at `callsPerSecond`; returns the latencies of each in microseconds. */
export async function measurePairedCalls(
    direct: Target,
    proxied: Target,
    callsPerSecond: number,
    seconds: number,
): Promise<[Histogram, Histogram]> {
    const histograms: [Histogram, Histogram] = [createHistogram(), createHistogram()];
    const calls: Promise<void>[] = [];
    const startedAt = performance.now();
    for (let index = 0; index < callsPerSecond * seconds * 2; index++) {
        const due = startedAt + index * 500 / callsPerSecond;
        await sleep(Math.max(0, due - performance.now()));
        calls.push(measureCall(index % 2 === 0 ? direct : proxied, "claim", histograms[index % 2]));
    }
    await Promise.all(calls);
    return histograms;
}

/** Calls a target with `clients` closed-loop clients; throws if a response is not 200. */
export async function measureCalls(target: Target, clients: number, seconds: number) {
    const histogram = createHistogram();
    const startedAt = performance.now();
    const endsAt = startedAt + seconds * 1000;
    await Promise.all(Array.from({ length: clients }, async () => {
        while (performance.now() < endsAt) {
            await measureCall(target, "claim", histogram);
        }
    }));
    return { histogram, calls: histogram.totalCount, seconds: (performance.now() - startedAt) / 1000 };
}

/** Reads streams of `tokens` tokens with `clients` closed-loop clients; throws if a stream is incomplete. */
export async function measureStreams(
    target: Target,
    clients: number,
    tokens: number,
    seconds: number,
): Promise<StreamResult> {
    const result: StreamResult = { tokens: 0, streams: 0, firstTokenLatency: createHistogram(), seconds: 0 };
    const startedAt = performance.now();
    const endsAt = startedAt + seconds * 1000;
    const chat = { model: "assistant", stream: true, max_tokens: tokens, messages: [{ role: "user", content: "p" }] };
    const body = JSON.stringify(chat);
    await Promise.all(Array.from({ length: clients }, async () => {
        while (performance.now() < endsAt) {
            await measureStream(target, body, tokens, result);
        }
    }));
    result.seconds = (performance.now() - startedAt) / 1000;
    return result;
}

async function measureStream(target: Target, body: string, tokens: number, result: StreamResult): Promise<void> {
    const startedAt = performance.now();
    const response = await request(target.url, { method: "POST", headers: target.headers, body, dispatcher: agent });
    let eventCount = 0;
    for await (const chunk of response.body) {
        if (eventCount === 0) {
            result.firstTokenLatency.recordValue(Math.round((performance.now() - startedAt) * microsecondsPerMs));
        }
        eventCount += countEvents(chunk as Buffer);
    }
    if (eventCount !== tokens + 1) {
        throw new Error(`stream of ${tokens} tokens has ${eventCount} events`);
    }
    result.tokens += tokens;
    result.streams += 1;
}

/** Counts the events that end in a chunk; the engine never writes the two newlines that end an event separately. */
function countEvents(chunk: Buffer): number {
    let count = 0;
    for (let at = chunk.indexOf("\n\n"); at >= 0; at = chunk.indexOf("\n\n", at + 2)) {
        count += 1;
    }
    return count;
}
