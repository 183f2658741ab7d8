/**
 * Syntax of HTTP/1.1 messages as far as Node.js accepts it on receipt but throws when the same text is to be sent: tokens,
 * field values, request targets and status codes (RFC 9110 and 9112).
 */

const tokenPattern = /^[!#$%&'*+\-.^_`|~\dA-Za-z]+$/;
const fieldValuePattern = /^[\t\x20-\x7e\x80-\xff]*$/;
const targetPattern = /^[\x21-\x7e\x80-\xff]+$/;

const minStatus = 100;
const minFinalStatus = 200;
const maxStatus = 599;

/** Whether text may be the value of a header field. */
export function isFieldValue(text: string): boolean {
    return fieldValuePattern.test(text);
}

/** Describes the first invalid field of raw headers, which alternate names and values; undefined if all are valid. */
export function findInvalidField(raw: string[]): string | undefined {
    for (let i = 0; i + 1 < raw.length; i += 2) {
        if (!tokenPattern.test(raw[i])) {
            return `the header name ${JSON.stringify(raw[i])} is invalid`;
        }
        if (!isFieldValue(raw[i + 1])) {
            return `the value of the header ${raw[i]} is invalid`;
        }
    }
    return undefined;
}

/** Whether the target of a request holds no white space and no control characters. */
export function isRequestTarget(target: string): boolean {
    return targetPattern.test(target);
}

/** Whether a number is a status code of HTTP, informational or final. */
export function isStatus(status: number): boolean {
    return status >= minStatus && status <= maxStatus;
}

/** Describes why the head of a final response is no HTTP/1.1; undefined if it is. */
export function findInvalidHead(status: number, raw: string[]): string | undefined {
    return status >= minFinalStatus && status <= maxStatus ? findInvalidField(raw) : `status ${status} is invalid`;
}
