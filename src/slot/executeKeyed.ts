/** Runs requests with an idempotency key: claims the key or replays the response of this slot's earlier run. */
import { RunOutcome } from "../core/types.js";
import { type ClaimKey, ClaimVerdict } from "./claims.js";
import type { ClaimsDriver } from "./driverClaims.js";
import { type ActiveRun, executeRun, type RunContext, waitForBufferSpace } from "./execute.js";
import { claimRefusals, droppedResponseRefusal, type KeyedRuns, registerKey, removeKey } from "./keyedRuns.js";
import type { RunRecord } from "./runStore.js";

/** Dependencies of runs with an idempotency key. */
export interface KeyedRunContext {
    keyedRuns: KeyedRuns;
    claims: ClaimsDriver;
    /** Calls `listener` after each new frame of a record until the returned function is called. */
    subscribe: (record: RunRecord, listener: () => void) => () => void;
}

/** Runs a request with an idempotency key; it is sent to the upstream only if this process owns the key. */
export async function executeKeyedRun(
    context: RunContext,
    keyedContext: KeyedRunContext,
    run: ActiveRun,
): Promise<void> {
    const registered = registerKey(keyedContext.keyedRuns, run.params, run.record, Date.now());
    if (registered.kind === "refuse") {
        context.emit(run, registered.refusal);
    }
    else if (registered.kind === "follow") {
        await copyResponse(context, keyedContext, run, registered.record);
    }
    else {
        await claimAndRun(context, keyedContext, run, registered.key);
    }
}

async function claimAndRun(
    context: RunContext,
    { keyedRuns, claims }: KeyedRunContext,
    run: ActiveRun,
    key: ClaimKey,
): Promise<void> {
    const claimant = context.store.incarnation;
    const verdict = await claims.submit({ claimant, key, release: false });
    if (verdict !== ClaimVerdict.won) {
        removeKey(keyedRuns, key);
        context.emit(run, claimRefusals[verdict]);
        return;
    }
    await executeRun(context, run);
    const last = run.record.frames[run.record.frames.length - 1];
    if (last?.kind !== "failed" || last.outcome !== RunOutcome.notRun) {
        return;
    }
    if (await claims.submit({ claimant, key, release: true }) === ClaimVerdict.won) {
        removeKey(keyedRuns, key);
    }
}

/** Copies the response of `source` to a run as it is recorded, from the first frame after `accepted`. */
async function copyResponse(
    context: RunContext,
    { subscribe }: KeyedRunContext,
    run: ActiveRun,
    source: RunRecord,
): Promise<void> {
    let position = 1;
    let wake: () => void = () => undefined;
    const unsubscribe = subscribe(source, () => wake());
    run.abortController.signal.addEventListener("abort", () => wake());
    const deadlineTimer = setTimeout(() => run.abortController.abort(), run.params.deadlineMs);
    while (!run.abortController.signal.aborted) {
        if (position < source.first) {
            const last = source.frames[source.frames.length - 1];
            context.emit(run, last?.kind === "failed" ? last : droppedResponseRefusal);
            break;
        }
        if (position < source.next) {
            const frame = source.frames[position - source.first];
            context.emit(run, frame);
            position += 1;
            if (frame.kind === "end" || frame.kind === "failed") {
                break;
            }
            await waitForBufferSpace(context, run);
        }
        else {
            await new Promise<void>(resolve => wake = resolve);
        }
    }
    if (run.abortController.signal.aborted) {
        context.emit(run, {
            kind: "failed",
            outcome: RunOutcome.unknown,
            status: 504,
            title: "The run has not ended",
        });
    }
    clearTimeout(deadlineTimer);
    unsubscribe();
}
