/** Error classes that all programs share. */
import ModernError from "modern-errors";
import { formatIssues, type Issue } from "./issues.js";
import type { RunOutcome } from "./types.js";

export interface RefusalDetails {
    /** HTTP status of the error response. */
    status: number;
    outcome: RunOutcome;
    retryAfterSeconds?: number;
}

/** Base class of all errors that this project throws deliberately. */
export const BaseError = ModernError.subclass("BaseError");

/** Invalid input, such as settings, a document or command-line options. */
export const InputError = BaseError.subclass("InputError", { props: { issues: [] as Issue[] } });

/** A call to another process failed: no complete response, an error status or an invalid response. */
export const CallError = BaseError.subclass("CallError");

/** Ends a caller's request with an error response that states whether the request ran. */
export const RefusalError = BaseError.subclass("RefusalError", {
    props: { details: { status: 500, outcome: "unknown" } as RefusalDetails },
});

/** Creates an `InputError` with the issues found in the input; its message lists them one per line. */
export function createInputError(issues: Issue[]): InstanceType<typeof InputError> {
    return new InputError(formatIssues(issues), { props: { issues } });
}

/** Creates a `RefusalError`; `title` is the title of the error response. */
export function createRefusal(title: string, details: RefusalDetails): InstanceType<typeof RefusalError> {
    return new RefusalError(title, { props: { details } });
}
