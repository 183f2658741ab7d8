/**
 * Finds out whether an upstream that broke connections has crashed: a connection to it is refused then. Broken responses,
 * resets and cut links leave it listening.
 */
import { connect } from "node:net";
import { containFaults, type FaultReporter } from "../observe/faults.js";
import type { UpstreamRecord } from "../peers/mirror.js";
import { formatIncarnation, type LostRequest, maxReportedRequests } from "../routing/quarantine.js";
import type { Address } from "../wire/listen.js";

/** Delays of the checks after the first lost request, in milliseconds; a crashing process may still accept at first. */
const checkDelaysMs = [20, 150, 500];
/** Timeout of one check, in milliseconds. */
const checkTimeoutMs = 300;
/** Maximum time for which a lost request waits for the result of a check, in milliseconds. */
const maxWaitMs = 60;
/** Time after a crash for which requests lost with the upstream are collected, in milliseconds. */
const collectMs = 5000;

type MonitoredUpstream = Pick<UpstreamRecord, "id" | "startedAt" | "host" | "port">;

export interface CrashMonitor {
    /**
     * Records a request that was lost as its upstream broke the connection. Resolves once the crash has been reported, or a
     * check has found none or takes long.
     */
    recordLoss: (upstream: MonitoredUpstream, request: LostRequest) => Promise<void>;
}

export interface CrashMonitorOptions {
    /** Called when an upstream has crashed, and again when more of its lost requests are known. */
    onCrash: (incarnation: string, requests: LostRequest[]) => void;
    /** Called with what a check throws. */
    reportFault: FaultReporter;
    /** Returns whether a connection is refused; replaced in tests. */
    checkRefused?: (address: Address) => Promise<boolean>;
}

interface Suspect {
    /** Requests lost since the check in progress began, or since the crash. */
    requests: LostRequest[];
    isChecking: boolean;
    hasCrashed: boolean;
    /** Functions that resolve what waits for the result of a check. */
    waiting: (() => void)[];
}

/** Creates a monitor without suspects. */
export function createCrashMonitor(options: CrashMonitorOptions): CrashMonitor {
    const { onCrash, reportFault, checkRefused = isRefused } = options;
    const suspects = new Map<string, Suspect>();
    const check = containFaults(
        reportFault,
        async (upstream: MonitoredUpstream, incarnation: string, suspect: Suspect) => {
            suspect.isChecking = true;
            try {
                await checkRequests(upstream, suspect);
            }
            finally {
                suspect.isChecking = false;
                if (!suspect.hasCrashed) {
                    suspects.delete(incarnation);
                }
            }
            if (suspect.hasCrashed) {
                setTimeout(() => suspects.delete(incarnation), collectMs);
                onCrash(incarnation, suspect.requests);
            }
            resolveWaiting(suspect);
        },
    );
    const checkRequests = async (upstream: MonitoredUpstream, suspect: Suspect) => {
        while (suspect.requests.length > 0 && !suspect.hasCrashed) {
            const count = suspect.requests.length;
            suspect.hasCrashed = await hasRefused(upstream, suspect);
            if (!suspect.hasCrashed) {
                // Requests that were lost during the check are checked anew.
                suspect.requests.splice(0, count);
            }
        }
    };
    const resolveWaiting = ({ waiting }: Suspect) => waiting.splice(0).forEach(resolve => resolve());
    const hasRefused = async (upstream: MonitoredUpstream, suspect: Suspect) => {
        for (const [index, delayMs] of checkDelaysMs.entries()) {
            await new Promise(resolve => setTimeout(resolve, delayMs - (checkDelaysMs[index - 1] ?? 0)));
            if (await checkRefused(upstream)) {
                return true;
            }
            resolveWaiting(suspect);
        }
        return false;
    };
    return {
        recordLoss: async (upstream, request) => {
            const incarnation = formatIncarnation(upstream);
            const suspect = suspects.get(incarnation) ??
                { requests: [], isChecking: false, hasCrashed: false, waiting: [] };
            suspects.set(incarnation, suspect);
            if (suspect.requests.length >= maxReportedRequests) {
                return;
            }
            suspect.requests.push(request);
            if (suspect.hasCrashed) {
                onCrash(incarnation, suspect.requests);
                return;
            }
            const checked = new Promise<void>(resolve => {
                suspect.waiting.push(resolve);
                setTimeout(resolve, maxWaitMs);
            });
            if (!suspect.isChecking) {
                check(upstream, incarnation, suspect);
            }
            await checked;
        },
    };
}

/** Whether a connection is refused; false if it is accepted or not in time. */
export function isRefused({ host, port }: Address): Promise<boolean> {
    return new Promise(resolve => {
        const socket = connect({ host, port });
        const settle = (isClosed: boolean) => {
            clearTimeout(timer);
            socket.destroy();
            resolve(isClosed);
        };
        const timer = setTimeout(() => settle(false), checkTimeoutMs);
        socket.on("connect", () => settle(false));
        socket.on("error", error => settle((error as NodeJS.ErrnoException).code === "ECONNREFUSED"));
    });
}
