/**
 * Types shared by several modules: instances (processes of entries and slots), the load of an upstream, and whether a
 * request ran, that is, was executed at an upstream.
 */

/** Whether a request ran, that is, was executed at an upstream, as far as is known. */
export const RunOutcome = {
    notRun: "not-run",
    run: "run",
    unknown: "unknown",
} as const;
export type RunOutcome = (typeof RunOutcome)[keyof typeof RunOutcome];

/** State of an instance, as reported by the platform's instance list or by the instance itself. */
export const InstanceState = {
    live: "live",
    leaving: "leaving",
} as const;
export type InstanceState = (typeof InstanceState)[keyof typeof InstanceState];

/** Kind of a process: an entry (ingress proxy) accepts callers' requests, a slot is the sidecar of one upstream. */
export const Role = {
    entry: "entry",
    slot: "slot",
} as const;
export type Role = (typeof Role)[keyof typeof Role];

/** Record of one instance, a process of an entry or a slot, in the platform's instance list. */
export interface InstanceRecord {
    instance: string;
    role: Role;
    dataCentre: string;
    /** Base URL of the entry's or slot's internal server. */
    url: string;
    state: InstanceState;
    /** Pool of upstreams to which a slot belongs. */
    pool?: string;
    /** Expert-parallel group of a slot and its rank in the group. */
    group?: string;
    rank?: number;
}

/** Load of an upstream, as reported by its slot. */
export interface LoadReport {
    /** Id of the slot's process; changes with each restart. */
    incarnation: string;
    /** Tokens of the running and queued requests. */
    tokensInFlight: number;
    requestsInFlight: number;
    queued: number;
    state: InstanceState;
    /** Moving average of the service time, in milliseconds. */
    serviceMs: number;
    /** Time until the upstream's rate limit admits a new request, in milliseconds; undefined without a limit. */
    permitWaitMs?: number;
    /** Time until the end of a pause that the upstream has asked for, in milliseconds; undefined without one. */
    pauseWaitMs?: number;
}
