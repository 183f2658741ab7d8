/** Runs keyed requests: claims the key first, or repeats the answer of the run that has the key here. */
import { RunOutcome } from "../core/types.js";
import { type ClaimKey, ClaimVerdict } from "./claims.js";
import type { ClaimsDriver } from "./driverClaims.js";
import { executeRun, type Pending, type RunContext } from "./execute.js";
import { answerDropped, claimRefusals, dropKey, enterKey, type KeyedRuns } from "./keyedRuns.js";
import type { RunRecord } from "./ledger.js";

export interface KeyedContext {
    keyed: KeyedRuns;
    claims: ClaimsDriver;
    subscribe: (record: RunRecord, listener: () => void) => () => void;
}

/** Runs a request under its key; the upstream sees it only when this process owns the key. */
export async function executeKeyed(context: RunContext, keyedContext: KeyedContext, item: Pending): Promise<void> {
    const entered = enterKey(keyedContext.keyed, item.params, item.record, Date.now());
    if (entered.kind === "refuse") {
        context.emit(item, entered.refusal);
    }
    else if (entered.kind === "follow") {
        await followRun(context, keyedContext, item, entered.record);
    }
    else {
        await claimAndRun(context, keyedContext, item, entered.key);
    }
}

async function claimAndRun(
    context: RunContext,
    { keyed, claims }: KeyedContext,
    item: Pending,
    key: ClaimKey,
): Promise<void> {
    const claimant = context.ledger.incarnation;
    const verdict = await claims.claim({ claimant, key, release: false });
    if (verdict !== ClaimVerdict.won) {
        dropKey(keyed, key);
        context.emit(item, claimRefusals[verdict]);
        return;
    }
    await executeRun(context, item);
    const last = item.record.frames[item.record.frames.length - 1];
    if (last?.kind !== "failed" || last.outcome !== RunOutcome.notRun) {
        return;
    }
    if (await claims.claim({ claimant, key, release: true }) === ClaimVerdict.won) {
        dropKey(keyed, key);
    }
}

/** Copies the answer of `source` as it comes. */
async function followRun(
    context: RunContext,
    { subscribe }: KeyedContext,
    item: Pending,
    source: RunRecord,
): Promise<void> {
    let position = 1;
    let wake: () => void = () => undefined;
    const unsubscribe = subscribe(source, () => wake());
    item.abort.signal.addEventListener("abort", () => wake());
    const deadline = setTimeout(() => item.abort.abort(), item.params.deadlineMs);
    while (!item.abort.signal.aborted) {
        if (position < source.first) {
            const last = source.frames[source.frames.length - 1];
            context.emit(item, last?.kind === "failed" ? last : answerDropped);
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
    if (item.abort.signal.aborted) {
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
