/** Tells ranks that are slow for their hardware from ranks that are hot, and finds the rank that the others wait for. */

/** What one rank reports for one interval. */
export interface RankObservation {
    /** Tokens that the rank's experts got. */
    tokens: number;
    /** Mean time that the rank computed in one step, without waiting for others, in milliseconds. */
    busyMs: number;
    /** Step that the rank enters next. */
    step: number;
}

export const Verdict = { sound: "sound", hot: "hot", slow: "slow", stalled: "stalled" } as const;
export type Verdict = (typeof Verdict)[keyof typeof Verdict];

export interface RankVerdict {
    rank: number;
    verdict: Verdict;
    /** Speed relative to the median rank, from time against tokens. */
    speed: number;
    /** Tokens relative to the mean rank. */
    load: number;
    step: number;
}

export interface StragglerState {
    /** Decayed speed of each rank. */
    speeds: number[];
    /** Steps at the previous observation. */
    steps: number[];
    verdicts: Verdict[];
}

const speedWeight = 0.3;
const slowSpeedThreshold = 0.8;
/** Speed from which a rank that was slow counts as sound again. */
const recoveredSpeedThreshold = 0.9;
const hotLoadThreshold = 1.25;

/** Creates the state of a group in which every rank is sound. */
export function createStragglerState(ranks: number): StragglerState {
    return {
        speeds: new Array<number>(ranks).fill(1),
        steps: new Array<number>(ranks).fill(-1),
        verdicts: new Array<Verdict>(ranks).fill(Verdict.sound),
    };
}

/** Takes in one interval of all ranks and returns the ranks whose verdict has changed. */
export function observeRanks(state: StragglerState, observations: RankObservation[]): RankVerdict[] {
    const meanTokens = observations.reduce((sum, { tokens }) => sum + tokens, 0) / observations.length;
    const throughputs = observations.map(({ tokens, busyMs }) => tokens > 0 && busyMs > 0 ? tokens / busyMs : undefined);
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

/** Speeds for the plan: 1 for every rank that is not slow. */
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
