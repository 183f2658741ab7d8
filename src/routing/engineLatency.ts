/** Latency model of an engine, with the parameters that the configuration document gives for it. */
import type { EngineParameters } from "../config/serving.js";

export interface WorkEstimate {
    promptTokens: number;
    outputTokens: number;
}

/** Estimates the time of one decode pass while `running` requests generate tokens, in milliseconds. */
export function estimateDecodePassMs(engine: EngineParameters, running: number): number {
    const contextThousands = running * (engine.typicalPromptTokens + engine.typicalOutputTokens / 2) / 1000;
    return engine.stride *
        (engine.stepMs + engine.perSequenceMs * running + engine.perThousandContextTokensMs * contextThousands);
}

/** Estimates the time from the start of prefill to the end of the response with `running` requests, in milliseconds. */
export function estimateServiceMs(engine: EngineParameters, work: WorkEstimate, running: number): number {
    const prefillMs = work.promptTokens / engine.prefillTokensPerSecond * 1000;
    return prefillMs + (work.outputTokens / engine.stride + 1) * estimateDecodePassMs(engine, running);
}
