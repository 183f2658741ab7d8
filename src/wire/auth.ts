/** Signs and verifies calls between this system's processes. */
import { createHash, createHmac, randomBytes, timingSafeEqual } from "node:crypto";

export const authHeader = "x-beechdock-auth";
/** Largest difference between the time of a signature and the clock of its reader, in milliseconds. */
export const maxSkewMs = 30_000;
const processNonce = randomBytes(9).toString("base64url");
let nonceCounter = 0;

export interface CallToSign {
    environment: string;
    path: string;
    body: string;
}

/** Signs a call with the first key; the signature covers time, nonce, environment, path and body. */
export function signCall(keys: string[], call: CallToSign, now: number): string {
    const nonce = `${processNonce}${(nonceCounter++).toString(36)}`;
    return `${now}.${nonce}.${computeSignature(keys[0], call, `${now}.${nonce}`)}`;
}

/** Verifies a call against every key of the rotating pair. */
export function verifyCall(keys: string[], call: CallToSign, header: string | undefined, now: number): boolean {
    const [time, nonce, signature] = (header ?? "").split(".");
    if (signature === undefined || Math.abs(now - Number(time)) > maxSkewMs) {
        return false;
    }
    const given = Buffer.from(signature);
    return keys.some(key => {
        const wanted = Buffer.from(computeSignature(key, call, `${time}.${nonce}`));
        return wanted.length === given.length && timingSafeEqual(wanted, given);
    });
}

function computeSignature(key: string, call: CallToSign, stamp: string): string {
    const bodyHash = createHash("sha256").update(call.body).digest("base64url");
    return createHmac("sha256", key).update(`${call.environment}\n${call.path}\n${stamp}\n${bodyHash}`).digest(
        "base64url",
    );
}
