/**
 * Explores random schedules (sequences of operations) of operators, snapshot writers, readers and truncations of the
 * configuration stream in the log: `npm run explore -- config`. Reports schedules that violate an invariant, for
 * example readers that derive different documents for one revision or different outcomes for one promotion. Runs the
 * production functions of `src/config/fold.ts`, which compute the current configuration from the stream. Not simulated:
 * HTTP, timeouts, gossip.
 */
import { computeDigest } from "../config/digest.js";
import {
    createFoldState,
    createSnapshot,
    decidePromotion,
    foldBatch,
    type FoldState,
    type PromotionOutcome,
    type ReadBatch,
} from "../config/fold.js";
import type { PromoteRecord } from "../config/records.js";
import { createRandom, type Random } from "../core/random.js";
import type { LogRecord } from "../log/types.js";

/**
 * Functions under test: `fold` applies records to a reader's state, `snapshot` creates a snapshot of it, and `decide`
 * determines the outcome of a promotion. Tests pass faulty variants to check that the exploration detects them.
 */
export interface FoldDecisions {
    fold: (state: FoldState, batch: ReadBatch) => FoldState;
    snapshot: typeof createSnapshot;
    decide: typeof decidePromotion;
}

const productionDecisions: FoldDecisions = { fold: foldBatch, snapshot: createSnapshot, decide: decidePromotion };
const environment = "production";
const stepCount = 120;
const readerCount = 6;
const operatorCount = 4;

interface Operator {
    /** State of the operator's reads of the log. */
    reader: FoldState;
    /** Promotion that the operator is appending. */
    promotion: PromoteRecord | undefined;
    /** Remaining appends of the promotion; an operator retries if the response to an append is lost. */
    remainingAppends: number;
}

interface Schedule {
    random: Random;
    decisions: FoldDecisions;
    records: LogRecord[];
    /** Offset of the oldest record that the log retains. */
    oldestOffset: number;
    /** Lowest offset that the next record may get. */
    nextOffset: number;
    readers: FoldState[];
    operators: Operator[];
    /** Snapshots that were created but not appended yet. */
    pendingSnapshots: unknown[];
    promotions: PromoteRecord[];
    /** Promotions in order of their first append. */
    appendedPromotions: PromoteRecord[];
    digestsByRevision: Map<number, string>;
    outcomesById: Map<string, PromotionOutcome>;
    /** First violated invariant. */
    violation: string | undefined;
}

type Step = (schedule: Schedule) => void;

/** Steps that a schedule draws from; those listed several times are more likely. */
const stepChoices: Step[] = [
    readRecords,
    readRecords,
    readRecords,
    createPromotion,
    createPromotion,
    appendPromotion,
    appendPromotion,
    appendPromotion,
    takeSnapshot,
    appendSnapshot,
    restartReader,
    truncateLog,
];

/** Runs the schedule of `seed` and returns the first violated invariant, if any. */
export function runSchedule(seed: number, decisions: FoldDecisions = productionDecisions): string | undefined {
    const schedule = createSchedule(createRandom(seed), decisions);
    for (let step = 0; step < stepCount && schedule.violation === undefined; step++) {
        stepChoices[schedule.random.pickIndex(stepChoices.length)](schedule);
    }
    schedule.operators.forEach(operator => resolvePromotion(schedule, operator));
    schedule.readers.forEach((reader, index) => readToEnd(schedule, reader, index));
    checkAcceptedPromotions(schedule);
    return schedule.violation;
}

/** Runs `runs` schedules with consecutive seeds, starting from `seed`; returns those that violated an invariant. */
export async function exploreSchedules(
    runs: number,
    seed: number,
): Promise<{ runs: number; failures: { seed: number; what: string; }[]; }> {
    const failures: { seed: number; what: string; }[] = [];
    for (let run = 0; run < runs; run++) {
        const violation = runSchedule(seed + run);
        if (violation !== undefined) {
            failures.push({ seed: seed + run, what: violation });
        }
    }
    return { runs, failures };
}

function createSchedule(random: Random, decisions: FoldDecisions): Schedule {
    const createReader = () => createFoldState(environment);
    return {
        random,
        decisions,
        records: [],
        oldestOffset: 0,
        nextOffset: 0,
        readers: Array.from({ length: readerCount }, createReader),
        operators: Array.from(
            { length: operatorCount },
            () => ({ reader: createReader(), promotion: undefined, remainingAppends: 0 }),
        ),
        pendingSnapshots: [],
        promotions: [],
        appendedPromotions: [],
        digestsByRevision: new Map(),
        outcomesById: new Map(),
        violation: undefined,
    };
}

function readBatch(schedule: Schedule, reader: FoldState, limit: number): ReadBatch {
    const records = schedule.records.filter(r => r.offset >= reader.next).slice(0, limit);
    const last = records.at(-1);
    const next = last === undefined ? Math.max(reader.next, schedule.oldestOffset) : last.offset + 1;
    return { records: structuredClone(records), oldest: schedule.oldestOffset, next };
}

function foldNextBatch(schedule: Schedule, reader: FoldState, limit: number): void {
    const revisionBefore = reader.revision;
    schedule.decisions.fold(reader, readBatch(schedule, reader, limit));
    if (reader.revision < revisionBefore) {
        schedule.violation ??= `a reader's revision decreased from ${revisionBefore} to ${reader.revision}`;
    }
    checkReader(schedule, reader);
}

