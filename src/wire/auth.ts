/** Signs and verifies calls between this system's processes. */
import { createHash, createHmac, randomBytes, timingSafeEqual } from "node:crypto";

export const authHeader = "x-beechdock-auth";
/** Largest difference between the time of a signature and the clock of its reader, in milliseconds. */
export const maxClockSkewMs = 30_000;
const maxNonces = 200_000;
const processNonce = randomBytes(9).toString("base64url");
let nonceCounter = 0;

export interface CallToSign {
    environment: string;
    path: string;
    body: string;
    /** Name of the instance that is called; when verifying, the own name. */
    target?: string;
}

/** Nonces of verified calls, kept for as long as their calls could be repeated. */
export interface NonceCache {
    /** Calls signed before this time are refused: an earlier process may have taken them. In milliseconds. */
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

/** Signs a call with the first key; the signature covers time, nonce, environment, target, path and body. */
export function signCall(keys: string[], call: CallToSign, now: number): string {
    const nonce = `${processNonce}${(nonceCounter++).toString(36)}`;
    const stamp = `${now}.${nonce}.${encodeTarget(call.target)}`;
    return `${stamp}.${computeSignature(keys[0], call, stamp)}`;
}

/**
 * Verifies a call against every key of the rotating pair. A call is taken once, within the time window, by the
 * environment and the instance that it was signed for.
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

/** Records a nonce; false when it was seen before or the cache is full. */
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
