/** Types that several parts share. */

/** What is known about whether a request ran at an upstream. */
export const RunOutcome = {
    notRun: "not-run",
    run: "run",
    unknown: "unknown",
} as const;
export type RunOutcome = (typeof RunOutcome)[keyof typeof RunOutcome];

/** State of an instance as the platform's list or the instance itself reports it. */
export const InstanceState = {
    live: "live",
    leaving: "leaving",
} as const;
export type InstanceState = (typeof InstanceState)[keyof typeof InstanceState];

export const Role = {
    entry: "entry",
    slot: "slot",
} as const;
export type Role = (typeof Role)[keyof typeof Role];

/** One line of the platform's instance list. `url` is the slot's or entry's internal address. */
export interface InstanceRecord {
    instance: string;
    role: Role;
    dataCentre: string;
    url: string;
    state: InstanceState;
    /** Pool of upstreams that a slot belongs to. */
    pool?: string;
    /** Expert-parallel group and place in it, for slots of groups. */
    group?: string;
    rank?: number;
}

/** Load of one upstream as its slot reports it. */
export interface LoadReport {
    /** Changes whenever the slot's process restarts. */
    incarnation: string;
    /** Tokens of work that waits or runs. */
    tokensInFlight: number;
    requestsInFlight: number;
    queued: number;
    state: InstanceState;
    /** Recent mean time of one step or call, in milliseconds. */
    serviceMs: number;
}
