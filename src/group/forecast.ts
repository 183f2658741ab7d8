/** Forecast of the tokens of each expert from the counts of past intervals. */

export interface ForecastState {
    /** Decayed level of each expert's share of the layer's tokens. */
    level: Float64Array;
    /** Decayed change per interval. */
    trend: Float64Array;
    /** Decayed absolute error of the forecasts. */
    error: Float64Array;
    intervals: number;
}

const levelWeight = 0.95;
const trendWeight = 0.25;
const trendDecay = 0.1;
const errorWeight = 0.1;

/** Creates a forecast that has seen nothing. */
export function createForecast(experts: number): ForecastState {
    return {
        level: new Float64Array(experts),
        trend: new Float64Array(experts),
        error: new Float64Array(experts),
        intervals: 0,
    };
}

/** Takes in the counts of one interval. */
export function observeCounts(state: ForecastState, counts: ArrayLike<number>): void {
    const total = Math.max(1, sumValues(counts));
    const shares = Float64Array.from(counts, count => count / total);
    if (state.intervals === 0) {
        state.level.set(shares);
    }
    for (let expert = 0; expert < shares.length; expert++) {
        const predicted = state.level[expert] + state.trend[expert];
        const residual = shares[expert] - predicted;
        state.level[expert] = predicted + levelWeight * residual;
        state.trend[expert] += trendWeight * levelWeight * residual - trendDecay * state.trend[expert];
        state.error[expert] += errorWeight * (Math.abs(residual) - state.error[expert]);
    }
    state.intervals += 1;
}

/** Forecasts the shares of the next interval; `caution` adds that multiple of the usual error. */
export function forecastShares(state: ForecastState, errorMultiple: number): Float64Array {
    const shares = new Float64Array(state.level.length);
    for (let expert = 0; expert < shares.length; expert++) {
        const predicted = state.level[expert] + state.trend[expert];
        shares[expert] = Math.max(0, predicted) + errorMultiple * state.error[expert];
    }
    return shares;
}

function sumValues(counts: ArrayLike<number>): number {
    let total = 0;
    for (let index = 0; index < counts.length; index++) {
        total += counts[index];
    }
    return total;
}
