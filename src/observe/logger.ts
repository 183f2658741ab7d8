/** Structured logs: short sentences, each with the fixed prefix of its part. */
import bunyan from "bunyan";

export const LogPrefix = {
    entry: "entry:",
    slot: "slot:",
    config: "config:",
    group: "group:",
    peers: "peers:",
    log: "log:",
    claims: "claims:",
} as const;
export type LogPrefix = (typeof LogPrefix)[keyof typeof LogPrefix];

export interface Logger {
    debug: (message: string, fields?: object) => void;
    info: (message: string, fields?: object) => void;
    warn: (message: string, fields?: object) => void;
    error: (message: string, fields?: object) => void;
}

/** Creates a function that makes the logger of a part. */
export function createLoggerFactory(
    program: string,
    instance: string,
    level: bunyan.LogLevelString,
): (prefix: LogPrefix) => Logger {
    const root = bunyan.createLogger({ name: program, instance, level });
    return prefix => ({
        debug: (message, fields = {}) => root.debug(fields, `${prefix} ${message}`),
        info: (message, fields = {}) => root.info(fields, `${prefix} ${message}`),
        warn: (message, fields = {}) => root.warn(fields, `${prefix} ${message}`),
        error: (message, fields = {}) => root.error(fields, `${prefix} ${message}`),
    });
}
