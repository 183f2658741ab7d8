/** Shape of a bench. */

export interface BenchOptions {
    seed: number;
    /** Remaining options by name, for example `ranks` from `--ranks 16`. */
    flags: Record<string, string | number | boolean | undefined>;
}

export interface BenchModule {
    /** Prints a table for people and returns the figures. */
    runBench: (options: BenchOptions) => Promise<object>;
}
