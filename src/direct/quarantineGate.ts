/** Decides before each attempt whether the quarantine lets a request go to an upstream. */
import type { ServerResponse } from "node:http";
import type { DirectContext } from "./context.js";
import type { QuarantineVerdict } from "./requestQuarantine.js";
import type { DirectRequest } from "./types.js";

/** Why a request must not be sent: it is quarantined, or suspected for some time. */
export type SendObstacle =
    | { kind: "quarantined"; verdict: QuarantineVerdict; }
    | { kind: "suspected"; deferralMs: number; };

/** Finds why a request must not be sent; undefined if it may be. `hasRun` is whether it may have run before. */
export function findSendObstacle(
    { quarantine }: Pick<DirectContext, "quarantine">,
    request: DirectRequest,
    hasRun: boolean,
): SendObstacle | undefined {
    const verdict = quarantine.find(request);
    if (verdict !== undefined) {
        return { kind: "quarantined", verdict };
    }
    const deferralMs = quarantine.computeDeferralMs(request, hasRun);
    return deferralMs > 0 ? { kind: "suspected", deferralMs } : undefined;
}

/** Responds that a request has not run, because of the obstacle if there is one; returns the outcome for the log. */
export function refuseRequest(
    context: DirectContext,
    request: DirectRequest,
    response: ServerResponse,
    obstacle: SendObstacle | undefined,
): string {
    if (obstacle?.kind !== "quarantined") {
        const retryAfterMs = obstacle?.deferralMs ?? context.computeRetryAfterMs(request);
        context.sendRefusal(response, retryAfterMs);
        const reason = obstacle === undefined ? "" : ", suspected";
        return `refused${reason}, to return in ${Math.round(retryAfterMs)} ms`;
    }
    const { verdict } = obstacle;
    context.sendRejection(response, verdict);
    const parts = `quarantined prompt parts: ${verdict.parts.join(" ")}`;
    return `rejected, ${verdict.parts.length === 0 ? "the request is quarantined" : parts}`;
}
