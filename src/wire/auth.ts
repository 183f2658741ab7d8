/** Signs and verifies calls between the processes of this system with HMAC-SHA256. */
import { createHash, createHmac, randomBytes, timingSafeEqual } from "node:crypto";

export const authHeader = "x-beechdock-auth";
/** Maximum difference between the time of a signature and the clock of the verifier, in milliseconds. */
export const maxClockSkewMs = 30_000;
/** Maximum number of nonces in each set of a cache; calls are refused while the current set is full. */
const maxNonces = 200_000;
const processNonce = randomBytes(9).toString("base64url");
let nonceCounter = 0;

export interface CallToSign {
    environment: string;
    path: string;
    body: string;
    /** Name of the called instance; when verifying, the verifier's own name. */
    target?: string;
}

/** Nonces of verified calls, kept for as long as the calls could be replayed. */
export interface NonceCache {
    /** Calls signed before this time, in milliseconds, are refused: an earlier process may have accepted them. */
    startedAt: number;
    rotatedAt: number;
    current: Set<string>;
    previous: Set<string>;
}

/** Creates the cache of a process that starts at `now`. */
export function createNonceCache(now: number): NonceCache {
    return { startedAt: now, rotatedAt: now, current: new Set(), previous: new Set() };
}

const processCache = createNonceCache(Date.now());

/** Signs a call with the first key; the signature covers time, nonce, target, environment, path and body. */
export function signCall(keys: string[], call: CallToSign, now: number): string {
    const nonce = `${processNonce}${(nonceCounter++).toString(36)}`;
    const stamp = `${now}.${nonce}.${encodeTarget(call.target)}`;
    return `${stamp}.${computeSignature(keys[0], call, stamp)}`;
}

/**
 * Verifies a call against each key, so that keys can be rotated. A call is accepted once, within the allowed clock
 * skew, and only by the environment and the instance for which it was signed.
 */
export function verifyCall(
    keys: string[],
    call: CallToSign,
    header: string | undefined,
    now: number,
    cache: NonceCache = processCache,
): boolean {
    const [time, nonce, target, signature] = (header ?? "").split(".");
    if (
        signature === undefined || !(Math.abs(now - Number(time)) <= maxClockSkewMs) || Number(time) < cache.startedAt
    ) {
        return false;
    }
    if (target !== "" && target !== encodeTarget(call.target)) {
        return false;
    }
    const actual = Buffer.from(signature);
    const isSigned = keys.some(key => {
        const expected = Buffer.from(computeSignature(key, call, `${time}.${nonce}.${target}`));
        return expected.length === actual.length && timingSafeEqual(expected, actual);
    });
    return isSigned && recordNonce(cache, nonce, now);
}

/** Records a nonce; returns false if it was seen before or the cache is full. */
function recordNonce(cache: NonceCache, nonce: string, now: number): boolean {
    if (now - cache.rotatedAt >= 2 * maxClockSkewMs) {
        cache.previous = cache.current;
        cache.current = new Set();
        cache.rotatedAt = now;
    }
    if (cache.current.has(nonce) || cache.previous.has(nonce) || cache.current.size >= maxNonces) {
        return false;
    }
    cache.current.add(nonce);
    return true;
}

function encodeTarget(target: string | undefined): string {
    return Buffer.from(target ?? "").toString("base64url");
}

function computeSignature(key: string, call: CallToSign, stamp: string): string {
    const bodyHash = createHash("sha256").update(call.body).digest("base64url");
    return createHmac("sha256", key).update(`${call.environment}\n${call.path}\n${stamp}\n${bodyHash}`).digest(
        "base64url",
    );
}
