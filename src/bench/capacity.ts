/**
 * Measures the slopes on which the estimates in docs/CAPACITY.md are based: processor time, memory and bytes of real
 * processes, and single modules for sizes that one machine cannot run. `--out DIRECTORY` writes the points and plots.
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
    /** Short name, also used in the names of the files. */
    name: string;
    /** Quantity that varies, with its unit. */
    xName: string;
    /** Quantity that is measured, with its unit. */
    yName: string;
    points: Point[];
}

/** Runs the measurements that `--only` selects, all by default, and fits a line to each. */
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
    printTable("Recovery of the log after an outage of one hour", [{ ...herd, curve: herd.curve.join(" ") }]);
    if (typeof options.flags.out === "string") {
        for (const series of fitted) {
            const file = join(options.flags.out, `capacity-${series.name}`);
            writeFileSync(`${file}.json`, `${JSON.stringify(series, undefined, 2)}\n`);
            writeFileSync(`${file}.svg`, renderPlot(series));
        }
    }
    return { measurements: fitted, herd };
}
