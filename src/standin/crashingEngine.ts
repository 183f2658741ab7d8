/** Fake engines that crash when they begin to respond to certain prompts, and restart at their address. */
import type { IncomingMessage } from "node:http";
import { type FakeUpstream, generateTokens, startFakeEngine } from "./engine.js";
import type { RequestHandler } from "./http.js";
import { allocateStablePort } from "./stablePort.js";

export interface CrashingEngineOptions {
    /** Whether the engine crashes when it begins to respond to the request. */
    isCrashing: (request: IncomingMessage, body: string) => boolean;
    restartMs: number;
}

/** What happened at the engines; times are in milliseconds of `performance.now()`. */
export interface CrashingEngines {
    engines: FakeUpstream[];
    crashTimes: number[];
    /** Arrivals of requests that crash engines. */
    arrivalTimes: number[];
    /** Keeps crashed engines from being restarted. */
    stop: () => void;
}

/** Time from the arrival of a request to the response or the crash, in milliseconds. */
const responseMs = 20;

/** Starts `count` engines. */
export async function startCrashingEngines(count: number, options: CrashingEngineOptions): Promise<CrashingEngines> {
    const crashTimes: number[] = [];
    const arrivalTimes: number[] = [];
    let isStopped = false;
    const startEngine = async (): Promise<FakeUpstream> => {
        let engine: FakeUpstream;
        const port = await allocateStablePort();
        let isUp = true;
        const restart = async () => {
            engine = await startFakeEngine(port, engineOptions, handlers);
            isUp = true;
        };
        const respond: RequestHandler = async (request, body, response) => {
            const isCrashing = options.isCrashing(request, body);
            if (isCrashing) {
                arrivalTimes.push(performance.now());
            }
            await new Promise(resolve => setTimeout(resolve, responseMs));
            if (isCrashing) {
                // Of two such requests at once only the first one crashes the engine.
                if (isUp) {
                    isUp = false;
                    crashTimes.push(performance.now());
                    engine.close();
                    setTimeout(() => !isStopped && void restart(), options.restartMs);
                }
                return;
            }
            response.writeHead(200, { "content-type": "text/event-stream" });
            const tokens = generateTokens(JSON.parse(body) as Parameters<typeof generateTokens>[0]);
            const events = tokens.map(content => `data: ${JSON.stringify({ choices: [{ delta: { content } }] })}\n\n`);
            response.end(`${events.join("")}data: [DONE]\n\n`);
        };
        const engineOptions = { firstTokenMs: 20, tokenMs: 10 };
        const handlers = { "POST /v1": respond };
        engine = await startFakeEngine(port, engineOptions, handlers);
        const { url, runs, runsByKey } = engine;
        return { url, runs, runsByKey, close: () => engine.close() };
    };
    const engines = await Promise.all(Array.from({ length: count }, startEngine));
    return { engines, crashTimes, arrivalTimes, stop: () => isStopped = true };
}
