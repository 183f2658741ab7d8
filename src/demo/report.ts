/** Summarizes the results that the callers of the demo received. */
import type { CallResult } from "../standin/caller.js";
import type { FakeUpstream } from "../standin/engine.js";

export interface Summary {
    /** Whether all checks of the demo passed. */
    ok: boolean;
    /** Counts and latencies by name; the demo prints them as JSON. */
    figures: Record<string, number>;
}

/**
 * Counts requests by outcome. `ok` requires at least one correct response, and that no response was wrong, no claim ran
 * twice, no request reported as not run was run, and no request ended without a response.
 */
export function summarize(results: CallResult[], upstreams: FakeUpstream[]): Summary {
    const count = (accept: (result: CallResult) => boolean) => results.filter(accept).length;
    const runs = new Map<string, number>();
    upstreams.flatMap(upstream => [...upstream.runs]).forEach(([id, n]) => runs.set(id, (runs.get(id) ?? 0) + n));
    const firstTokens = results.flatMap(r => r.isCorrect && r.firstTokenMs !== undefined ? [r.firstTokenMs] : []).sort((
        a,
        b,
    ) => a - b);
    const figures = {
        requests: results.length,
        whole: count(r => r.isCorrect),
        wrong: count(r => r.isMismatched),
        twice: count(r => r.text.includes("claim") && (runs.get(r.requestId) ?? 0) > 1),
        notRun: count(r => r.outcome === "not-run"),
        notRunButRan: count(r => r.outcome === "not-run" && runs.has(r.requestId)),
        unknown: count(r => r.outcome === "unknown"),
        broken: count(r => !r.isCorrect && r.status === 200),
        lost: count(r => r.status === 0),
        firstTokenP50Ms: computeQuantile(firstTokens, 0.5),
        firstTokenP95Ms: computeQuantile(firstTokens, 0.95),
    };
    const ok = figures.wrong + figures.twice + figures.notRunButRan + figures.lost === 0 && figures.whole > 0;
    return { ok, figures };
}

/** Prints the summary as a table. */
export function printSummary(summary: Summary): void {
    const { figures } = summary;
    const rows: [string, number][] = [
        ["requests", figures.requests],
        ["answered whole", figures.whole],
        ["refused, not run", figures.notRun],
        ["unknown", figures.unknown],
        ["broken off visibly", figures.broken],
        ["wrong answers", figures.wrong],
        ["run twice", figures.twice],
        ["lost", figures.lost],
        ["first token p50, ms", figures.firstTokenP50Ms],
        ["first token p95, ms", figures.firstTokenP95Ms],
        ["map switches", figures.mapSwitches],
        ["steps on mixed maps", figures.mixedSteps],
        ["group steps", figures.groupSteps],
        ["skew of rank loads", figures.skew],
    ];
    rows.forEach(([name, value]) => process.stdout.write(`  ${name.padEnd(22)}${value}\n`));
}

function computeQuantile(sorted: number[], quantile: number): number {
    return Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0);
}
