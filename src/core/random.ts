/** Seeded pseudo-random numbers; the same seed gives the same sequence on every machine. */
import { unsafeUniformIntDistribution } from "pure-rand/distribution/UnsafeUniformIntDistribution";
import { xoroshiro128plus } from "pure-rand/generator/XoroShiro";

export interface Random {
    /** Returns a number in [0, 1). */
    next: () => number;
    /** Returns an integer from 0 to `limit` - 1. */
    pickIndex: (limit: number) => number;
    /** Returns an exponentially distributed number with the given mean. */
    sampleExponential: (mean: number) => number;
}

const resolution = 2 ** 31;

/** Creates a generator from a seed. */
export function createRandom(seed: number): Random {
    const generator = xoroshiro128plus(seed);
    const next = () => unsafeUniformIntDistribution(0, resolution - 1, generator) / resolution;
    return {
        next,
        pickIndex: limit => Math.floor(next() * limit),
        sampleExponential: mean => -mean * Math.log(1 - next()),
    };
}
