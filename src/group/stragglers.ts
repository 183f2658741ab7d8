/** Detects stragglers: tells slow ranks from overloaded ones, and finds the rank that the others wait for. */

/** Measurements of one rank in one interval. */
export interface RankObservation {
    /** Tokens that the rank's experts processed. */
    tokens: number;
    /** Mean time per step that the rank spent computing, without waiting for other ranks, in milliseconds. */
    busyMs: number;
    /** Step that the rank enters next. */
    step: number;
}

export const Verdict = {
    sound: "sound",
    /** Gets many more tokens than the mean rank. */
    hot: "hot",
    /** Needs much more time per token than the median rank. */
    slow: "slow",
    /** Makes no progress while ranks that are ahead wait for it. */
    stalled: "stalled",
} as const;
export type Verdict = (typeof Verdict)[keyof typeof Verdict];

export interface RankVerdict {
    rank: number;
    verdict: Verdict;
    /** Smoothed tokens per computing time, relative to the median rank. */
    speed: number;
    /** Tokens relative to the mean of the ranks. */
    load: number;
    step: number;
}

export interface StragglerState {
    /** Smoothed speed of each rank, relative to the median. */
    speeds: number[];
    /** Step of each rank at the previous observation; -1 before the first one. */
    steps: number[];
    verdicts: Verdict[];
}

const speedWeight = 0.3;
const slowSpeedThreshold = 0.8;
/** Speed at which a slow rank counts as recovered; above `slowSpeedThreshold` for hysteresis. */
const recoveredSpeedThreshold = 0.9;
/** Multiple of the mean load above which a rank is hot. */
const hotLoadThreshold = 1.25;

/** Creates the state of a group in which no rank is hot, slow or stalled. */
export function createStragglerState(ranks: number): StragglerState {
    return {
        speeds: new Array<number>(ranks).fill(1),
        steps: new Array<number>(ranks).fill(-1),
        verdicts: new Array<Verdict>(ranks).fill(Verdict.sound),
    };
}

/** Updates the state with one interval of all ranks; returns the ranks whose verdict has changed. */
export function observeRanks(state: StragglerState, observations: RankObservation[]): RankVerdict[] {
    const meanTokens = observations.reduce((sum, { tokens }) => sum + tokens, 0) / observations.length;
    const throughputs = observations.map(({ tokens, busyMs }) =>
        tokens > 0 && busyMs > 0 ? tokens / busyMs : undefined
    );
    const medianThroughput = computeMedian(throughputs.filter(rate => rate !== undefined));
    const lowestStep = Math.min(...observations.map(({ step }) => step));
    const hasNoProgress = observations.every(({ step }, rank) => step === state.steps[rank]);
    const changes: RankVerdict[] = [];
    observations.forEach(({ tokens, step }, rank) => {
        const throughput = throughputs[rank];
        if (throughput !== undefined && medianThroughput > 0) {
            state.speeds[rank] += speedWeight * (throughput / medianThroughput - state.speeds[rank]);
        }
        const load = meanTokens === 0 ? 1 : tokens / meanTokens;
        const isBlocking = hasNoProgress && step === lowestStep && observations.some(other => other.step > step);
        const verdict = decideVerdict(state.verdicts[rank], state.speeds[rank], load, isBlocking);
        if (verdict !== state.verdicts[rank]) {
            changes.push({ rank, verdict, speed: state.speeds[rank], load, step });
        }
        state.verdicts[rank] = verdict;
        state.steps[rank] = step;
    });
    return changes;
}

/** Returns the speeds for planning; 1 for every rank that is not slow. */
export function getPlanSpeeds(state: StragglerState): number[] {
    return state.speeds.map((speed, rank) => state.verdicts[rank] === Verdict.slow ? Math.max(0.1, speed) : 1);
}

function decideVerdict(previous: Verdict, speed: number, load: number, isBlocking: boolean): Verdict {
    if (isBlocking) {
        return Verdict.stalled;
    }
    if (speed < (previous === Verdict.slow ? recoveredSpeedThreshold : slowSpeedThreshold)) {
        return Verdict.slow;
    }
    return load > hotLoadThreshold ? Verdict.hot : Verdict.sound;
}

function computeMedian(values: number[]): number {
    const sorted = [...values].sort((a, b) => a - b);
    return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
