/** Predicts how long an engine takes for a request, from the document's figures of the engine. */
import type { EngineParameters } from "../config/serving.js";

export interface WorkEstimate {
    promptTokens: number;
    answerTokens: number;
}

/** Estimates the time of one pass with writing requests, in milliseconds. */
export function estimateDecodePassMs(engine: EngineParameters, running: number): number {
    const contextThousands = running * (engine.typicalPromptTokens + engine.typicalOutputTokens / 2) / 1000;
    return engine.stride *
        (engine.stepMs + engine.perSequenceMs * running + engine.perThousandContextTokensMs * contextThousands);
}

/** Estimates the time from the start of the prompt to the end of the answer beside `running` requests, in milliseconds. */
export function estimateServiceMs(engine: EngineParameters, work: WorkEstimate, running: number): number {
    const prefillMs = work.promptTokens / engine.prefillTokensPerSecond * 1000;
    return prefillMs + (work.answerTokens / engine.stride + 1) * estimateDecodePassMs(engine, running);
}
