/** Latency model of an engine, with the parameters that the configuration document gives for it. */
import type { EngineFigures } from "../config/serving.js";

export interface WorkEstimate {
    promptTokens: number;
    answerTokens: number;
}

/** Estimates the time of one decode pass while `running` requests generate tokens, in milliseconds. */
export function estimateDecodePassMs(engine: EngineFigures, running: number): number {
    const contextThousands = running * (engine.usualPromptTokens + engine.usualAnswerTokens / 2) / 1000;
    return engine.stride *
        (engine.stepMs + engine.perSequenceMs * running + engine.perContextThousandMs * contextThousands);
}

/** Estimates the time from the start of prefill to the end of the answer with `running` requests, in milliseconds. */
export function estimateServiceMs(engine: EngineFigures, work: WorkEstimate, running: number): number {
    const prefillMs = work.promptTokens / engine.readTokensPerSecond * 1000;
    return prefillMs + (work.answerTokens / engine.stride + 1) * estimateDecodePassMs(engine, running);
}
