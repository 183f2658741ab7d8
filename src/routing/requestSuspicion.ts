/**
 * Suspicion against whole requests. A request that crashes its upstream comes again, at any entry; the lost requests of
 * several crashes show which one it is. Sound requests come again too, and are lost with the upstreams of others.
 */
import type { Crash } from "./quarantine.js";

/** A request that was lost with upstreams since it was last answered. */
export interface SuspectRequest {
    /** Digest of the request; see `computeRequestDigest`. */
    digest: string;
    /** Crashes in the order of the log; at least one. */
    crashes: Crash[];
    /** Whether some reporter has seen the request answered before. */
    wasAnswered: boolean;
    /** Number of crashes in a row of which each was known when the request was sent that was lost in the next one. */
    rounds: number;
    /** Whether no other request was lost in all of these crashes that is as likely to be their cause; false for one crash. */
    isOnlyExplanation: boolean;
}

/** What is known of the responses to requests. */
export interface RequestAnswers {
    wasAnswered: (digest: string) => boolean;
    /** Returns the position in the log of the latest answer; less than every crash if there is none. */
    getAnsweredOffset: (digest: string) => number;
}

/** Number of crashes that condemn a request that was never answered. */
const requiredCrashes = 3;
/** Number of crashes, not explained by other requests, and of rounds that condemn a request that was answered before. */
const requiredAnswered = { crashes: 4, rounds: 2 };
/** Number of crashes from which a request that was never answered explains the loss of those that were. */
const explainingCrashes = 2;
/** Time after the latest crash for which a suspect is not sent, in milliseconds; longer than a group needs to form again. */
const deferralMs = 6000;
/** The same time for a request that alone explains two crashes, in a row or under two copies of it, in milliseconds. */
const repeatedDeferralMs = 60_000;

/** Collects the suspects of all crashes, by their digests. */
export function collectSuspects(crashes: Crash[], answers: RequestAnswers): Map<string, SuspectRequest> {
    const suspects = new Map<string, SuspectRequest>();
    for (const crash of crashes) {
        for (const digest of listDigests(crash)) {
            if (crash.offset > answers.getAnsweredOffset(digest)) {
                const suspect = suspects.get(digest) ?? createSuspect(digest, answers.wasAnswered(digest));
                suspects.set(digest, suspect);
                suspect.crashes.push(crash);
            }
        }
    }
    const repeated = [...suspects.values()].filter(suspect => suspect.crashes.length > 1);
    for (const suspect of repeated) {
        suspect.rounds = countRounds(suspect);
        suspect.isOnlyExplanation = !repeated.some(other => other !== suspect && isAsLikely(other, suspect));
    }
    return suspects;
}

function createSuspect(digest: string, wasAnswered: boolean): SuspectRequest {
    return { digest, crashes: [], wasAnswered, rounds: 1, isOnlyExplanation: false };
}

/** Whether the evidence against a request suffices to reject it from now on. */
export function isCondemned(suspect: SuspectRequest, suspects: Map<string, SuspectRequest>): boolean {
    const { crashes, rounds, wasAnswered, isOnlyExplanation } = suspect;
    if (!isOnlyExplanation) {
        return false;
    }
    if (!wasAnswered) {
        return crashes.length >= requiredCrashes;
    }
    const unexplained = crashes.filter(crash =>
        !listDigests(crash).map(digest => suspects.get(digest)).some(other =>
            other !== undefined && !other.wasAnswered && other.crashes.length >= explainingCrashes
        )
    );
    return unexplained.length >= requiredAnswered.crashes && rounds >= requiredAnswered.rounds;
}

/**
 * Computes for how long a suspect must not be sent, in milliseconds; 0 if it may be. A request that was lost in one crash
 * may run a second time (`hasRun`), so that the request of a caller is not lost with an upstream that crashed for another
 * reason.
 */
export function computeDeferralMs(suspect: SuspectRequest, hasRun: boolean, now: number): number {
    const { digest, crashes, wasAnswered, rounds, isOnlyExplanation } = suspect;
    if (wasAnswered || (hasRun && crashes.length === 1)) {
        return 0;
    }
    const learnedAt = Math.max(...crashes.map(crash => crash.learnedAt));
    const copies = new Set(
        crashes.flatMap(({ requests }) => requests).filter(request => request.digest === digest).map((
            { id },
        ) => id),
    );
    const isRepeated = isOnlyExplanation && crashes.length > 1 && (rounds > 1 || copies.size > 1);
    return Math.max(0, learnedAt + (isRepeated ? repeatedDeferralMs : deferralMs) - now);
}

/** Whether a request that was never answered was lost in every one of the crashes, so that it may be their only cause. */
export function hasCommonSuspect(crashes: Crash[], suspects: Map<string, SuspectRequest>): boolean {
    return listDigests(crashes[0]).some(digest => {
        const suspect = suspects.get(digest);
        return suspect !== undefined && !suspect.wasAnswered &&
            crashes.every(crash => suspect.crashes.includes(crash));
    });
}

function listDigests({ requests }: Crash): string[] {
    return [...new Set(requests.flatMap(({ digest }) => digest ?? []))];
}

/** Whether another suspect was lost in all crashes of this one, and does not differ from it by having been answered. */
function isAsLikely(other: SuspectRequest, suspect: SuspectRequest): boolean {
    return (!other.wasAnswered || suspect.wasAnswered) && suspect.crashes.every(crash => other.crashes.includes(crash));
}

function countRounds({ digest, crashes }: SuspectRequest): number {
    const rounds = new Map<string, number>();
    for (const { upstream, requests } of crashes) {
        const known = requests.filter(request => request.digest === digest).flatMap(({ knownCrashes }) => knownCrashes);
        rounds.set(upstream, 1 + Math.max(0, ...known.map(crash => rounds.get(crash) ?? 0)));
    }
    return Math.max(0, ...rounds.values());
}
