/**
 * Quarantine of requests, and of prompt parts that requests share, that crash upstreams. Entries share reports of crashes, each with the requests that were
 * lost with the upstream, and derive the quarantine from them: the same reports give the same result everywhere, and no
 * entry has to see several crashes itself.
 */
import { z } from "zod/mini";
import {
    collectSuspects,
    computeDeferralMs,
    hasCommonSuspect,
    isCondemned,
    type RequestAnswers,
    type SuspectRequest,
} from "./requestSuspicion.js";

const LostRequestSchema = z.object({
    id: z.string(),
    /** Digest of the whole request; see `computeRequestDigest`. Missing in reports of earlier versions. */
    digest: z.optional(z.string()),
    /** Parts of the prompt that other requests may share. */
    parts: z.array(z.string()),
    /** Last part of the prompt, which belongs to the request or its session. */
    ownPart: z.string(),
    /** Latest crashes that the reporter knew of when it sent the request; incarnations of upstreams. */
    knownCrashes: z.array(z.string()),
});
/** Request that was lost with its upstream before its response had shown the prompt to be harmless. */
export type LostRequest = z.infer<typeof LostRequestSchema>;

const CrashReportSchema = z.object({
    kind: z.literal("crash"),
    /** Incarnation of the upstream that crashed; see `formatIncarnation`. */
    upstream: z.string(),
    requests: z.array(LostRequestSchema),
    /** Parts of these requests that the reporter has seen answered before. */
    answeredParts: z.array(z.string()),
    /** Digests of these requests that the reporter has seen answered before; missing in reports of earlier versions. */
    answeredDigests: z.optional(z.array(z.string())),
    /** Whether the reporter has seen so many responses that a part missing in `answeredParts` is unusual. */
    isExperienced: z.boolean(),
});
/** Crash of an upstream as one entry saw it. */
export type CrashReport = z.infer<typeof CrashReportSchema>;

const RecordSchema = z.discriminatedUnion("kind", [
    CrashReportSchema,
    /** An upstream responded to a request with this part, or this request, after the crashes in earlier records. */
    z.object({ kind: z.literal("answered"), part: z.string(), request: z.string() }),
    /** An entry that has lost no such request itself has seen one answered before. */
    z.object({ kind: z.literal("answered-before"), digest: z.string() }),
    /** The incarnation responded although it was reported as crashed. */
    z.object({ kind: z.literal("alive"), upstream: z.string(), request: z.string() }),
]);
export type QuarantineRecord = z.infer<typeof RecordSchema>;

/** Record of the shared log; a record without a value deletes its key. */
export interface KeyedRecord {
    key: string;
    offset: number;
    value?: string;
}

interface KnownRecord {
    content: QuarantineRecord;
    /** Infinity until the log has accepted the record. */
    offset: number;
    /** Time at which this process learned of the first record of its key, in milliseconds. */
    learnedAt: number;
}

/** Parts that together crash upstreams: requests that contain all of them are rejected. */
export interface QuarantinedParts {
    parts: string[];
    /** Incarnations that crashed. */
    upstreams: string[];
    /** Requests that were lost with them. */
    requests: string[];
}

/** Request that crashes upstreams. */
export interface QuarantinedRequest {
    digest: string;
    /** Incarnations that crashed. */
    upstreams: string[];
}

export interface QuarantineState {
    records: Map<string, KnownRecord>;
    /** Incarnations that crashed last, at most `maxKnownCrashes`. */
    latestCrashes: string[];
    quarantined: QuarantinedParts[];
    quarantinedRequests: QuarantinedRequest[];
    /** Requests that were lost with upstreams since they were last answered, by their digests. */
    suspects: Map<string, SuspectRequest>;
}

/** Evidence that condemns a part; `rounds` is 1 if the upstreams may have crashed at once, for a common cause. */
interface RequiredEvidence {
    crashes: number;
    /** Number of crashes in a row of which each was known when a request was sent that crashed the next upstream. */
    rounds: number;
}

