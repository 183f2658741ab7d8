/**
 * Measures the slopes that docs/CAPACITY.md is worked out from: real processes for processor time, memory and bytes,
 * decision modules alone for what cannot be run here at size. Writes raw points and plots with `--out DIRECTORY`.
 */
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { simulateThunderingHerd } from "./capacityHerd.js";
import { measureModules } from "./capacityModules.js";
import { measureProcesses } from "./capacityProcesses.js";
import { fitLine, type Point } from "./fit.js";
import { renderPlot } from "./plot.js";
import { printTable } from "./table.js";
import type { BenchOptions } from "./types.js";

export interface Measurement {
    /** Short name, also of the files. */
    name: string;
    /** What grows, with its unit. */
    xName: string;
    /** What is measured, with its unit. */
    yName: string;
    points: Point[];
}

/** Runs all measurements and fits a line to each. */
export async function runBench(options: BenchOptions): Promise<object> {
    const only = options.flags.only;
    const measurements = [
        ...only === "processes" ? [] : measureModules(options.seed),
        ...only === "modules" ? [] : await measureProcesses(),
    ];
    const herd = simulateThunderingHerd(options.seed);
    const fitted = measurements.map(measurement => ({ ...measurement, fit: fitLine(measurement.points) }));
    printTable(
        "Slopes",
        fitted.map(({ name, xName, yName, points, fit }) => ({
            measurement: name,
            "y per x": `${yName} per ${xName}`,
            slope: fit.slope,
            "± error": fit.slopeError,
            "at zero": fit.intercept,
            r2: fit.r2,
            points: points.length,
        })),
    );
    printTable("Return of the log after an hour", [{ ...herd, curve: herd.curve.join(" ") }]);
    if (typeof options.flags.out === "string") {
        for (const series of fitted) {
            const file = join(options.flags.out, `capacity-${series.name}`);
            writeFileSync(`${file}.json`, `${JSON.stringify(series, undefined, 2)}\n`);
            writeFileSync(`${file}.svg`, renderPlot(series));
        }
    }
    return { measurements: fitted, herd };
}