function checkReader(schedule: Schedule, reader: FoldState): void {
    if (reader.revision > 0) {
        const knownDigest = schedule.digestsByRevision.get(reader.revision) ?? reader.digest;
        schedule.digestsByRevision.set(reader.revision, knownDigest);
        if (knownDigest !== reader.digest || computeDigest(reader.document) !== reader.digest) {
            schedule.violation ??= `readers have different documents for revision ${reader.revision}`;
        }
    }
    if (reader.conflicts > 0) {
        schedule.violation ??= "a reader counted a conflict";
    }
    schedule.promotions.forEach(promotion => {
        const outcome = schedule.decisions.decide(reader, promotion);
        const knownOutcome = schedule.outcomesById.get(promotion.id) ?? outcome;
        if (outcome === undefined || knownOutcome === undefined) {
            return;
        }
        schedule.outcomesById.set(promotion.id, knownOutcome);
        if (JSON.stringify(knownOutcome) !== JSON.stringify(outcome)) {
            schedule.violation ??= `readers determined different outcomes for ${promotion.id}`;
        }
    });
}

function appendRecord(schedule: Schedule, id: string, data: unknown): void {
    schedule.nextOffset += schedule.records.length === 0 && schedule.nextOffset === 0 ?
        0 :
        schedule.random.pickIndex(3);
    schedule.records.push({ offset: schedule.nextOffset, id, time: schedule.nextOffset, data });
    schedule.nextOffset += 1;
}

function readRecords(schedule: Schedule): void {
    const reader = schedule.readers[schedule.random.pickIndex(readerCount)];
    foldNextBatch(schedule, reader, 1 + schedule.random.pickIndex(5));
}

function createPromotion(schedule: Schedule): void {
    const { random } = schedule;
    const operator = schedule.operators[random.pickIndex(operatorCount)];
    if (operator.promotion !== undefined) {
        return;
    }
    foldNextBatch(schedule, operator.reader, schedule.records.length + 1);
    const { isComplete, revision: base, digest: baseDigest } = operator.reader;
    if (!isComplete) {
        return;
    }
    const id = `promotion-${schedule.promotions.length + 1}`;
    const document = { name: id };
    const digest = computeDigest(document);
    operator.promotion = { kind: "promote", id, environment, base, baseDigest, author: id, digest, document };
    operator.remainingAppends = 1 + random.pickIndex(3);
    schedule.promotions.push(operator.promotion);
}

function appendPromotion(schedule: Schedule): void {
    const operator = schedule.operators[schedule.random.pickIndex(operatorCount)];
    if (operator.promotion === undefined) {
        return;
    }
    const { promotion } = operator;
    appendRecord(schedule, promotion.id, promotion);
    if (!schedule.appendedPromotions.includes(promotion)) {
        schedule.appendedPromotions.push(promotion);
    }
    operator.remainingAppends -= 1;
    if (operator.remainingAppends === 0) {
        resolvePromotion(schedule, operator);
    }
}

/** Ends the operator's promotion and checks that its outcome is known, unless the operator's history is incomplete. */
function resolvePromotion(schedule: Schedule, operator: Operator): void {
    const { promotion, reader } = operator;
    operator.promotion = undefined;
    foldNextBatch(schedule, reader, schedule.records.length + 1);
    if (promotion === undefined || !reader.isComplete || !schedule.appendedPromotions.includes(promotion)) {
        return;
    }
    if (schedule.decisions.decide(reader, promotion) === undefined) {
        schedule.violation ??= `no outcome for ${promotion.id}`;
    }
}

function takeSnapshot(schedule: Schedule): void {
    const reader = schedule.readers[schedule.random.pickIndex(readerCount)];
    const snapshot = schedule.decisions.snapshot(reader);
    if (snapshot !== undefined) {
        schedule.pendingSnapshots.push(structuredClone(snapshot));
    }
}

function appendSnapshot(schedule: Schedule): void {
    const index = schedule.random.pickIndex(schedule.pendingSnapshots.length);
    if (index < schedule.pendingSnapshots.length) {
        appendRecord(schedule, "snapshot", schedule.pendingSnapshots.splice(index, 1)[0]);
    }
}

function restartReader(schedule: Schedule): void {
    schedule.readers[schedule.random.pickIndex(readerCount)] = createFoldState(environment);
}

function truncateLog(schedule: Schedule): void {
    const droppedCount = schedule.random.pickIndex(Math.min(4, schedule.records.length + 1));
    schedule.records.splice(0, droppedCount);
    schedule.oldestOffset = schedule.records[0]?.offset ?? schedule.nextOffset;
}

function readToEnd(schedule: Schedule, reader: FoldState, index: number): void {
    foldNextBatch(schedule, reader, 1 + index);
    while (schedule.records.some(record => record.offset >= reader.next)) {
        foldNextBatch(schedule, reader, 1 + index);
    }
}

/** Checks that of the promotions with the same base, only the one that was appended first was accepted. */
function checkAcceptedPromotions(schedule: Schedule): void {
    const acceptedByBase = new Map<number, string>();
    schedule.appendedPromotions.forEach(promotion => {
        const acceptedId = acceptedByBase.get(promotion.base) ?? promotion.id;
        acceptedByBase.set(promotion.base, acceptedId);
        const outcome = schedule.outcomesById.get(promotion.id);
        if (outcome !== undefined && outcome.accepted !== (acceptedId === promotion.id)) {
            schedule.violation ??= `${promotion.id} with base ${promotion.base} has the wrong outcome`;
        }
    });
}