const requiredEvidence = {
    /** For a part that no reporter has seen answered, though reporters know the usual parts. */
    unusual: { crashes: 3, rounds: 1 },
    /** For a part that no reporter has seen answered. */
    unanswered: { crashes: 3, rounds: 2 },
    /** For a part of all lost requests of which no reporter has seen any part answered. */
    unknown: { crashes: 5, rounds: 3 },
    /** For a part that was answered before and is in a minority of the lost requests of each crash. */
    answeredRare: { crashes: 4, rounds: 2 },
    /** For another part that was answered before. */
    answered: { crashes: 8, rounds: 3 },
} satisfies Record<string, RequiredEvidence>;
/** Weight of a crash under a part that was never answered, relative to one under a part that was. */
const neverAnsweredWeight = 1.5;
/** Factor by which a part is in fewer lost requests than others that are in as many crashes, to be blamed for them. */
const minRarityFactor = 2;
/** Maximum number of records that are kept, by kind. */
const maxRecords: Record<QuarantineRecord["kind"], number> = {
    crash: 256,
    answered: 256,
    "answered-before": 256,
    alive: 64,
};
/** Maximum number of requests in one report, and of quarantined sets of parts. */
export const maxReportedRequests = 16;
const maxQuarantined = 32;
/** Maximum number of latest crashes that a report names as known. */
const maxKnownCrashes = 8;
/** Number of crashes with a part from which it is worth telling the other entries that the part was answered. */
const minSuspectCrashes = 2;

/** Creates a state without records. */
export function createQuarantine(): QuarantineState {
    return { records: new Map(), latestCrashes: [], quarantined: [], quarantinedRequests: [], suspects: new Map() };
}

/** Formats an incarnation of an upstream: its id and, as it may restart under the same id, its start time. */
export function formatIncarnation({ id, startedAt }: { id: string; startedAt?: number; }): string {
    return `${id}@${startedAt ?? 0}`;
}

/** Returns the key of a record; a later record of the same key replaces it. */
export function getRecordKey(record: QuarantineRecord, reporter: string): string {
    const keys: Record<QuarantineRecord["kind"], () => string> = {
        crash: () => `crash/${(record as CrashReport).upstream}/${reporter}`,
        answered: () => `answered/${(record as { part: string; }).part}`,
        "answered-before": () => `answered-before/${(record as { digest: string; }).digest}`,
        alive: () => `alive/${(record as { upstream: string; }).upstream}`,
    };
    return keys[record.kind]();
}

/** Whether records with the key report crashes. */
export function isCrashKey(key: string): boolean {
    return key.startsWith("crash/");
}

/** Decodes the value of a record; undefined if it is not valid. */
export function decodeQuarantineRecord(value: string): QuarantineRecord | undefined {
    try {
        const result = RecordSchema.safeParse(JSON.parse(value));
        return result.success ? result.data : undefined;
    }
    catch {
        // Other writers may use the topic; what is not JSON is ignored.
        return undefined;
    }
}

/**
 * Applies records of the log, or records that it has not accepted yet (offset Infinity). Returns the keys of old records
 * that are no longer needed.
 */
export function applyQuarantineRecords(state: QuarantineState, records: KeyedRecord[], now: number): string[] {
    for (const { key, offset, value } of records) {
        const known = state.records.get(key);
        const isOutdated = known !== undefined && Number.isFinite(known.offset) && known.offset >= offset;
        const content = value === undefined ? undefined : decodeQuarantineRecord(value);
        if (isOutdated || (known !== undefined && offset === Infinity && Number.isFinite(known.offset))) {
            continue;
        }
        if (content === undefined) {
            state.records.delete(key);
        }
        else {
            state.records.set(key, { content, offset, learnedAt: known?.learnedAt ?? now });
        }
    }
    const crashes = collectCrashes(state);
    state.latestCrashes = crashes.slice(-maxKnownCrashes).map(({ upstream }) => upstream);
    state.suspects = collectSuspects(crashes, createRequestAnswers(state));
    const condemned = [...state.suspects.values()].filter(suspect => isCondemned(suspect, state.suspects));
    state.quarantinedRequests = condemned.slice(-maxQuarantined).map(suspect => ({
        digest: suspect.digest,
        upstreams: suspect.crashes.map(({ upstream }) => upstream),
    }));
    const explained = new Set(condemned.flatMap(suspect => suspect.crashes));
    state.quarantined = findQuarantined(state, crashes.filter(crash => !explained.has(crash)));
    return dropOldRecords(state);
}

