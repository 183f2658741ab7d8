/** Error classes shared by every program. */
import ModernError from "modern-errors";
import { formatIssues, type Issue } from "./issues.js";
import type { RunOutcome } from "./types.js";

export interface RefusalDetails {
    status: number;
    outcome: RunOutcome;
    retryAfterSeconds?: number;
}

/** Base class of all errors that this project throws on purpose. */
export const BaseError = ModernError.subclass("BaseError");

/** A process or the command line was given something unusable. */
export const InputError = BaseError.subclass("InputError", { props: { issues: [] as Issue[] } });

/** The other end of a call did not answer, or answered outside its protocol. */
export const CallError = BaseError.subclass("CallError");

/** Ends a caller's request with an error answer that says whether it ran. */
export const RefusalError = BaseError.subclass("RefusalError", {
    props: { details: { status: 500, outcome: "unknown" } as RefusalDetails },
});

/** Creates an error that carries findings. */
export function createInputError(issues: Issue[]): InstanceType<typeof InputError> {
    return new InputError(formatIssues(issues), { props: { issues } });
}

/** Creates the refusal of a caller's request. */
export function createRefusal(title: string, details: RefusalDetails): InstanceType<typeof RefusalError> {
    return new RefusalError(title, { props: { details } });
}
