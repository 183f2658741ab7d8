/** Runs keyed requests: claims the key first, or repeats the answer of the run that has the key here. */
import { RunOutcome } from "../core/types.js";
import { type ClaimKey, ClaimVerdict } from "./claims.js";
import type { ClaimsDriver } from "./driverClaims.js";
import { type ActiveRun, executeRun, type RunContext } from "./execute.js";
import { claimRefusals, droppedResponseRefusal, type KeyedRuns, registerKey, removeKey } from "./keyedRuns.js";
import type { RunRecord } from "./runStore.js";

export interface KeyedRunContext {
    keyedRuns: KeyedRuns;
    claims: ClaimsDriver;
    subscribe: (record: RunRecord, listener: () => void) => () => void;
}

/** Runs a request under its key; the upstream sees it only when this process owns the key. */
export async function executeKeyedRun(
    context: RunContext,
    keyedContext: KeyedRunContext,
    item: ActiveRun,
): Promise<void> {
    const entered = registerKey(keyedContext.keyedRuns, item.params, item.record, Date.now());
    if (entered.kind === "refuse") {
        context.emit(item, entered.refusal);
    }
    else if (entered.kind === "follow") {
        await copyResponse(context, keyedContext, item, entered.record);
    }
    else {
        await claimAndRun(context, keyedContext, item, entered.key);
    }
}

async function claimAndRun(
    context: RunContext,
    { keyedRuns: keyed, claims }: KeyedRunContext,
    item: ActiveRun,
    key: ClaimKey,
): Promise<void> {
    const claimant = context.ledger.incarnation;
    const verdict = await claims.submit({ claimant, key, release: false });
    if (verdict !== ClaimVerdict.won) {
        removeKey(keyed, key);
        context.emit(item, claimRefusals[verdict]);
        return;
    }
    await executeRun(context, item);
    const last = item.record.frames[item.record.frames.length - 1];
    if (last?.kind !== "failed" || last.outcome !== RunOutcome.notRun) {
        return;
    }
    if (await claims.submit({ claimant, key, release: true }) === ClaimVerdict.won) {
        removeKey(keyed, key);
    }
}

/** Copies the answer of `source` as it comes. */
async function copyResponse(
    context: RunContext,
    { subscribe }: KeyedRunContext,
    item: ActiveRun,
    source: RunRecord,
): Promise<void> {
    let position = 1;
    let wake: () => void = () => undefined;
    const unsubscribe = subscribe(source, () => wake());
    item.abortController.signal.addEventListener("abort", () => wake());
    const deadline = setTimeout(() => item.abortController.abort(), item.params.deadlineMs);
    while (!item.abortController.signal.aborted) {
        if (position < source.first) {
            const last = source.frames[source.frames.length - 1];
            context.emit(item, last?.kind === "failed" ? last : droppedResponseRefusal);
            break;
        }
        if (position < source.next) {
            const frame = source.frames[position - source.first];
            context.emit(item, frame);
            position += 1;
            if (frame.kind === "end" || frame.kind === "failed") {
                break;
            }
        }
        else {
            await new Promise<void>(resolve => wake = resolve);
        }
    }
    if (item.abortController.signal.aborted) {
        context.emit(item, {
            kind: "failed",
            outcome: RunOutcome.unknown,
            status: 504,
            title: "The run has not ended",
        });
    }
    clearTimeout(deadline);
    unsubscribe();
}