/** Returns the name under which records tell of an answer to a whole request. */
export function formatRequestPart(digest: string): string {
    return `request:${digest}`;
}

/** Finds the quarantined request with the digest; undefined if there is none. */
export function findQuarantinedRequest(state: QuarantineState, digest: string): QuarantinedRequest | undefined {
    return state.quarantinedRequests.find(known => known.digest === digest);
}

/** Computes for how long a request must not be sent because it is suspected, in milliseconds; see `computeDeferralMs`. */
export function computeRequestDeferralMs(
    { suspects }: QuarantineState,
    digest: string,
    hasRun: boolean,
    now: number,
): number {
    const suspect = suspects.get(digest);
    return suspect === undefined ? 0 : computeDeferralMs(suspect, hasRun, now);
}

/** Whether the other entries should be told that a request was answered; see `isAnswerTelling`. */
export function isRequestAnswerTelling({ suspects }: QuarantineState, digest: string, beganAt: number): boolean {
    return suspects.get(digest)?.crashes.every(({ learnedAt }) => learnedAt < beganAt) === true;
}

function createRequestAnswers(state: QuarantineState): RequestAnswers {
    const reported = new Set(
        [...state.records.values()].flatMap(({ content }) =>
            content.kind === "crash" ? content.answeredDigests ?? [] : []
        ),
    );
    return {
        wasAnswered: digest =>
            reported.has(digest) || state.records.has(`answered-before/${digest}`) ||
            state.records.has(`answered/${formatRequestPart(digest)}`),
        getAnsweredOffset: digest => getAnsweredOffset(state, formatRequestPart(digest)),
    };
}

/** Finds the quarantined parts that a prompt contains; undefined if the request may be sent. */
export function findQuarantinedParts({ quarantined }: QuarantineState, parts: string[]): QuarantinedParts | undefined {
    return quarantined.find(entry => entry.parts.every(part => parts.includes(part)));
}

/**
 * Whether the other entries should be told that a part was answered: it is suspected, and the response began at `beganAt`,
 * after this process had learned of the last crash.
 */
export function isAnswerTelling(state: QuarantineState, part: string, beganAt: number): boolean {
    const crashes = collectCrashes(state).filter(crash => crash.requests.some(({ parts }) => parts.includes(part)));
    const suspicious = crashes.filter(({ offset }) => offset > getAnsweredOffset(state, part));
    return suspicious.length >= minSuspectCrashes && suspicious.every(({ learnedAt }) => learnedAt < beganAt);
}

/**
 * Whether an incarnation is reported as crashed although a response to a request sent at `sentAt`, before the report,
 * still arrives at `now`.
 */
export function isWronglyReported(state: QuarantineState, upstream: string, sentAt: number, now: number): boolean {
    const crash = collectCrashes(state).find(known => known.upstream === upstream);
    return crash !== undefined && sentAt < crash.learnedAt && crash.learnedAt < now;
}

/** Crash of an upstream as all its reporters saw it. */
export interface Crash {
    upstream: string;
    requests: (LostRequest & { isReporterExperienced: boolean; })[];
    /** Offset of the first report. */
    offset: number;
    /** Time at which this process learned of the first report, in milliseconds. */
    learnedAt: number;
}

