/** Predicts how long an engine takes for a request, from the document's figures of the engine. */
import type { EngineFigures } from "../config/serving.js";

export interface WorkEstimate {
    promptTokens: number;
    answerTokens: number;
}

/** Estimates the time of one pass with writing requests, in milliseconds. */
export function estimateDecodePassMs(engine: EngineFigures, running: number): number {
    const contextThousands = running * (engine.usualPromptTokens + engine.usualAnswerTokens / 2) / 1000;
    return engine.stride *
        (engine.stepMs + engine.perSequenceMs * running + engine.perContextThousandMs * contextThousands);
}

/** Estimates the time from the start of the prompt to the end of the answer beside `running` requests, in milliseconds. */
export function estimateServiceMs(engine: EngineFigures, work: WorkEstimate, running: number): number {
    const prefillMs = work.promptTokens / engine.readTokensPerSecond * 1000;
    return prefillMs + (work.answerTokens / engine.stride + 1) * estimateDecodePassMs(engine, running);
}
