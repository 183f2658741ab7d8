/** Exit codes and signal handlers of the programs. */

/** Exit codes of every program except the operators' command line. */
export const ExitCode = { ok: 0, failed: 1, badInput: 2 } as const;

/** Prints `text` to standard error and exits the process. */
export function exitWith(code: number, text: string): never {
    process.stderr.write(`${text}\n`);
    process.exit(code);
}

/**
 * Calls `stop` on the first SIGTERM or SIGINT and ignores later ones. Exits with `ok` when it resolves, or with
 * `failed` when it rejects.
 */
export function registerShutdown(stop: () => Promise<void>): void {
    let isStopping = false;
    const handleSignal = () => {
        if (!isStopping) {
            isStopping = true;
            void stop().then(() => process.exit(ExitCode.ok), () => process.exit(ExitCode.failed));
        }
    };
    process.on("SIGTERM", handleSignal);
    process.on("SIGINT", handleSignal);
}

/** Calls `reload` on each SIGHUP, which would terminate the process by default. */
export function registerReload(reload: () => void): void {
    process.on("SIGHUP", reload);
}