/** Merges the reports of each crash, in the order of the log. */
function collectCrashes({ records }: QuarantineState): Crash[] {
    const crashes = new Map<string, Crash>();
    for (const { content, offset, learnedAt } of records.values()) {
        if (content.kind === "crash" && !records.has(`alive/${content.upstream}`)) {
            const known = crashes.get(content.upstream);
            const { isExperienced: isReporterExperienced } = content;
            crashes.set(content.upstream, {
                upstream: content.upstream,
                requests: [
                    ...known?.requests ?? [],
                    ...content.requests.map(request => ({ ...request, isReporterExperienced })),
                ],
                offset: Math.min(known?.offset ?? Infinity, offset),
                learnedAt: Math.min(known?.learnedAt ?? Infinity, learnedAt),
            });
        }
    }
    return [...crashes.values()].sort((a, b) => a.offset - b.offset);
}

function getAnsweredOffset({ records }: QuarantineState, part: string): number {
    return records.get(`answered/${part}`)?.offset ?? -1;
}

/** Collects the parts that any reporter has seen answered. */
function collectAnsweredParts({ records }: QuarantineState): Set<string> {
    const parts = new Set<string>();
    for (const { content } of records.values()) {
        if (content.kind === "crash") {
            content.answeredParts.forEach(part => parts.add(part));
        }
        else if (content.kind === "answered") {
            parts.add(content.part);
        }
    }
    return parts;
}

interface Evidence {
    part: string;
    crashes: Crash[];
    requests: Crash["requests"];
    wasAnswered: boolean;
}

/** Finds the parts that explain the crashes which no quarantined request explains. */
function findQuarantined(state: QuarantineState, crashes: Crash[]): QuarantinedParts[] {
    const answeredParts = collectAnsweredParts(state);
    const quarantined: QuarantinedParts[] = [];
    let unexplained = crashes;
    while (quarantined.length < maxQuarantined) {
        const evidence = collectEvidence(state, unexplained, answeredParts);
        const strongest = findStrongest(
            evidence.filter(known =>
                isConclusive(known, evidence, answeredParts) && !hasCommonSuspect(known.crashes, state.suspects)
            ),
        );
        if (strongest === undefined) {
            break;
        }
        const { crashes, requests, wasAnswered } = strongest;
        const parts = strongest.requests[0].parts.filter(part =>
            requests.every(request => request.parts.includes(part)) && (wasAnswered || !answeredParts.has(part)) &&
            crashes.every(({ offset }) => offset > getAnsweredOffset(state, part))
        );
        quarantined.push({
            parts: [...new Set(parts)].sort(),
            upstreams: crashes.map(({ upstream }) => upstream),
            requests: requests.map(({ id }) => id),
        });
        unexplained = unexplained.filter(crash => !crashes.includes(crash));
    }
    return quarantined;
}

/** Collects the evidence against each part: the crashes since it was last answered, and the requests lost in them. */
function collectEvidence(state: QuarantineState, crashes: Crash[], answeredParts: Set<string>): Evidence[] {
    const evidence = new Map<string, Evidence>();
    for (const crash of crashes) {
        for (const request of crash.requests) {
            for (const part of new Set(request.parts)) {
                const known = evidence.get(part) ??
                    { part, crashes: [], requests: [], wasAnswered: answeredParts.has(part) };
                evidence.set(part, known);
                if (crash.offset > getAnsweredOffset(state, part)) {
                    known.requests.push(request);
                    if (known.crashes.at(-1) !== crash) {
                        known.crashes.push(crash);
                    }
                }
            }
        }
    }
    return [...evidence.values()];
}

/** Whether the evidence against one part suffices. */
function isConclusive(evidence: Evidence, all: Evidence[], answeredParts: Set<string>): boolean {
    const { part, wasAnswered, requests } = evidence;
    if (wasAnswered) {
        const unexplained = filterCrashes(evidence, crash => !isExplained(crash, evidence, all));
        return isSufficient(unexplained, isRare(evidence) ? requiredEvidence.answeredRare : requiredEvidence.answered);
    }
    const isTelling = (crash: Crash) =>
        crash.requests.some(({ parts, isReporterExperienced }) => isReporterExperienced && parts.includes(part));
    const isCommon = evidence.crashes.every(crash => crash.requests.every(({ parts }) => parts.includes(part)));
    const isAllUnknown = requests.every(({ parts }) => parts.every(other => !answeredParts.has(other)));
    return isSufficient(filterCrashes(evidence, isTelling), requiredEvidence.unusual) ||
        isSufficient(evidence, isCommon && isAllUnknown ? requiredEvidence.unknown : requiredEvidence.unanswered);
}

