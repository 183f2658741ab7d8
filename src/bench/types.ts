/** Interface of a benchmark module. */

export interface BenchOptions {
    seed: number;
    /** Remaining command line options by name, for example `ranks` from `--ranks 16`. */
    flags: Record<string, string | number | boolean | undefined>;
}

export interface BenchModule {
    /** Prints tables of the figures and returns the figures, which are printed as JSON. */
    runBench: (options: BenchOptions) => Promise<object>;
}