/** Whether a part is in less than half of the requests that were lost in its crashes. */
function isRare({ crashes, requests }: Evidence): boolean {
    return 2 * requests.length < crashes.reduce((sum, crash) => sum + crash.requests.length, 0);
}

/** Whether a crash is explained by a part that was never answered and against which there is as much evidence. */
function isExplained(crash: Crash, evidence: Evidence, all: Evidence[]): boolean {
    return all.some(other =>
        !other.wasAnswered && computeWeight(other) >= computeWeight(evidence) && other.crashes.includes(crash)
    );
}

/** Computes the weight of the evidence; a part that was never answered is more likely to crash upstreams. */
function computeWeight({ crashes, wasAnswered }: Evidence): number {
    return crashes.length * (wasAnswered ? 1 : neverAnsweredWeight);
}

function filterCrashes(evidence: Evidence, isIncluded: (crash: Crash) => boolean): Evidence {
    const crashes = evidence.crashes.filter(isIncluded);
    const requests = crashes.flatMap(crash => crash.requests.filter(({ parts }) => parts.includes(evidence.part)));
    return { ...evidence, crashes, requests };
}

function isSufficient(evidence: Evidence, required: RequiredEvidence): boolean {
    return evidence.crashes.length >= required.crashes && countRounds(evidence) >= required.rounds;
}

/** Counts the rounds of crashes: the most of them of which each was known when a request of the next one was sent. */
function countRounds({ crashes, part }: Evidence): number {
    const rounds = new Map<string, number>();
    for (const { upstream, requests } of crashes) {
        const known = requests.filter(({ parts }) => parts.includes(part)).flatMap(({ knownCrashes }) => knownCrashes);
        rounds.set(upstream, 1 + Math.max(0, ...known.map(crash => rounds.get(crash) ?? 0)));
    }
    return Math.max(0, ...rounds.values());
}

/**
 * Finds the part with the strongest evidence: of several parts in as many crashes the rarest one, as usual parts are in many
 * requests of each crash. Undefined if there is none, or another part in other requests is about as rare.
 */
function findStrongest(evidence: Evidence[]): Evidence | undefined {
    const compare = (a: Evidence, b: Evidence) =>
        computeWeight(b) - computeWeight(a) || Number(a.wasAnswered) - Number(b.wasAnswered);
    const [first, ...others] = [...evidence].sort((a, b) => compare(a, b) || a.requests.length - b.requests.length);
    const isTied = others.some(other =>
        compare(first, other) === 0 && other.requests.length < minRarityFactor * first.requests.length &&
        !isAlwaysTogether(first, other)
    );
    return first === undefined || isTied ? undefined : first;
}

function isAlwaysTogether(a: Evidence, b: Evidence): boolean {
    return a.requests.length === b.requests.length && a.requests.every(({ parts }) => parts.includes(b.part));
}

/** Drops the oldest records beyond the limits, except the evidence of the quarantine; returns their keys. */
function dropOldRecords({ records, quarantined }: QuarantineState): string[] {
    const kept = new Set(quarantined.flatMap(({ upstreams }) => upstreams.slice(-requiredEvidence.answered.crashes)));
    const isDroppable = (content: QuarantineRecord) => content.kind !== "crash" || !kept.has(content.upstream);
    return (Object.keys(maxRecords) as QuarantineRecord["kind"][]).flatMap(kind => {
        const ofKind = [...records].filter(([, { content }]) => content.kind === kind);
        const excess = Math.max(0, ofKind.length - maxRecords[kind]);
        const droppable = ofKind.filter(([, { content }]) => isDroppable(content));
        const dropped = droppable.sort(([, a], [, b]) => a.offset - b.offset).slice(0, excess).map(([key]) => key);
        dropped.forEach(key => records.delete(key));
        return dropped;
    });
}
